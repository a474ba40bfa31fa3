package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fluidModel simulates a fleet in virtual time: a number of shedders, one aggregator, delayed load
// reports and digests, and callers of which a part sends less for a while after refusals. It is a
// fluid model: it simulates rates, no requests and no processors.
type fluidModel struct {
	nodes      int
	delay      time.Duration                  // of load reports and of digests, each way
	heed       float64                        // share of the refused traffic that stays away for a second
	load       func(at time.Duration) float64 // first tries over the capacity of the fleet
	thresholds []float64                      // of the fleet, each 100 ms
	stopped    []float64                      // share of refusals that stop retries
	followers  []int                          // number of nodes that follow a threshold
}

// run simulates the fleet for a time.
func (f *fluidModel) run(length time.Duration) {
	const drainRate = 100.0
	random := rand.New(rand.NewPCG(7, uint64(f.nodes)))
	aggregator := NewAggregator(1)
	type message struct {
		at      time.Duration
		deliver func(now time.Duration)
	}
	var messages []message
	shedders := make([]*Shedder, f.nodes)
	phase := make([]time.Duration, f.nodes)
	for i := range shedders {
		shedders[i] = New(0, true)
		phase[i] = time.Duration(random.Int64N(int64(700 * time.Millisecond)))
	}
	away := 0.0 // share of the traffic that stays away
	seq := uint64(0)
	for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
		pending := messages
		messages = nil
		for _, x := range pending {
			if x.at <= now {
				x.deliver(now) // may add to messages
			} else {
				messages = append(messages, x)
			}
		}
		first := f.load(now) * drainRate * (1 - away)
		refusals, stops, arrivals := 0, 0, 0
		for i, m := range shedders {
			n := int(first/10 + random.Float64())
			share := max(0, 1-drainRate/max(first, 1))
			for k := range n {
				utility := 12.5 * math.Exp2(float64(k%4))
				m.Arrived(now, utility, utility, false)
				arrivals++
				if random.Float64() >= share {
					continue
				}
				refusals++
				if m.StopsRetries(now, utility) {
					stops++
				} else {
					shedders[random.IntN(f.nodes)].Arrived(now, utility, utility, true)
				}
			}
			m.Step(now+100*time.Millisecond, drainRate, min(first/drainRate, 1)*map[bool]float64{true: 1, false: 0.2}[first > 0.95*drainRate])
			if (now+phase[i])%(700*time.Millisecond) < 100*time.Millisecond {
				seq++
				load, n := m.LoadReport(), seq
				made := now
				messages = append(messages, message{now + f.delay, func(at time.Duration) {
					aggregator.Observe(at, fmt.Sprint(i), 1, n, load)
					d := aggregator.Last()
					messages = append(messages, message{at + f.delay, func(then time.Duration) { m.ReceiveDigest(then, made, d) }})
				}})
			}
		}
		away += 0.1 * (f.heed*float64(refusals)/float64(max(arrivals, 1)) - away)
		d := aggregator.Digest(now)
		f.thresholds = append(f.thresholds, d.Threshold)
		f.stopped = append(f.stopped, float64(stops)/float64(max(refusals, 1)))
		n := 0
		for _, m := range shedders {
			if m.View(now).Threshold > 0 {
				n++
			}
		}
		f.followers = append(f.followers, n)
	}
}

// The threshold does not oscillate. In a steady overload it appears once and stays within a range
// of five bands, whatever the delay of the messages and the share of callers that heed refusals.
// After the overload it goes away within a bounded time and does not return.
func TestThresholdIsStable(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, heed := range []float64{0, 0.5, 0.9} {
			for _, load := range []float64{1.5, 3} {
				f := &fluidModel{nodes: 50, delay: delay, heed: heed, load: func(at time.Duration) float64 {
					if at < 30*time.Second {
						return load
					}
					return 0.6
				}}
				f.run(45 * time.Second)
				name := fmt.Sprintf("delay %v, heed %v, load %v", delay, heed, load)
				if f.thresholds[200] == 0 {
					t.Errorf("%s: there is no threshold", name)
				}
				if n := f.followers[200]; delay <= 300*time.Millisecond && n < 45 || delay == 2*time.Second && n > 0 {
					t.Errorf("%s: %d of 50 nodes follow the threshold", name, n)
				}
				changes, low, high := 0, math.MaxInt, 0
				for i := 100; i < 290; i++ { // from 10 s on
					if (f.thresholds[i] > 0) != (f.thresholds[i-1] > 0) {
						changes++
					}
					low, high = min(low, band(f.thresholds[i])), max(high, band(f.thresholds[i]))
				}
				if changes > 0 || high-low > 4 {
					t.Errorf("%s: the threshold appeared or went %d times, bands %d to %d", name, changes, low, high)
				}
				for i := 330; i < len(f.thresholds); i++ {
					if f.thresholds[i] > 0 && i > 300+int((reportLifetime+2*delay)/(100*time.Millisecond))+20 {
						t.Errorf("%s: a threshold %d00 ms after the end of the overload", name, i-300)
						break
					}
				}
				if n := f.followers[len(f.followers)-1]; n > 0 {
					t.Errorf("%s: %d nodes follow a threshold 15 s after the end of the overload", name, n)
				}
			}
		}
	}
}

// Measures how the cost of a digest grows with the fleet; docs/results.md has the results.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			aggregator := NewAggregator(1)
			for i := range n {
				aggregator.Observe(0, fmt.Sprint(i), 1, 1, newLoadReport(100, 1, map[float64]float64{100: 80, 50: 40, 12: 60}))
			}
			b.ReportAllocs()
			for b.Loop() {
				aggregator.Digest(0)
			}
		})
	}
}

// Measures the cost of the decisions about one refusal.
func BenchmarkRefusal(b *testing.B) {
	m := New(0, false)
	now := feed(m, 0, 2, 300, 0.3, 0.3, 100, 1)
	b.ReportAllocs()
	for b.Loop() {
		m.Arrived(now, 50, 50, true)
		m.StopsRetries(now, 50)
		m.RetryAfter(now, 300*time.Millisecond, 2*time.Second)
	}
}
