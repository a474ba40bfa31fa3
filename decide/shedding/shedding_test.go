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

// feed simulates seconds of arrivals at rate a second, a share of them further tries and a share
// refused. It returns the time at the end.
func feed(
	m *Shedder, from time.Duration, seconds, rate, retryShare, refusedShare, drainRate, shortageShare float64,
) time.Duration {
	random := rand.New(rand.NewPCG(1, uint64(rate)))
	end := from + time.Duration(seconds*float64(time.Second))
	for now := from; now < end; now += step {
		for range int(rate * step.Seconds()) {
			m.Arrived(now, 50, 50, random.Float64() < retryShare)
			if random.Float64() < refusedShare {
				m.StopsRetries(now, 50)
			}
		}
		m.Step(now+step, drainRate, shortageShare)
	}
	return end
}

// Without a digest, refusals stop retries only if further tries show that peers refuse too and run
// slots are short on this node. One full node among peers with capacity stops none.
func TestStopsRetriesWithoutDigest(t *testing.T) {
	for name, c := range map[string]struct {
		retryShare, shortageShare float64
		min, max                  float64
	}{
		"one full node, peers have capacity": {0.02, 1, 0, 0},
		"this node has capacity":             {0.5, 0, 0, 0},
		"peers refuse half":                  {0.5, 1, 0.85, 0.91},
		"between":                            {0.19, 1, 0.3, 0.91},
	} {
		m := New(0, false)
		now := feed(m, 0, 5, 200, c.retryShare, 0.4, 100, c.shortageShare)
		stopped := 0
		for range 1000 {
			if m.StopsRetries(now, 50) {
				stopped++
			}
		}
		if share := float64(stopped) / 1000; share < c.min || share > c.max {
			t.Errorf("%s: %.3f of the refusals stop retries, want %.2f to %.2f", name, share, c.min, c.max)
		}
	}
}

// A further try has the utility of a first one while only some nodes are full, and less in a
// shortage of the fleet. The begin and the end of the shortage are logged once each.
func TestRetryUtility(t *testing.T) {
	m := New(0, false)
	if w := m.RetryUtility(); w != 1 {
		t.Errorf("utility factor %v at the start", w)
	}
	lines := 0
	run := func(from time.Duration, seconds float64, retryShare, shortageShare float64) time.Duration {
		end := from + time.Duration(seconds*float64(time.Second))
		for now := from; now < end; now += step {
			for i := range 20 {
				m.Arrived(now, 50, 50, float64(i) < 20*retryShare)
			}
			lines += len(m.Step(now+step, 100, shortageShare))
		}
		return end
	}
	now := run(0, 4, 0.5, 1)
	if w := m.RetryUtility(); math.Abs(w-shortageRetryUtility) > 0.01 || lines != 1 {
		t.Errorf("utility factor %v in a shortage, %d log lines", w, lines)
	}
	run(now, 6, 0, 0)
	if w := m.RetryUtility(); w != 1 || lines != 2 {
		t.Errorf("utility factor %v after the shortage, %d log lines", w, lines)
	}
}

// A request exceeds the queue timeout if the requests ahead of it and arrivals of higher utility
// take every run slot until then.
func TestExceedsQueueTimeout(t *testing.T) {
	m := New(0, false)
	for now := time.Duration(0); now < 5*time.Second; now += step {
		for range 9 {
			m.Arrived(now, 100, 100, false)
			m.Arrived(now, 10, 10, false)
		}
		m.Step(now+step, 100, 1) // drain rate 100, of which 90 go to arrivals of higher utility
	}
	queue := func(n int, utility float64) (q []rules.QueuedRequest) {
		for range n {
			q = append(q, rules.QueuedRequest{Utility: utility})
		}
		return q
	}
	for name, c := range map[string]struct {
		queue   []rules.QueuedRequest
		utility float64
		want    bool
	}{
		"high utility, behind 20":         {queue(20, 100), 100, true},  // 0.2 s of 0.15
		"high utility, behind 10":         {queue(10, 100), 100, false}, // 0.1 s
		"low utility, behind 3":           {queue(4, 100), 10, true},    // 3 at 10 a second
		"low utility, behind 1":           {queue(2, 100), 10, false},   // 0.1 s
		"high utility, behind lower ones": {queue(90, 10), 100, false},
	} {
		if got := m.ExceedsQueueTimeout(c.queue, c.utility, 300*time.Millisecond); got != c.want {
			t.Errorf("%s: got %v, expected delay %v", name, got, m.QueueDelay(len(c.queue)-1, c.utility))
		}
	}
}

