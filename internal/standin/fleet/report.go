// This file owns what a rehearsal counts and how it is told: seconds, the report,
// its table and its plot. It must never change what is played.

package fleet

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// slice is how finely served worth is kept, to tell how soon it was back.
const slice = 100 * time.Millisecond

// promptly is how soon a refused first try is to hear so.
const promptly = 20 * time.Millisecond

// tally is what happened in a span of time. Worth is earned by answers in time.
type tally struct {
	Asked    int       `json:"asked"`    // requests of desktops that began
	Offered  float64   `json:"offered"`  // their worth
	Worth    float64   `json:"worth"`    // served in time
	InTime   int       `json:"in_time"`  // requests served in time
	Requests [ends]int `json:"requests"` // how requests ended, by end
	Tries    [ends]int `json:"tries"`    // how tries ended, by end
	First    int       `json:"first"`    // first tries
	HeldBack int       `json:"held_back"`
	Ended    int       `json:"walks_ended"` // refusals that wished for no other node
	Advised  int       `json:"advised"`     // other refusals with advice
	Probes   int       `json:"probes"`
	Connects int       `json:"connects"`
	Lost     int       `json:"lost"`  // tries without an answer in time though nothing was wrong on the way
	Tardy    int       `json:"tardy"` // refused first tries answered later than promptly
	Twice    int       `json:"twice"` // answers to what had been answered
	Crashes  int       `json:"crashes"`

	refusedIn []time.Duration // of first tries
}

func (t *tally) add(o *tally) {
	t.Asked += o.Asked
	t.Offered += o.Offered
	t.Worth += o.Worth
	t.InTime += o.InTime
	for i := range ends {
		t.Requests[i] += o.Requests[i]
		t.Tries[i] += o.Tries[i]
	}
	t.First += o.First
	t.HeldBack += o.HeldBack
	t.Ended += o.Ended
	t.Advised += o.Advised
	t.Probes += o.Probes
	t.Connects += o.Connects
	t.Lost += o.Lost
	t.Twice += o.Twice
	t.Tardy += o.Tardy
	t.Crashes += o.Crashes
	t.refusedIn = append(t.refusedIn, o.refusedIn...)
}

// tries is how many were sent.
func (t *tally) tries() int {
	n := 0
	for _, x := range t.Tries {
		n += x
	}
	return n
}

// perFirst is how many tries were made for each first one.
func (t *tally) perFirst() float64 { return float64(t.tries()) / float64(max(t.First, 1)) }

// Second is one second of a rehearsal.
type Second struct {
	At       int     `json:"at"` // from 1
	Tally    tally   `json:"tally"`
	NodeCPU  float64 `json:"node_cpu"`   // cores, all nodes together
	MemoryKB int     `json:"memory_kb"`  // the largest node
	CtlCPU   float64 `json:"ctl_cpu"`    // cores, all control services
	CPUOfTry float64 `json:"cpu_of_try"` // microseconds of the nodes a try
}

// Mark is a fault's begin or end.
type Mark struct {
	At    float64 `json:"at"` // seconds
	Fault string  `json:"fault"`
	On    bool    `json:"on"`
}

// Report is what a rehearsal showed, from outside.
type Report struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Nodes    int      `json:"nodes"`
	Together string   `json:"together"`
	Capacity float64  `json:"capacity"` // requests a second that fill all cores
	Seconds  []Second `json:"seconds"`
	Marks    []Mark   `json:"marks"`
	Tally    tally    `json:"tally"`

	PerFirst    float64 `json:"tries_a_first_try"`
	ServedShare float64 `json:"served_share"` // of the requests, whenever
	WorthShare  float64 `json:"worth_share"`  // of the worth offered, in time
	RefusedP50  float64 `json:"refused_p50_ms"`
	RefusedP99  float64 `json:"refused_p99_ms"`
	RefusedSoon float64 `json:"refused_within_20ms"` // share of the refused first tries
	RanTwice    int     `json:"ran_twice"`           // keyed or unsafe work that ran more than once in one life of a node
	RanAgain    int     `json:"ran_again"`           // and in a later life of the same node: where its memory was lost that shows
	Back        float64 `json:"back_s"`              // from the last fault's end until 0.95 of the worth before the first; -1 = not, 0 = there was no fault
	Half        float64 `json:"half_s"`              // the same until half of it
	Before      float64 `json:"before"`              // worth a second served before the first fault
	During      float64 `json:"during"`              // and while faults lasted

	slices []float64
}

