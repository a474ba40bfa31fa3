// This file owns what a rehearsal counts and how it is told: seconds, the report,
// its table and its plot. It must never change what is played.

package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"
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