// Callers refused together return at different times, around the base retry-after.
func TestRetryAfterSpreads(t *testing.T) {
	m := New(0, false)
	m.drainRate = 100
	base, limit := 400*time.Millisecond, 2*time.Second
	perSlot, sum := map[int64]int{}, time.Duration(0)
	const n = 200
	for range n {
		d := m.RetryAfter(0, base, limit)
		if d < base/4 || d > 2*base {
			t.Fatalf("retry-after %v for base %v", d, base)
		}
		perSlot[int64(d/slotWidth)]++
		sum += d
	}
	maxPerSlot := 0
	for _, k := range perSlot {
		maxPerSlot = max(maxPerSlot, k)
	}
	if mean := sum / n; mean < base*8/10 || mean > base*12/10 || len(perSlot) < 12 || maxPerSlot > n/10 {
		t.Errorf("mean %v in %d slots, at most %d in one slot", mean, len(perSlot), maxPerSlot)
	}
}

// newLoadReport returns a load report with the given demand by utility.
func newLoadReport(drainRate, shortageShare float64, demand map[float64]float64) (load LoadReport) {
	load.DrainRate, load.ShortageShare = drainRate, shortageShare
	for utility, x := range demand {
		load.Demand[band(utility)] += x
	}
	return load
}

// The threshold is the band in which demand, added up from the highest band down, exceeds the drain
// rate of the fleet. So no node sheds above it what another node could still run.
func TestThreshold(t *testing.T) {
	aggregator := NewAggregator(1)
	for i, name := range []string{"a", "b", "c", "d"} {
		load := newLoadReport(100, 1, map[float64]float64{100: 50, 50: 40, 25: 30, 12: 100})
		if i == 3 { // one node has capacity, and only requests of low utility
			load = newLoadReport(100, 0, map[float64]float64{12: 60})
		}
		if !aggregator.Observe(0, name, 1, 1, load) {
			t.Fatal("load report ignored")
		}
	}
	d := aggregator.Digest(0) // demand 150 at 100, 120 at 50, 90 at 25, 360 at 12; drain rate 400
	if d.Threshold == 0 || band(d.Threshold) != band(12) || d.Nodes != 4 || d.DrainRate != 400 || d.Demand != 720 {
		t.Errorf("digest %+v", d)
	}
	for seq := uint64(2); seq < 20; seq++ {
		for _, name := range []string{"a", "b", "c", "d"} {
			aggregator.Observe(time.Duration(seq)*step, name, 1, seq, newLoadReport(100, 1, map[float64]float64{100: 80, 50: 40}))
		}
		d = aggregator.Digest(time.Duration(seq) * step)
	}
	if band(d.Threshold) != band(50) { // demand 320 at 100, 160 at 50; drain rate 400
		t.Errorf("the threshold is %v", d.Threshold)
	}
	for seq := uint64(20); seq < 24; seq++ {
		for _, name := range []string{"a", "b", "c", "d"} {
			aggregator.Observe(time.Duration(seq)*step, name, 1, seq, newLoadReport(100, 0.5, map[float64]float64{100: 80}))
		}
		d = aggregator.Digest(time.Duration(seq) * step)
	}
	if d.Threshold != 0 {
		t.Errorf("the fleet has capacity for all, the threshold is %v", d.Threshold)
	}
}

