package shedding

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinmast/rules"
)

// Limits of the exhaustive search in TestExplore.
const (
	exploreTick   = 500 * time.Millisecond
	exploreTicks  = 5
	exploreFaults = 3
	quietTicks    = 14 // reportLifetime, maxDigestAge, and as many reports again
	exploreNodes  = 2
)

// response is a response of the service that is under way to a node.
type response struct {
	to   int
	made time.Duration
	due  time.Duration
	d    Digest
}

// simulation is a state of the searched system: two nodes and a control service.
type simulation struct {
	now         time.Duration
	tick        int
	faults      int
	overload    bool          // the overload lasts
	overloadEnd time.Duration // when it ended
	epoch       uint64
	aggregator  *Aggregator
	seq         [exploreNodes]uint64
	nodes       [exploreNodes]Shedder
	responses   []response
}

// clone returns a copy that shares nothing that changes.
func (s *simulation) clone() *simulation {
	c := *s
	aggregator := *s.aggregator
	aggregator.reports = make(map[string]*nodeReport, len(s.aggregator.reports))
	for name, r := range s.aggregator.reports {
		copied := *r
		aggregator.reports[name] = &copied
	}
	c.aggregator = &aggregator
	c.responses = append([]response(nil), s.responses...)
	return &c
}

// key identifies a state by everything that its future depends on.
func (s *simulation) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.tick, s.faults, s.overload, s.overloadEnd, s.epoch, s.aggregator.thresholdBand, s.aggregator.seq, s.seq)
	for _, name := range []string{"n0", "n1"} {
		if r := s.aggregator.reports[name]; r != nil {
			fmt.Fprint(&b, "|", r.seq, s.now-r.receivedAt, r.ShortageShare)
		}
	}
	for i := range s.nodes {
		m := &s.nodes[i]
		fmt.Fprint(&b, "/", m.hasDigest, m.digest.Epoch, m.digest.Seq, m.digest.Threshold, m.digestAsOf)
	}
	for _, f := range s.responses {
		fmt.Fprint(&b, "~", f.to, f.due-s.now, f.d.Epoch, f.d.Seq, f.d.Threshold)
	}
	return b.String()
}

// delivery is what happens to one report and its response.
type delivery int

const (
	delivered delivery = iota
	lost               // the report
	delayed1           // the response is delayed by one tick
	delayed4           // by four ticks, so that a later one may overtake it
	numDeliveries
)

// report lets node i send its load report.
func (s *simulation) report(i int, d delivery) {
	s.seq[i]++
	if d == lost {
		return
	}
	load := newLoadReport(100, 0, map[float64]float64{50: 40})
	if s.overload {
		load = newLoadReport(100, 1, map[float64]float64{50: 150, 10: 100})
	}
	s.aggregator.Observe(s.now, fmt.Sprint("n", i), 1, s.seq[i], load)
	r := response{to: i, made: s.now, due: s.now, d: s.aggregator.Last()}
	switch d {
	case delayed1:
		r.due += exploreTick
	case delayed4:
		r.due += 4 * exploreTick
	}
	if r.d.Epoch > 0 {
		s.responses = append(s.responses, r)
	}
}

// advance moves time by a tick: the service computes a digest, and due responses arrive.
func (s *simulation) advance() {
	s.aggregator.Digest(s.now)
	rest := s.responses[:0:0]
	for _, f := range s.responses {
		if f.due > s.now {
			rest = append(rest, f)
			continue
		}
		s.nodes[f.to].ReceiveDigest(s.now, f.made, f.d)
	}
	s.responses = rest
	s.now += exploreTick
	s.tick++
}

// restart restarts the service without its reports.
func (s *simulation) restart(epoch uint64) {
	s.epoch = epoch
	s.aggregator = NewAggregator(epoch)
}

