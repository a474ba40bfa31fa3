package shedding

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinmast/rules"
)

// The exchange of words, digests and refusals of two nodes and a service, explored
// exhaustively: in each of the first ticks every report may arrive, be lost, or have
// its answer delayed by up to four ticks and so overtaken; the service may start
// anew with a later epoch, or an earlier one, as from a clock set back; the overload
// may end. Bounds: exploreTicks ticks of 500 ms with exploreFaults faults, then quiet.
// The code explored is the package's own.
const (
	exploreTick   = 500 * time.Millisecond
	exploreTicks  = 5
	exploreFaults = 3
	quietTicks    = 14 // a word's life, a digest's life, and as many reports again
	exploreNodes  = 2
)

// flight is an answer under way.
type flight struct {
	to   int
	made time.Duration
	due  time.Duration
	d    Digest
}

type world struct {
	now     time.Duration
	tick    int
	faults  int
	over    bool          // the overload lasts
	ended   time.Duration // when it ended
	epoch   uint64
	g       *Aggregator
	seq     [exploreNodes]uint64
	nodes   [exploreNodes]Shedder
	flights []flight
}

func (w *world) clone() *world {
	c := *w
	g := *w.g
	g.words = make(map[string]*heard, len(w.g.words))
	for name, h := range w.g.words {
		copied := *h
		g.words[name] = &copied
	}
	c.g = &g
	c.flights = append([]flight(nil), w.flights...)
	return &c
}

// key tells worlds apart by all that may matter for what follows.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.tick, w.faults, w.over, w.ended, w.epoch, w.g.cut, w.g.seq, w.seq)
	for _, name := range []string{"n0", "n1"} {
		if h := w.g.words[name]; h != nil {
			fmt.Fprint(&b, "|", h.seq, w.now-h.at, h.ShortageShare)
		}
	}
	for i := range w.nodes {
		m := &w.nodes[i]
		fmt.Fprint(&b, "/", m.hasDigest, m.digest.Epoch, m.digest.Seq, m.digest.Threshold, m.heard)
	}
	for _, f := range w.flights {
		fmt.Fprint(&b, "~", f.to, f.due-w.now, f.d.Epoch, f.d.Seq, f.d.Threshold)
	}
	return b.String()
}

// fate is what becomes of one report.
type fate int

const (
	arrives fate = iota
	lost         // the report
	late1        // the answer comes a tick later
	late4        // and four: another may overtake it
	fates
)

// report lets a node report, with a fate.
func (w *world) report(i int, f fate) {
	w.seq[i]++
	if f == lost {
		return
	}
	said := word(100, 0, map[float64]float64{50: 40})
	if w.over {
		said = word(100, 1, map[float64]float64{50: 150, 10: 100})
	}
	w.g.Observe(w.now, fmt.Sprint("n", i), 1, w.seq[i], said)
	a := flight{to: i, made: w.now, due: w.now, d: w.g.Last()}
	switch f {
	case late1:
		a.due += exploreTick
	case late4:
		a.due += 4 * exploreTick
	}
	if a.d.Epoch > 0 {
		w.flights = append(w.flights, a)
	}
}

// pass moves time by a tick: the service makes a digest, answers arrive.
func (w *world) pass() {
	w.g.Digest(w.now)
	rest := w.flights[:0:0]
	for _, f := range w.flights {
		if f.due > w.now {
			rest = append(rest, f)
			continue
		}
		w.nodes[f.to].ReceiveDigest(w.now, f.made, f.d)
	}
	w.flights = rest
	w.now += exploreTick
	w.tick++
}

func (w *world) restart(epoch uint64) {
	w.epoch = epoch
	w.g = NewAggregator(epoch)
}

// check holds the invariants of every world.
func (w *world) check() error {
	bare := New(0, true)
	bare.drain, bare.short = 100, 1
	line := []rules.QueuedRequest{{Utility: 50}, {Utility: 50}, {Utility: 50}}
	for i := range w.nodes {
		m := w.nodes[i] // a copy
		m.drain, m.short = 100, 1
		for _, value := range []float64{10, 50} {
			for _, most := range []time.Duration{time.Millisecond, time.Second} {
				if m.ExceedsQueueTimeout(line, value, most) != bare.ExceedsQueueTimeout(line, value, most) {
					return fmt.Errorf("node %d refuses for others' sake what it would finish alone", i)
				}
			}
		}
		if v := m.View(w.now); v.Threshold > 0 && !w.over && w.now-w.ended > wordLife+trustEnd {
			return fmt.Errorf("node %d follows a cut %v after the overload ended", i, w.now-w.ended)
		}
		if v := m.View(w.now); v.Trust > 0 && w.now-m.heard >= trustEnd {
			return fmt.Errorf("node %d trusts a digest of age %v", i, w.now-m.heard)
		}
	}
	return nil
}

// settle lets everything arrive for a while: the fleet must be calm, and hear the
// present life of the service.
func (w *world) settle() error {
	for range quietTicks {
		for i := range w.nodes {
			w.report(i, arrives)
		}
		w.pass()
		if err := w.check(); err != nil {
			return err
		}
	}
	for i := range w.nodes {
		m := &w.nodes[i]
		if v := m.View(w.now); v.Threshold > 0 != w.over || v.Trust < 1 || m.digest.Epoch != w.epoch {
			return fmt.Errorf("node %d after %d quiet ticks: %+v of epoch %d, the service's is %d, overload %v", i, quietTicks, v, m.digest.Epoch, w.epoch, w.over)
		}
	}
	return nil
}

func TestExplore(t *testing.T) {
	begin := &world{over: true, epoch: 10, g: NewAggregator(10)}
	for i := range begin.nodes {
		begin.nodes[i] = *New(0, true)
	}
	seen := map[string]bool{}
	todo := []*world{begin}
	settled := 0
	for len(todo) > 0 {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if err := w.clone().settle(); err != nil {
			t.Fatalf("%v\nfrom %s", err, w.key())
		}
		settled++
		if w.tick == exploreTicks {
			continue
		}
		for service := range 3 {
			for first := range fates {
				for second := range fates {
					for _, ends := range []bool{false, true} {
						n := w.clone()
						for _, f := range []fate{first, second} {
							if f != arrives {
								n.faults++
							}
						}
						if service > 0 {
							n.faults++
							n.restart(map[int]uint64{1: n.epoch + 1, 2: n.epoch - 1}[service])
						}
						if n.faults > exploreFaults || ends && !n.over {
							continue
						}
						if ends {
							n.over, n.ended = false, n.now
						}
						n.report(0, first)
						n.report(1, second)
						n.pass()
						if err := n.check(); err != nil {
							t.Fatalf("%v\nfrom %s", err, w.key())
						}
						if k := n.key(); !seen[k] {
							seen[k] = true
							todo = append(todo, n)
						}
					}
				}
			}
		}
	}
	t.Logf("%d states seen, from each of %d the fleet was calm, or cut as it should be, within %d ticks", len(seen), settled, quietTicks)
	if len(seen) < 1000 {
		t.Errorf("only %d states were seen", len(seen))
	}
}
