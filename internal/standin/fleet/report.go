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
const sampleInterval = 100 * time.Millisecond

// promptly is how soon a refused first try is to hear so.
const promptRefusal = 20 * time.Millisecond

// tally is what happened in a span of time. Worth is earned by answers in time.
type tally struct {
	Started          int              `json:"asked"`    // requests of desktops that began
	UtilityOffered   float64          `json:"offered"`  // their worth
	Utility          float64          `json:"worth"`    // served in time
	InTime           int              `json:"in_time"`  // requests served in time
	Requests         [numOutcomes]int `json:"requests"` // how requests ended, by end
	Tries            [numOutcomes]int `json:"tries"`    // how tries ended, by end
	FirstTries       int              `json:"first"`    // first tries
	NotSent          int              `json:"held_back"`
	StoppedRetries   int              `json:"walks_ended"` // refusals that wished for no other node
	RetryAfters      int              `json:"advised"`     // other refusals with advice
	Probes           int              `json:"probes"`
	Connections      int              `json:"connects"`
	Unanswered       int              `json:"lost"`  // tries without an answer in time though nothing was wrong on the way
	SlowRefusals     int              `json:"tardy"` // refused first tries answered later than promptly
	DuplicateAnswers int              `json:"twice"` // answers to what had been answered
	Crashes          int              `json:"crashes"`

	refusalTimes []time.Duration // of first tries
}

func (t *tally) add(o *tally) {
	t.Started += o.Started
	t.UtilityOffered += o.UtilityOffered
	t.Utility += o.Utility
	t.InTime += o.InTime
	for i := range numOutcomes {
		t.Requests[i] += o.Requests[i]
		t.Tries[i] += o.Tries[i]
	}
	t.FirstTries += o.FirstTries
	t.NotSent += o.NotSent
	t.StoppedRetries += o.StoppedRetries
	t.RetryAfters += o.RetryAfters
	t.Probes += o.Probes
	t.Connections += o.Connections
	t.Unanswered += o.Unanswered
	t.DuplicateAnswers += o.DuplicateAnswers
	t.SlowRefusals += o.SlowRefusals
	t.Crashes += o.Crashes
	t.refusalTimes = append(t.refusalTimes, o.refusalTimes...)
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
func (t *tally) triesPerFirstTry() float64 { return float64(t.tries()) / float64(max(t.FirstTries, 1)) }

// Second is one second of a rehearsal.
type Second struct {
	At         int     `json:"at"` // from 1
	Tally      tally   `json:"tally"`
	NodeCPU    float64 `json:"node_cpu"`   // cores, all nodes together
	MemoryKB   int     `json:"memory_kb"`  // the largest node
	ControlCPU float64 `json:"ctl_cpu"`    // cores, all control services
	CPUPerTry  float64 `json:"cpu_of_try"` // microseconds of the nodes a try
}

// Mark is a fault's begin or end.
type FaultMark struct {
	At    float64 `json:"at"` // seconds
	Fault string  `json:"fault"`
	On    bool    `json:"on"`
}

// Report is what a rehearsal showed, from outside.
type Report struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Nodes      int         `json:"nodes"`
	Together   string      `json:"together"`
	Capacity   float64     `json:"capacity"` // requests a second that fill all cores
	Seconds    []Second    `json:"seconds"`
	FaultMarks []FaultMark `json:"marks"`
	Tally      tally       `json:"tally"`

	TriesPerFirstTry     float64 `json:"tries_a_first_try"`
	ServedShare          float64 `json:"served_share"` // of the requests, whenever
	UtilityShare         float64 `json:"worth_share"`  // of the worth offered, in time
	RefusalP50           float64 `json:"refused_p50_ms"`
	RefusalP99           float64 `json:"refused_p99_ms"`
	PromptRefusalShare   float64 `json:"refused_within_20ms"` // share of the refused first tries
	RanTwice             int     `json:"ran_twice"`           // keyed or unsafe work that ran more than once in one life of a node
	RanAgainAfterRestart int     `json:"ran_again"`           // and in a later life of the same node: where its memory was lost that shows
	RecoveryTime         float64 `json:"back_s"`              // from the last fault's end until 0.95 of the worth before the first; -1 = not, 0 = there was no fault
	HalfRecoveryTime     float64 `json:"half_s"`              // the same until half of it
	UtilityBefore        float64 `json:"before"`              // worth a second served before the first fault
	UtilityDuring        float64 `json:"during"`              // and while faults lasted

	samples []float64
}