// check checks the invariants of every state.
func (s *simulation) check() error {
	withoutDigest := New(0, true)
	withoutDigest.drainRate, withoutDigest.shortageShare = 100, 1
	queue := []rules.QueuedRequest{{Utility: 50}, {Utility: 50}, {Utility: 50}}
	for i := range s.nodes {
		m := s.nodes[i] // a copy
		m.drainRate, m.shortageShare = 100, 1
		for _, utility := range []float64{10, 50} {
			for _, timeout := range []time.Duration{time.Millisecond, time.Second} {
				if m.ExceedsQueueTimeout(queue, utility, timeout) != withoutDigest.ExceedsQueueTimeout(queue, utility, timeout) {
					return fmt.Errorf("node %d refuses at once, because of a digest, what it would otherwise finish", i)
				}
			}
		}
		if v := m.View(s.now); v.Threshold > 0 && !s.overload && s.now-s.overloadEnd > reportLifetime+maxDigestAge {
			return fmt.Errorf("node %d follows a threshold %v after the overload ended", i, s.now-s.overloadEnd)
		}
		if v := m.View(s.now); v.Trust > 0 && s.now-m.digestAsOf >= maxDigestAge {
			return fmt.Errorf("node %d trusts a digest of age %v", i, s.now-m.digestAsOf)
		}
	}
	return nil
}

// settle lets everything arrive for quietTicks. Then the nodes must follow the present run of the
// service, with a threshold only if the overload lasts.
func (s *simulation) settle() error {
	for range quietTicks {
		for i := range s.nodes {
			s.report(i, delivered)
		}
		s.advance()
		if err := s.check(); err != nil {
			return err
		}
	}
	for i := range s.nodes {
		m := &s.nodes[i]
		if v := m.View(s.now); v.Threshold > 0 != s.overload || v.Trust < 1 || m.digest.Epoch != s.epoch {
			return fmt.Errorf("node %d after %d ticks without faults: %+v of epoch %d, the epoch of the service is %d, overload %v",
				i, quietTicks, v, m.digest.Epoch, s.epoch, s.overload)
		}
	}
	return nil
}

// Searches exhaustively through the exchange of load reports and digests between two nodes and a
// control service. In each of the first exploreTicks ticks every report may arrive, be lost, or
// have its response delayed and overtaken by a later one; the service may restart with a higher
// epoch, or with a lower one, as after its clock was set back; and the overload may end. There are
// at most exploreFaults faults. The invariants hold in every state, and after quietTicks without
// faults the nodes are in the state that the load calls for.
func TestExplore(t *testing.T) {
	begin := &simulation{overload: true, epoch: 10, aggregator: NewAggregator(10)}
	for i := range begin.nodes {
		begin.nodes[i] = *New(0, true)
	}
	visited := map[string]bool{}
	todo := []*simulation{begin}
	settled := 0
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if err := s.clone().settle(); err != nil {
			t.Fatalf("%v\nfrom %s", err, s.key())
		}
		settled++
		if s.tick == exploreTicks {
			continue
		}
		for service := range 3 { // it goes on, restarts with a higher epoch, or with a lower one
			for first := range numDeliveries {
				for second := range numDeliveries {
					for _, ends := range []bool{false, true} {
						n := s.clone()
						for _, d := range []delivery{first, second} {
							if d != delivered {
								n.faults++
							}
						}
						if service > 0 {
							n.faults++
							n.restart(map[int]uint64{1: n.epoch + 1, 2: n.epoch - 1}[service])
						}
						if n.faults > exploreFaults || ends && !n.overload {
							continue
						}
						if ends {
							n.overload, n.overloadEnd = false, n.now
						}
						n.report(0, first)
						n.report(1, second)
						n.advance()
						if err := n.check(); err != nil {
							t.Fatalf("%v\nfrom %s", err, s.key())
						}
						if k := n.key(); !visited[k] {
							visited[k] = true
							todo = append(todo, n)
						}
					}
				}
			}
		}
	}
	t.Logf("%d states reached; from each of %d the nodes were in the right state within %d ticks",
		len(visited), settled, quietTicks)
	if len(visited) < 1000 {
		t.Errorf("only %d states were reached", len(visited))
	}
}