// Invalid or excessive figures of one node have a limited effect on the sums of the fleet.
func TestOutlierIsLimited(t *testing.T) {
	for name, outlier := range map[string]LoadReport{
		"a million":  newLoadReport(1e6, 1, map[float64]float64{1000: 1e6}),
		"negative":   newLoadReport(-5, -1, map[float64]float64{1000: -100}),
		"NaN":        newLoadReport(math.NaN(), math.NaN(), map[float64]float64{1000: math.NaN()}),
		"infinities": newLoadReport(math.Inf(1), math.Inf(1), map[float64]float64{1000: math.Inf(1)}),
	} {
		aggregator := NewAggregator(1)
		for i := range 9 {
			aggregator.Observe(0, string(rune('a'+i)), 1, 1, newLoadReport(100, 1, map[float64]float64{50: 150}))
		}
		aggregator.Observe(0, "outlier", 1, 1, outlier)
		d := aggregator.Digest(0)
		if !(d.DrainRate >= 900 && d.DrainRate <= 900+maxMedianRatio*100) || !(d.Demand >= 1350 && d.Demand <= 1350+maxMedianRatio*150) {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Load reports expire, and late reports of an earlier incarnation are ignored.
func TestLoadReportsExpire(t *testing.T) {
	aggregator := NewAggregator(1)
	aggregator.Observe(0, "a", 5, 9, newLoadReport(100, 1, map[float64]float64{50: 300}))
	if aggregator.Observe(step, "a", 4, 99, newLoadReport(900, 0, nil)) || aggregator.Observe(step, "a", 5, 9, newLoadReport(900, 0, nil)) {
		t.Error("an older load report was accepted")
	}
	if d := aggregator.Digest(step); d.DrainRate != 100 || d.Threshold == 0 {
		t.Errorf("digest %+v", d)
	}
	if d := aggregator.Digest(reportLifetime); d.Nodes != 0 || d.Threshold != 0 {
		t.Errorf("after the report expired: %+v", d)
	}
}

// Trust in a digest falls continuously, and an expired digest has no effect. A digest with a lower
// epoch or sequence number is ignored until the last one has expired, as is an expired one.
func TestDigestExpires(t *testing.T) {
	m, withoutDigest := New(0, true), New(0, true)
	if !m.ReceiveDigest(0, 0, Digest{Epoch: 7, Seq: 3, Threshold: 40}) {
		t.Fatal("digest ignored")
	}
	for _, d := range []Digest{
		{Epoch: 7, Seq: 3, Threshold: 9}, {Epoch: 7, Seq: 2, Threshold: 9}, {Epoch: 6, Seq: 99, Threshold: 9},
		{Seq: 5}, {Epoch: 9, Seq: 1, Threshold: math.NaN()},
	} {
		if m.ReceiveDigest(step, step, d) {
			t.Errorf("%+v was accepted", d)
		}
	}
	previous := 1.0
	for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
		trust := m.trust(now)
		if trust > previous || previous-trust > 0.01 {
			t.Fatalf("trust went from %v to %v at %v", previous, trust, now)
		}
		previous = trust
	}
	feed(m, 0, 4, 200, 0.3, 0.3, 100, 1)
	feed(withoutDigest, 0, 4, 200, 0.3, 0.3, 100, 1)
	if a, b := m.View(4*time.Second), withoutDigest.View(4*time.Second); a.Shortage != b.Shortage || a.Threshold != 0 || a.Trust != 0 {
		t.Errorf("with an expired digest %+v, without one %+v", a, b)
	}
	if !m.ReceiveDigest(4*time.Second, 4*time.Second, Digest{Epoch: 6, Seq: 1, Threshold: 9}) {
		t.Error("a lower epoch is ignored although the last digest has expired")
	}
	if m.ReceiveDigest(9*time.Second, 6*time.Second, Digest{Epoch: 8, Seq: 1, Threshold: 9}) {
		t.Error("an expired digest was accepted")
	}
}

// With a digest, only refusals below its threshold stop retries.
func TestStopsRetriesBelowThreshold(t *testing.T) {
	m := New(0, true)
	m.ReceiveDigest(0, 0, Digest{Epoch: 1, Seq: 1, Threshold: 40})
	for range 50 {
		if !m.StopsRetries(0, 10) {
			t.Fatal("a refusal below the threshold allows retries")
		}
		if m.StopsRetries(0, 100) {
			t.Fatal("a refusal above the threshold stops retries")
		}
	}
	m.ReceiveDigest(step, step, Digest{Epoch: 1, Seq: 2, Threshold: 0})
	if m.StopsRetries(step, 10) {
		t.Error("a refusal stops retries while the fleet has capacity")
	}
	withoutDigests := New(0, false)
	if withoutDigests.ReceiveDigest(0, 0, Digest{Epoch: 1, Seq: 1, Threshold: 40}) {
		t.Error("a node that does not use digests accepted one")
	}
}

// The invariants in the package comment hold for any input.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0, true)
		aggregator := NewAggregator(1)
		now := time.Duration(0)
		anyFloat := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1000), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(-1.0))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passed"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.Arrived(now, anyFloat.Draw(t, "utility"), anyFloat.Draw(t, "first-try utility"), rapid.Bool().Draw(t, "further try"))
			case 1:
				m.Step(now, anyFloat.Draw(t, "drain"), anyFloat.Draw(t, "short"))
			case 2:
				base := time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "base"))
				limit := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "limit"))
				if d := m.RetryAfter(now, base, limit); d <= 0 || d > max(limit, slotWidth) && d > base {
					t.Fatalf("retry-after %v for base %v, limit %v", d, base, limit)
				}
			case 3:
				m.ReceiveDigest(now, now-time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "age")),
					Digest{Epoch: rapid.Uint64Range(0, 3).Draw(t, "epoch"), Seq: rapid.Uint64Range(0, 9).Draw(t, "seq"), Threshold: anyFloat.Draw(t, "threshold")})
			case 4:
				m.StopsRetries(now, anyFloat.Draw(t, "first-try utility"))
			case 5:
				aggregator.Observe(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
					rapid.Uint64Range(0, 9).Draw(t, "seq"), newLoadReport(anyFloat.Draw(t, "drain"), anyFloat.Draw(t, "short"), map[float64]float64{50: anyFloat.Draw(t, "demand")}))
				if d := aggregator.Digest(now); !(d.Threshold >= 0) || !(d.DrainRate >= 0) || !(d.Demand >= 0) || math.IsInf(d.DrainRate+d.Demand+d.Threshold, 0) {
					t.Fatalf("digest %+v", d)
				}
			}
			v := m.View(now)
			if !(v.PeerRefusalShare >= 0 && v.PeerRefusalShare <= 1 && v.Shortage >= 0 && v.Shortage <= 1 && v.Trust >= 0 && v.Trust <= 1) ||
				!(m.RetryUtility() >= shortageRetryUtility-1e-9 && m.RetryUtility() <= 1) || !(m.stretch >= minStretch && m.stretch <= maxStretch) || !(m.stopRemainder >= 0 && m.stopRemainder < 1) {
				t.Fatalf("view %+v, utility factor %v, stretch %v, remainder %v", v, m.RetryUtility(), m.stretch, m.stopRemainder)
			}
		}
		for range 400 { // estimates fade without input
			now += step
			m.Step(now, 0, 0)
		}
		if v := m.View(now); v.Shortage > 1e-6 || v.Trust != 0 || v.Threshold != 0 || m.shortageLogged {
			t.Fatalf("after 40 s without input: %+v, shortage logged %v", v, m.shortageLogged)
		}
	})
}

