package shedding

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

const step = 100 * time.Millisecond

// feed plays seconds of arrivals, a part of them further tries, and of refusals.
func feed(m *Shedder, from time.Duration, seconds, rate, again, refused, drain, short float64) time.Duration {
	rnd := rand.New(rand.NewPCG(1, uint64(rate)))
	end := from + time.Duration(seconds*float64(time.Second))
	for now := from; now < end; now += step {
		for range int(rate * step.Seconds()) {
			m.Arrived(now, 50, 50, rnd.Float64() < again)
			if rnd.Float64() < refused {
				m.StopsRetries(now, 50)
			}
		}
		m.Step(now+step, drain, short)
	}
	return end
}

// Alone, walks end only if further tries show that others refuse too and this node
// is short itself: one full node among others with room ends none.
func TestAloneEndsWalks(t *testing.T) {
	for name, c := range map[string]struct {
		again, short float64
		least, most  float64
	}{
		"one full node, others have room": {0.02, 1, 0, 0},
		"this node has room":              {0.5, 0, 0, 0},
		"others refuse half":              {0.5, 1, 0.85, 0.91},
		"between":                         {0.19, 1, 0.3, 0.91},
	} {
		m := New(0, false)
		now := feed(m, 0, 5, 200, c.again, 0.4, 100, c.short)
		ended := 0
		for range 1000 {
			if m.StopsRetries(now, 50) {
				ended++
			}
		}
		if share := float64(ended) / 1000; share < c.least || share > c.most {
			t.Errorf("%s: %.3f of the walks end, wanted %.2f to %.2f", name, share, c.least, c.most)
		}
	}
}

// A further try is worth as much as a first one while only some nodes are full, and
// less while the fleet is short; people hear of both once.
func TestRetryWorth(t *testing.T) {
	m := New(0, false)
	if w := m.RetryUtility(); w != 1 {
		t.Errorf("worth %v at the start", w)
	}
	lines := 0
	count := func(from time.Duration, seconds float64, again, short float64) time.Duration {
		end := from + time.Duration(seconds*float64(time.Second))
		for now := from; now < end; now += step {
			for i := range 20 {
				m.Arrived(now, 50, 50, float64(i) < 20*again)
			}
			lines += len(m.Step(now+step, 100, short))
		}
		return end
	}
	now := count(0, 4, 0.5, 1)
	if w := m.RetryUtility(); math.Abs(w-retryShort) > 0.01 || lines != 1 {
		t.Errorf("worth %v while the fleet is short, %d lines", w, lines)
	}
	count(now, 6, 0, 0)
	if w := m.RetryUtility(); w != 1 || lines != 2 {
		t.Errorf("worth %v after it, %d lines", w, lines)
	}
}

// A request is in vain if those ahead of it and those of more value that come take
// every slot until it is too old, and only then.
func TestInVain(t *testing.T) {
	m := New(0, false)
	for now := time.Duration(0); now < 5*time.Second; now += step {
		for range 9 {
			m.Arrived(now, 100, 100, false)
			m.Arrived(now, 10, 10, false)
		}
		m.Step(now+step, 100, 1) // 100 a second drain, 90 of more value come
	}
	line := func(n int, value float64) (l []rules.QueuedRequest) {
		for range n {
			l = append(l, rules.QueuedRequest{Utility: value})
		}
		return l
	}
	for name, c := range map[string]struct {
		line  []rules.QueuedRequest
		value float64
		want  bool
	}{
		"dear, behind twenty":   {line(20, 100), 100, true},  // 0.2 s of 0.15
		"dear, behind ten":      {line(10, 100), 100, false}, // 0.1 s
		"cheap, behind three":   {line(4, 100), 10, true},    // 3 at 10 a second
		"cheap, behind one":     {line(2, 100), 10, false},   // 0.1 s
		"dear, cheap ones wait": {line(90, 10), 100, false},
	} {
		if got := m.ExceedsQueueTimeout(c.line, c.value, 300*time.Millisecond); got != c.want {
			t.Errorf("%s: in vain %v, it waits %v", name, got, m.QueueDelay(len(c.line)-1, c.value))
		}
	}
}

// Those refused together return spread out, around what they were advised.
func TestAdviceSpreads(t *testing.T) {
	m := New(0, false)
	m.drain = 100
	base, most := 400*time.Millisecond, 2*time.Second
	seen, sum := map[int64]int{}, time.Duration(0)
	const n = 200
	for range n {
		d := m.RetryAfter(0, base, most)
		if d < base/4 || d > 2*base {
			t.Fatalf("advice %v for %v", d, base)
		}
		seen[int64(d/slotWidth)]++
		sum += d
	}
	top := 0
	for _, k := range seen {
		top = max(top, k)
	}
	if mean := sum / n; mean < base*8/10 || mean > base*12/10 || len(seen) < 12 || top > n/10 {
		t.Errorf("mean %v in %d slots, %d in one", mean, len(seen), top)
	}
}

func word(drain, short float64, demand map[float64]float64) (w LoadReport) {
	w.DrainRate, w.ShortageShare = drain, short
	for price, x := range demand {
		w.Demand[band(price)] += x
	}
	return w
}