// Broken lists what no rehearsal may show.
func (r *Report) Broken() (list []string) {
	for what, n := range map[string]int{
		"tries without an answer in their time, with nothing wrong on the way": r.Tally.Lost,
		"answers to what had been answered":                                    r.Tally.Twice,
		"keyed or unsafe requests that ran twice in one life of a node":        r.RanTwice,
		"processes that ended unasked or did not start":                        r.Tally.Crashes,
	} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, what))
		}
	}
	slices.Sort(list)
	return list
}

// Mean adds up the seconds from one to before another.
func (r *Report) Mean(from, to int) (t tally, cpu float64) {
	for _, s := range r.Seconds {
		if s.At > from && s.At <= to {
			t.add(&s.Tally)
			cpu += s.NodeCPU
		}
	}
	return t, cpu / float64(max(to-from, 1))
}

// tick closes each second.
func (f *Fleet) tick(r *Report) {
	use := func() (nodes, ctl time.Duration) {
		for _, n := range f.nodes {
			nodes += n.child.used()
		}
		for _, c := range f.control {
			ctl += c.child.used()
		}
		return
	}
	nodes, ctl := use()
	perSecond := int(time.Second / slice)
	var sum tally
	for i := 1; i <= f.s.Fleet.Seconds*perSecond; i++ {
		if f.pause(max(time.Until(f.began.Add(time.Duration(i)*slice)), 0)) != nil {
			return
		}
		f.mu.Lock()
		t := f.now
		f.now = tally{}
		f.mu.Unlock()
		r.slices = append(r.slices, t.Worth)
		sum.add(&t)
		if i%perSecond != 0 {
			continue
		}
		s := Second{At: i / perSecond, Tally: sum}
		n, c := use()
		s.NodeCPU, s.CtlCPU = (n - nodes).Seconds(), (c - ctl).Seconds()
		nodes, ctl = n, c
		s.CPUOfTry = s.NodeCPU * 1e6 / float64(max(sum.tries(), 1))
		for _, n := range f.nodes {
			s.MemoryKB = max(s.MemoryKB, n.child.memory())
		}
		r.Seconds = append(r.Seconds, s)
		if f.opt.Tell != nil {
			f.opt.Tell(s)
		}
		sum = tally{}
	}
}

// finish adds up a report.
func (f *Fleet) finish(r *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range r.Seconds {
		r.Tally.add(&r.Seconds[i].Tally)
	}
	rest := f.now // what ended while the rehearsal did: accounting, no service
	r.Tally.Twice += rest.Twice
	for _, d := range f.dispatchers {
		for i := range d.peers {
			for _, c := range d.peers[i].conns {
				r.Tally.Twice += c.DuplicateAnswers()
				c.Close()
			}
		}
	}
	for _, n := range f.nodes {
		r.Tally.Crashes += n.child.crashes
	}
	for _, c := range f.control {
		r.Tally.Crashes += c.child.crashes
	}
	for _, n := range f.ran {
		if n > 1 {
			r.RanTwice++
		}
	}
	r.RanAgain = f.again
	r.Marks = f.marks
	t := &r.Tally
	r.PerFirst = t.perFirst()
	over := 0
	for _, n := range t.Requests {
		over += n
	}
	r.ServedShare = float64(t.Requests[served]) / float64(max(over, 1))
	r.WorthShare = t.Worth / max(t.Offered, 1e-9)
	slices.Sort(t.refusedIn)
	quantile := func(q float64) float64 {
		if len(t.refusedIn) == 0 {
			return 0
		}
		return float64(t.refusedIn[int(q*float64(len(t.refusedIn)-1))]) / float64(time.Millisecond)
	}
	r.RefusedP50, r.RefusedP99 = quantile(0.5), quantile(0.99)
	soon, _ := slices.BinarySearch(t.refusedIn, promptly)
	r.RefusedSoon = float64(soon) / float64(max(len(t.refusedIn), 1))
	r.back()
}

// back works out how service stood before, during and after the faults. The first
// second is warming up. A sliding second has 0.95 of before, or it is not back.
func (r *Report) back() {
	if len(r.Marks) == 0 {
		return
	}
	per := int(time.Second / slice)
	at := func(s float64) int { return int(math.Round(s * float64(per))) }
	mean := func(from, to int) float64 {
		from, to = max(from, 0), min(to, len(r.slices))
		sum := 0.0
		for i := from; i < to; i++ {
			sum += r.slices[i]
		}
		return sum * float64(per) / float64(max(to-from, 1))
	}
	begin, end := at(r.Marks[0].At), at(r.Marks[len(r.Marks)-1].At)
	r.Before, r.During = mean(min(per, begin/2), begin), mean(begin, end)
	until := func(share float64) float64 {
		for i := end; i+per <= len(r.slices); i++ {
			if mean(i, i+per) >= share*r.Before {
				return float64(i-end) / float64(per)
			}
		}
		return -1
	}
	r.Half, r.Back = until(0.5), until(0.95)
}