// After an overload of the fleet, this node alone is slow. Its own refusals come back to it marked
// as further tries, and must not be taken for refusals of its peers: the node would go on to stop
// retries for which the peers have capacity.
func TestOwnRefusalsAreNotPeers(t *testing.T) {
	m := New(0, false)
	now := time.Duration(0)
	second := func(firstTries, furtherTries int, drainRate float64) (share float64) {
		refused, stopped := 0, 0
		for range 10 {
			for i := range firstTries/10 + furtherTries/10 {
				m.Arrived(now, 50, 50, i < furtherTries/10)
				if i%2 == 0 {
					refused++
					if m.StopsRetries(now, 50) {
						stopped++
					}
				}
			}
			now += 100 * time.Millisecond
			m.Step(now, drainRate, 1)
		}
		return float64(stopped) / float64(max(refused, 1))
	}
	for range 3 {
		second(200, 100, 100)
	}
	if share := second(200, 100, 100); share < 0.7 {
		t.Fatalf("%.2f of the refusals stop retries in the overload", share)
	}
	for range 2 { // the overload is over; the node is slow, and a third of the usual load comes
		second(30, 10, 15)
	}
	if share := second(30, 10, 15); share > 0 {
		t.Errorf("%.2f of the refusals stop retries although the peers have capacity", share)
	}
}
