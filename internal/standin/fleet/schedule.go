package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a request of the schedule.
type arrival struct {
	at         time.Duration // since the start
	class      int           // index in Scenario.Classes
	workMs     float64       // run time on one core
	dispatcher int
	seed       uint64 // of the random choices made for the request
}

// capacity returns how many requests a second keep all cores busy.
func (s *Scenario) capacity() float64 {
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Share * c.WorkMs
	}
	return float64(s.Fleet.Nodes*s.Fleet.Cores) * 1000 / mean
}

// arrivals yields the requests of the schedule in order of time. They depend on the scenario and its seed
// alone.
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
		a := arrival{
			at: at, dispatcher: random.IntN(s.Dispatchers.Count), seed: random.Uint64(), class: len(s.Classes) - 1,
		}
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

// faultChange is the begin or end of a fault.
type faultChange struct {
	at     time.Duration
	fault  *FaultSection
	begins bool
}

// faultChanges returns the begins and ends of all faults in order of time.
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
