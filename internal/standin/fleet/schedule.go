package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the schedule.
type arrival struct {
	at         time.Duration
	class      int
	workMs     float64
	dispatcher int
	seed       uint64 // of the choices made for it
}

// capacity is how many requests a second fill all cores.
func (s *Scenario) capacity() float64 {
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Share * c.WorkMs
	}
	return float64(s.Fleet.Nodes*s.Fleet.Cores) * 1000 / mean
}

// arrivals yields the schedule's requests in order; the same seed yields the same.
func (s *Scenario) arrivals(yield func(arrival) bool) {
	random := rand.New(rand.NewPCG(s.Fleet.Seed, 1))
	end := time.Duration(s.Fleet.Seconds) * time.Second
	rate := s.capacity()
	for at := time.Duration(0); ; {
		load := s.Load.steps[0].load
		for _, step := range s.Load.steps {
			if at >= step.at {
				load = step.load
			}
		}
		at += time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second))
		if at >= end {
			return
		}
		a := arrival{at: at, dispatcher: random.IntN(s.Dispatchers.Count), seed: random.Uint64(), class: len(s.Classes) - 1}
		remaining := random.Float64()
		for i, c := range s.Classes {
			if remaining -= c.Share; remaining < 0 {
				a.class = i
				break
			}
		}
		a.workMs = s.Classes[a.class].WorkMs * (0.5 + random.ExpFloat64()/2)
		if !yield(a) {
			return
		}
	}
}

// turn is a fault that begins or ends.
type faultChange struct {
	at     time.Duration
	fault  *FaultSection
	begins bool
}

// turns lists what the faults do, in order.
func (s *Scenario) faultChanges() (list []faultChange) {
	for i := range s.Faults {
		fault := &s.Faults[i]
		for n := range fault.Count {
			at := fault.At + time.Duration(n)*fault.Interval
			list = append(list, faultChange{at, fault, true}, faultChange{at + fault.Duration, fault, false})
		}
	}
	slices.SortStableFunc(list, func(a, b faultChange) int { return cmp.Compare(a.at, b.at) })
	return list
}
