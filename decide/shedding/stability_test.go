package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fluid is a fleet in virtual time: so many modules and one gatherer, callers of
// which a part heeds refusals by sending less for a while, and digests and words
// that take their time. It is no model of a machine: only the figures that pass
// between the modules, the gatherer and the callers are played.
type fluid struct {
	nodes  int
	delay  time.Duration // of words and of digests, each way
	heed   float64       // part of the refused traffic that stays away for a second
	offer  func(at time.Duration) float64
	cuts   []float64 // the fleet's, each 100 ms
	ended  []float64 // share of refusals that ended a walk
	follow []int     // nodes that follow a cut
}

func (f *fluid) play(length time.Duration) {
	const drain = 100.0
	rnd := rand.New(rand.NewPCG(7, uint64(f.nodes)))
	g := NewAggregator(1)
	type later struct {
		at   time.Duration
		what func(now time.Duration)
	}
	var queue []later
	mods := make([]*Shedder, f.nodes)
	phase := make([]time.Duration, f.nodes)
	for i := range mods {
		mods[i] = New(0, true)
		phase[i] = time.Duration(rnd.Int64N(int64(700 * time.Millisecond)))
	}
	away := 0.0 // share of the traffic that stays away
	seq := uint64(0)
	for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
		due := queue
		queue = nil
		for _, q := range due {
			if q.at <= now {
				q.what(now) // may add to the queue
			} else {
				queue = append(queue, q)
			}
		}
		first := f.offer(now) * drain * (1 - away)
		refused, out, read := 0, 0, 0
		for i, m := range mods {
			n := int(first/10 + rnd.Float64())
			share := max(0, 1-drain/max(first, 1))
			for k := range n {
				price := 12.5 * math.Exp2(float64(k%4))
				m.Arrived(now, price, price, false)
				read++
				if rnd.Float64() >= share {
					continue
				}
				refused++
				if m.StopsRetries(now, price) {
					out++
				} else {
					mods[rnd.IntN(f.nodes)].Arrived(now, price, price, true)
				}
			}
			m.Step(now+100*time.Millisecond, drain, min(first/drain, 1)*map[bool]float64{true: 1, false: 0.2}[first > 0.95*drain])
			if (now+phase[i])%(700*time.Millisecond) < 100*time.Millisecond {
				seq++
				word, n := m.LoadReport(), seq
				made := now
				queue = append(queue, later{now + f.delay, func(at time.Duration) {
					g.Observe(at, fmt.Sprint(i), 1, n, word)
					d := g.Last()
					queue = append(queue, later{at + f.delay, func(then time.Duration) { m.ReceiveDigest(then, made, d) }})
				}})
			}
		}
		away += 0.1 * (f.heed*float64(refused)/float64(max(read, 1)) - away)
		d := g.Digest(now)
		f.cuts = append(f.cuts, d.Threshold)
		f.ended = append(f.ended, float64(out)/float64(max(refused, 1)))
		n := 0
		for _, m := range mods {
			if m.View(now).Threshold > 0 {
				n++
			}
		}
		f.follow = append(f.follow, n)
	}
}

// No swing: under steady overload the cut appears once and stays within two bands,
// whatever the delay and however many callers heed; once the overload ends it goes
// within its bound, and stays away.
func TestNoSwing(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, heed := range []float64{0, 0.5, 0.9} {
			for _, load := range []float64{1.5, 3} {
				f := &fluid{nodes: 50, delay: delay, heed: heed, offer: func(at time.Duration) float64 {
					if at < 30*time.Second {
						return load
					}
					return 0.6
				}}
				f.play(45 * time.Second)
				name := fmt.Sprintf("delay %v, heed %v, load %v", delay, heed, load)
				if f.cuts[200] == 0 {
					t.Errorf("%s: there is no cut", name)
				}
				if n := f.follow[200]; delay <= 300*time.Millisecond && n < 45 || delay == 2*time.Second && n > 0 {
					t.Errorf("%s: %d of 50 follow the cut", name, n)
				}
				flips, low, high := 0, math.MaxInt, 0
				for i := 100; i < 290; i++ { // from 10 s on
					if (f.cuts[i] > 0) != (f.cuts[i-1] > 0) {
						flips++
					}
					low, high = min(low, band(f.cuts[i])), max(high, band(f.cuts[i]))
				}
				if flips > 0 || high-low > 4 {
					t.Errorf("%s: the cut came and went %d times, between bands %d and %d", name, flips, low, high)
				}
				for i := 330; i < len(f.cuts); i++ {
					if f.cuts[i] > 0 && i > 300+int((wordLife+2*delay)/(100*time.Millisecond))+20 {
						t.Errorf("%s: a cut %d00 ms after the end", name, i-300)
						break
					}
				}
				if n := f.follow[len(f.follow)-1]; n > 0 {
					t.Errorf("%s: %d nodes follow a cut 15 s after the end", name, n)
				}
			}
		}
	}
}

// How the cost of gathering grows with the fleet: documented in docs/results.md.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			g := NewAggregator(1)
			for i := range n {
				g.Observe(0, fmt.Sprint(i), 1, 1, word(100, 1, map[float64]float64{100: 80, 50: 40, 12: 60}))
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Digest(0)
			}
		})
	}
}

// BenchmarkRefusal is what a refusal costs the deciding, on and off the line.
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