// Line prints a second for people.
func (s Second) Line(out io.Writer) {
	t := &s.Tally
	fmt.Fprintf(out, "%4d %6d %8.0f %8.0f %6.2f %7d %7d %7d %6d %6d %6d %6d %5.2f %5.0f %5d\n", s.At, t.Asked, t.Offered, t.Worth, t.perFirst(),
		t.Tries[served], t.Tries[refused], t.Tries[failed], t.Tries[late], t.Tries[cut]+t.Tries[unreachable], t.HeldBack, t.Ended, s.NodeCPU, s.CPUOfTry, s.MemoryKB>>10)
}

// Head is the table's head.
func Head(out io.Writer) {
	fmt.Fprintf(out, "%4s %6s %8s %8s %6s %7s %7s %7s %6s %6s %6s %6s %5s %5s %5s\n", "s", "asked", "offered", "worth", "tries",
		"served", "refused", "failed", "late", "cut", "held", "ended", "cpu", "us", "MB")
}

// Table prints the end of a rehearsal for people.
func (r *Report) Table(out io.Writer) {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(what, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", what, fmt.Sprintf(format, args...)) }
	row("requests", "%d, %.4f of them served, %.4f of the worth in time", r.Tally.Asked, r.ServedShare, r.WorthShare)
	row("tries a first try", "%.3f", r.PerFirst)
	for i, name := range endNames {
		if n, q := r.Tally.Tries[i], r.Tally.Requests[i]; n+q > 0 {
			row(name, "%d tries, %d requests", n, q)
		}
	}
	row("refused first tries", "answered in %.1f ms (p50), %.1f ms (p99), %.3f of them within 20 ms", r.RefusedP50, r.RefusedP99, r.RefusedSoon)
	row("probes, connections", "%d, %d", r.Tally.Probes, r.Tally.Connects)
	if r.RanAgain > 0 {
		row("ran again", "%d keyed or unsafe requests ran in a later life of the same node too", r.RanAgain)
	}
	if len(r.Marks) > 0 {
		row("worth a second", "%.0f before the faults, %.0f while they lasted", r.Before, r.During)
		if r.Back < 0 {
			row("back to 0.95", "not before the end")
		} else {
			row("back to 0.95", "%.1f s after the last fault's end", r.Back)
		}
	}
	_ = w.Flush() // whoever asked has gone
	if broken := r.Broken(); len(broken) > 0 {
		fmt.Fprintf(out, "\nBROKEN: %s\n", strings.Join(broken, "; "))
	} else {
		fmt.Fprintln(out, "\nNo rule was broken.")
	}
}

// JSON writes the report for machines.
func (r *Report) JSON(out io.Writer) error { return json.NewEncoder(out).Encode(r) }

// Plot writes worth, tries and refusals by second as a picture, the faults marked.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d nodes, together %s, seed %d", r.Scenario, r.Nodes, r.Together, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "tries and worth a second"
	p.Y.Min = 0
	p.Legend.Top = true
	line := func(name string, c color.Color, value func(s *Second) float64) error {
		var xy plotter.XYs
		for i := range r.Seconds {
			xy = append(xy, plotter.XY{X: float64(r.Seconds[i].At) - 0.5, Y: value(&r.Seconds[i])})
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		l.Color = c
		l.Width = vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	top := 0.0
	for i := range r.Seconds {
		top = max(top, float64(r.Seconds[i].Tally.tries()), r.Seconds[i].Tally.Offered)
	}
	for _, m := range r.Marks {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		l.Color = map[bool]color.Color{true: color.RGBA{R: 200, A: 255}, false: color.RGBA{G: 140, A: 255}}[m.On]
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
		if m.On {
			at, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.At, Y: top}}, Labels: []string{m.Fault}})
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			p.Add(at)
		}
	}
	for _, l := range []struct {
		name  string
		c     color.Color
		value func(s *Second) float64
	}{
		{"worth offered", color.Gray{160}, func(s *Second) float64 { return s.Tally.Offered }},
		{"worth served", color.RGBA{B: 200, A: 255}, func(s *Second) float64 { return s.Tally.Worth }},
		{"tries", color.RGBA{R: 160, B: 160, A: 255}, func(s *Second) float64 { return float64(s.Tally.tries()) }},
		{"refusals", color.RGBA{R: 230, G: 120, A: 255}, func(s *Second) float64 { return float64(s.Tally.Tries[refused]) }},
	} {
		if err := line(l.name, l.c, l.value); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	if err := p.Save(22*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