// Above the cut nobody sheds while anybody keeps what is below it: the cut is where
// demand, from the dearest down, has filled all drains, within a band.
func TestCutIsTheWaterLevel(t *testing.T) {
	g := NewAggregator(1)
	for i, name := range []string{"a", "b", "c", "d"} {
		w := word(100, 1, map[float64]float64{100: 50, 50: 40, 25: 30, 12: 100})
		if i == 3 { // one node has room, and only cheap work comes to it
			w = word(100, 0, map[float64]float64{12: 60})
		}
		if !g.Observe(0, name, 1, 1, w) {
			t.Fatal("not heard")
		}
	}
	d := g.Digest(0) // 150 of 100, 120 of 50, 90 of 25, 360 of 12 for 400: the cut is in the cheapest
	if d.Threshold == 0 || band(d.Threshold) != band(12) || d.Nodes != 4 || d.DrainRate != 400 || d.Demand != 720 {
		t.Errorf("digest %+v", d)
	}
	for seq := uint64(2); seq < 20; seq++ {
		for _, name := range []string{"a", "b", "c", "d"} {
			g.Observe(time.Duration(seq)*step, name, 1, seq, word(100, 1, map[float64]float64{100: 80, 50: 40}))
		}
		d = g.Digest(time.Duration(seq) * step)
	}
	if band(d.Threshold) != band(50) { // 320 of 100, 160 of 50 for 400
		t.Errorf("the cut is %v", d.Threshold)
	}
	for seq := uint64(20); seq < 24; seq++ {
		for _, name := range []string{"a", "b", "c", "d"} {
			g.Observe(time.Duration(seq)*step, name, 1, seq, word(100, 0.5, map[float64]float64{100: 80}))
		}
		d = g.Digest(time.Duration(seq) * step)
	}
	if d.Threshold != 0 {
		t.Errorf("the fleet has room for all, the cut is %v", d.Threshold)
	}
}