// Broken lists what no rehearsal may show.
func (r *Report) Broken() (list []string) {
	for what, n := range map[string]int{
		"tries without an answer in their time, with nothing wrong on the way": r.Tally.Unanswered,
		"answers to what had been answered":                                    r.Tally.DuplicateAnswers,
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
func (r *Report) Between(from, to int) (t tally, cpu float64) {
	for _, s := range r.Seconds {
		if s.At > from && s.At <= to {
			t.add(&s.Tally)
			cpu += s.NodeCPU
		}
	}
	return t, cpu / float64(max(to-from, 1))
}

// tick closes each second.
func (f *Fleet) countSeconds(report *Report) {
	usage := func() (nodes, control time.Duration) {
		for _, n := range f.nodes {
			nodes += n.process.cpuTime()
		}
		for _, c := range f.controlServices {
			control += c.process.cpuTime()
		}
		return
	}
	nodes, control := usage()
	perSecond := int(time.Second / sampleInterval)
	var sum tally
	for i := 1; i <= f.scenario.Fleet.Seconds*perSecond; i++ {
		if f.sleep(max(time.Until(f.began.Add(time.Duration(i)*sampleInterval)), 0)) != nil {
			return
		}
		f.mu.Lock()
		sample := f.current
		f.current = tally{}
		f.mu.Unlock()
		report.samples = append(report.samples, sample.Utility)
		sum.add(&sample)
		if i%perSecond != 0 {
			continue
		}
		s := Second{At: i / perSecond, Tally: sum}
		n, c := usage()
		s.NodeCPU, s.ControlCPU = (n - nodes).Seconds(), (c - control).Seconds()
		nodes, control = n, c
		s.CPUPerTry = s.NodeCPU * 1e6 / float64(max(sum.tries(), 1))
		for _, n := range f.nodes {
			s.MemoryKB = max(s.MemoryKB, n.process.residentKB())
		}
		report.Seconds = append(report.Seconds, s)
		if f.options.Tell != nil {
			f.options.Tell(s)
		}
		sum = tally{}
	}
}

// finish adds up a report.
func (f *Fleet) summarize(report *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range report.Seconds {
		report.Tally.add(&report.Seconds[i].Tally)
	}
	late := f.current // what ended while the rehearsal did: accounting, no service
	report.Tally.DuplicateAnswers += late.DuplicateAnswers
	for _, d := range f.dispatchers {
		for i := range d.nodes {
			for _, c := range d.nodes[i].conns {
				report.Tally.DuplicateAnswers += c.Twice()
				c.Close()
			}
		}
	}
	for _, n := range f.nodes {
		report.Tally.Crashes += n.process.crashes
	}
	for _, c := range f.controlServices {
		report.Tally.Crashes += c.process.crashes
	}
	for _, n := range f.runCounts {
		if n > 1 {
			report.RanTwice++
		}
	}
	report.RanAgainAfterRestart = f.rerunAfterRestart
	report.FaultMarks = f.faultMarks
	t := &report.Tally
	report.TriesPerFirstTry = t.triesPerFirstTry()
	total := 0
	for _, n := range t.Requests {
		total += n
	}
	report.ServedShare = float64(t.Requests[served]) / float64(max(total, 1))
	report.UtilityShare = t.Utility / max(t.UtilityOffered, 1e-9)
	slices.Sort(t.refusalTimes)
	quantile := func(q float64) float64 {
		if len(t.refusalTimes) == 0 {
			return 0
		}
		return float64(t.refusalTimes[int(q*float64(len(t.refusalTimes)-1))]) / float64(time.Millisecond)
	}
	report.RefusalP50, report.RefusalP99 = quantile(0.5), quantile(0.99)
	prompt, _ := slices.BinarySearch(t.refusalTimes, promptRefusal)
	report.PromptRefusalShare = float64(prompt) / float64(max(len(t.refusalTimes), 1))
	report.measureRecovery()
}

// back works out how service stood before, during and after the faults. The first
// second is warming up. A sliding second has 0.95 of before, or it is not back.
func (r *Report) measureRecovery() {
	if len(r.FaultMarks) == 0 {
		return
	}
	perSecond := int(time.Second / sampleInterval)
	at := func(s float64) int { return int(math.Round(s * float64(perSecond))) }
	mean := func(from, to int) float64 {
		from, to = max(from, 0), min(to, len(r.samples))
		sum := 0.0
		for i := from; i < to; i++ {
			sum += r.samples[i]
		}
		return sum * float64(perSecond) / float64(max(to-from, 1))
	}
	begin, end := at(r.FaultMarks[0].At), at(r.FaultMarks[len(r.FaultMarks)-1].At)
	r.UtilityBefore, r.UtilityDuring = mean(min(perSecond, begin/2), begin), mean(begin, end)
	recoveryTime := func(share float64) float64 {
		for i := end; i+perSecond <= len(r.samples); i++ {
			if mean(i, i+perSecond) >= share*r.UtilityBefore {
				return float64(i-end) / float64(perSecond)
			}
		}
		return -1
	}
	r.HalfRecoveryTime, r.RecoveryTime = recoveryTime(0.5), recoveryTime(0.95)
}

// Line prints a second for people.
func (s Second) Line(out io.Writer) {
	t := &s.Tally
	fmt.Fprintf(out, "%4d %6d %8.0f %8.0f %6.2f %7d %7d %7d %6d %6d %6d %6d %5.2f %5.0f %5d\n", s.At, t.Started, t.UtilityOffered, t.Utility, t.triesPerFirstTry(),
		t.Tries[served], t.Tries[refused], t.Tries[failed], t.Tries[timedOut], t.Tries[connectionLost]+t.Tries[unreachable], t.NotSent, t.StoppedRetries, s.NodeCPU, s.CPUPerTry, s.MemoryKB>>10)
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
	row("requests", "%d, %.4f of them served, %.4f of the worth in time", r.Tally.Started, r.ServedShare, r.UtilityShare)
	row("tries a first try", "%.3f", r.TriesPerFirstTry)
	for i, name := range outcomeNames {
		if n, q := r.Tally.Tries[i], r.Tally.Requests[i]; n+q > 0 {
			row(name, "%d tries, %d requests", n, q)
		}
	}
	row("refused first tries", "answered in %.1f ms (p50), %.1f ms (p99), %.3f of them within 20 ms", r.RefusalP50, r.RefusalP99, r.PromptRefusalShare)
	row("probes, connections", "%d, %d", r.Tally.Probes, r.Tally.Connections)
	if r.RanAgainAfterRestart > 0 {
		row("ran again", "%d keyed or unsafe requests ran in a later life of the same node too", r.RanAgainAfterRestart)
	}
	if len(r.FaultMarks) > 0 {
		row("worth a second", "%.0f before the faults, %.0f while they lasted", r.UtilityBefore, r.UtilityDuring)
		if r.RecoveryTime < 0 {
			row("back to 0.95", "not before the end")
		} else {
			row("back to 0.95", "%.1f s after the last fault's end", r.RecoveryTime)
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
	picture := plot.New()
	picture.Title.Text = fmt.Sprintf("%s, %d nodes, together %s, seed %d", r.Scenario, r.Nodes, r.Together, r.Seed)
	picture.X.Label.Text, picture.Y.Label.Text = "seconds", "tries and worth a second"
	picture.Y.Min = 0
	picture.Legend.Top = true
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
		picture.Add(l)
		picture.Legend.Add(name, l)
		return nil
	}
	top := 0.0
	for i := range r.Seconds {
		top = max(top, float64(r.Seconds[i].Tally.tries()), r.Seconds[i].Tally.UtilityOffered)
	}
	for _, m := range r.FaultMarks {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		l.Color = map[bool]color.Color{true: color.RGBA{R: 200, A: 255}, false: color.RGBA{G: 140, A: 255}}[m.On]
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		picture.Add(l)
		if m.On {
			label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.At, Y: top}}, Labels: []string{m.Fault}})
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			picture.Add(label)
		}
	}
	for _, l := range []struct {
		name  string
		c     color.Color
		value func(s *Second) float64
	}{
		{"worth offered", color.Gray{160}, func(s *Second) float64 { return s.Tally.UtilityOffered }},
		{"worth served", color.RGBA{B: 200, A: 255}, func(s *Second) float64 { return s.Tally.Utility }},
		{"tries", color.RGBA{R: 160, B: 160, A: 255}, func(s *Second) float64 { return float64(s.Tally.tries()) }},
		{"refusals", color.RGBA{R: 230, G: 120, A: 255}, func(s *Second) float64 { return float64(s.Tally.Tries[refused]) }},
	} {
		if err := line(l.name, l.c, l.value); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	if err := picture.Save(22*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