// One node's nonsense moves the fleet's figures by no more than a few shares.
func TestLiarIsTrimmed(t *testing.T) {
	for name, lie := range map[string]LoadReport{
		"a million":  word(1e6, 1, map[float64]float64{1000: 1e6}),
		"negative":   word(-5, -1, map[float64]float64{1000: -100}),
		"no number":  word(math.NaN(), math.NaN(), map[float64]float64{1000: math.NaN()}),
		"infinities": word(math.Inf(1), math.Inf(1), map[float64]float64{1000: math.Inf(1)}),
	} {
		g := NewAggregator(1)
		for i := range 9 {
			g.Observe(0, string(rune('a'+i)), 1, 1, word(100, 1, map[float64]float64{50: 150}))
		}
		g.Observe(0, "liar", 1, 1, lie)
		d := g.Digest(0)
		if !(d.DrainRate >= 900 && d.DrainRate <= 900+trimTimes*100) || !(d.Demand >= 1350 && d.Demand <= 1350+trimTimes*150) {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// A node that fell silent counts no more, and a dead incarnation's word nothing.
func TestWordsAge(t *testing.T) {
	g := NewAggregator(1)
	g.Observe(0, "a", 5, 9, word(100, 1, map[float64]float64{50: 300}))
	if g.Observe(step, "a", 4, 99, word(900, 0, nil)) || g.Observe(step, "a", 5, 9, word(900, 0, nil)) {
		t.Error("an older word was taken")
	}
	if d := g.Digest(step); d.DrainRate != 100 || d.Threshold == 0 {
		t.Errorf("digest %+v", d)
	}
	if d := g.Digest(wordLife); d.Nodes != 0 || d.Threshold != 0 {
		t.Errorf("after its life %+v", d)
	}
}

// A digest is believed less and less, without a jump, and past its life it is as if
// never told; an older epoch or sequence changes nothing while it lives.
func TestDigestAges(t *testing.T) {
	m, never := New(0, true), New(0, true)
	if !m.ReceiveDigest(0, 0, Digest{Epoch: 7, Seq: 3, Threshold: 40}) {
		t.Fatal("not taken")
	}
	for _, d := range []Digest{{Epoch: 7, Seq: 3, Threshold: 9}, {Epoch: 7, Seq: 2, Threshold: 9}, {Epoch: 6, Seq: 99, Threshold: 9}, {Seq: 5}, {Epoch: 9, Seq: 1, Threshold: math.NaN()}} {
		if m.ReceiveDigest(step, step, d) {
			t.Errorf("%+v was taken", d)
		}
	}
	was := 1.0
	for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
		trust := m.trust(now)
		if trust > was || was-trust > 0.01 {
			t.Fatalf("trust went from %v to %v at %v", was, trust, now)
		}
		was = trust
	}
	feed(m, 0, 4, 200, 0.3, 0.3, 100, 1)
	feed(never, 0, 4, 200, 0.3, 0.3, 100, 1)
	if a, b := m.View(4*time.Second), never.View(4*time.Second); a.Shortage != b.Shortage || a.Threshold != 0 || a.Trust != 0 {
		t.Errorf("past its life %+v, never told %+v", a, b)
	}
	if !m.ReceiveDigest(4*time.Second, 4*time.Second, Digest{Epoch: 6, Seq: 1, Threshold: 9}) {
		t.Error("a service that lost its folder is not heard once the other's word has died")
	}
	if m.ReceiveDigest(9*time.Second, 6*time.Second, Digest{Epoch: 8, Seq: 1, Threshold: 9}) {
		t.Error("a digest that arrived past its life was taken")
	}
}

// Told, only what is below the cut is to try no other node.
func TestToldEndsWalksBelowTheCut(t *testing.T) {
	m := New(0, true)
	m.ReceiveDigest(0, 0, Digest{Epoch: 1, Seq: 1, Threshold: 40})
	for range 50 {
		if !m.StopsRetries(0, 10) {
			t.Fatal("a walk below the cut goes on")
		}
		if m.StopsRetries(0, 100) {
			t.Fatal("a walk above the cut ends")
		}
	}
	m.ReceiveDigest(step, step, Digest{Epoch: 1, Seq: 2, Threshold: 0})
	if m.StopsRetries(step, 10) {
		t.Error("a walk ends while the fleet has room")
	}
	alone := New(0, false)
	if alone.ReceiveDigest(0, 0, Digest{Epoch: 1, Seq: 1, Threshold: 40}) {
		t.Error("a node that is not to be told took a digest")
	}
}

// The invariants of the package, whatever comes in.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0, true)
		g := NewAggregator(1)
		now := time.Duration(0)
		any := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1000), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(-1.0))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passed"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.Arrived(now, any.Draw(t, "value"), any.Draw(t, "price"), rapid.Bool().Draw(t, "again"))
			case 1:
				m.Step(now, any.Draw(t, "drain"), any.Draw(t, "short"))
			case 2:
				base := time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "base"))
				most := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "most"))
				if d := m.RetryAfter(now, base, most); d <= 0 || d > max(most, slotWidth) && d > base {
					t.Fatalf("advice %v for base %v, most %v", d, base, most)
				}
			case 3:
				m.ReceiveDigest(now, now-time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "age")),
					Digest{Epoch: rapid.Uint64Range(0, 3).Draw(t, "epoch"), Seq: rapid.Uint64Range(0, 9).Draw(t, "seq"), Threshold: any.Draw(t, "cut")})
			case 4:
				m.StopsRetries(now, any.Draw(t, "price"))
			case 5:
				g.Observe(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Uint64Range(0, 2).Draw(t, "inc"),
					rapid.Uint64Range(0, 9).Draw(t, "seq"), word(any.Draw(t, "drain"), any.Draw(t, "short"), map[float64]float64{50: any.Draw(t, "demand")}))
				if d := g.Digest(now); !(d.Threshold >= 0) || !(d.DrainRate >= 0) || !(d.Demand >= 0) || math.IsInf(d.DrainRate+d.Demand+d.Threshold, 0) {
					t.Fatalf("digest %+v", d)
				}
			}
			v := m.View(now)
			if !(v.PeerRefusalShare >= 0 && v.PeerRefusalShare <= 1 && v.Shortage >= 0 && v.Shortage <= 1 && v.Trust >= 0 && v.Trust <= 1) ||
				!(m.RetryUtility() >= retryShort-1e-9 && m.RetryUtility() <= 1) || !(m.grown >= least && m.grown <= longest) || !(m.odd >= 0 && m.odd < 1) {
				t.Fatalf("view %+v, worth %v, grown %v, odd %v", v, m.RetryUtility(), m.grown, m.odd)
			}
		}
		for range 400 { // nothing outlives its evidence
			now += step
			m.Step(now, 0, 0)
		}
		if v := m.View(now); v.Shortage > 1e-6 || v.Trust != 0 || v.Threshold != 0 || m.acting {
			t.Fatalf("after 40 s without anything: %+v, acting %v", v, m.acting)
		}
	})
}

// After a storm in which walks ended here, this node alone is slow: its own refusals
// come back to it marked, and must not pass for those of others.
func TestOwnRefusalsAreNotOthers(t *testing.T) {
	m := New(0, false)
	now := time.Duration(0)
	second := func(first, again int, drain float64) (share float64) {
		refused, ended := 0, 0
		for range 10 {
			for i := range first/10 + again/10 {
				m.Arrived(now, 50, 50, i < again/10)
				if i%2 == 0 {
					refused++
					if m.StopsRetries(now, 50) {
						ended++
					}
				}
			}
			now += 100 * time.Millisecond
			m.Step(now, drain, 1)
		}
		return float64(ended) / float64(max(refused, 1))
	}
	for range 3 {
		second(200, 100, 100)
	}
	if share := second(200, 100, 100); share < 0.7 {
		t.Fatalf("%.2f of the refusals end a walk in a storm", share)
	}
	for range 2 { // the storm is over, and a third of the usual comes to a node that was slowed
		second(30, 10, 15)
	}
	if share := second(30, 10, 15); share > 0 {
		t.Errorf("%.2f of the refusals end a walk where others have room", share)
	}
}
