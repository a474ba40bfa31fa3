package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// sampleInterval is the resolution at which served utility is recorded, which limits that of the recovery
// times.
const sampleInterval = 100 * time.Millisecond

// promptRefusalTime is the time within which a refused first try should be answered.
const promptRefusalTime = 20 * time.Millisecond

// tally holds the counts of a period. Utility counts for requests that are served within their latency
// target.
type tally struct {
	Started          int              `json:"asked"`    // requests started
	UtilityOffered   float64          `json:"offered"`  // utility of those requests
	Utility          float64          `json:"worth"`    // of requests served in time
	InTime           int              `json:"in_time"`  // requests served in time
	Requests         [numOutcomes]int `json:"requests"` // by outcome
	Tries            [numOutcomes]int `json:"tries"`    // by outcome
	FirstTries       int              `json:"first"`
	NotSent          int              `json:"held_back"`   // times that a dispatcher had no node to try
	StoppedRetries   int              `json:"walks_ended"` // refusals that told the dispatcher to stop retrying
	RetryAfters      int              `json:"advised"`     // other refusals with a retry-after
	Probes           int              `json:"probes"`
	Connections      int              `json:"connects"`
	Unanswered       int              `json:"lost"`    // tries that timed out with no fault on the path
	SlowRefusals     int              `json:"tardy"`   // refused first tries answered after promptRefusal
	DuplicateAnswers int              `json:"twice"`   // further answers to answered requests
	Crashes          int              `json:"crashes"` // unexpected exits, and failed starts

	refusalTimes []time.Duration // of first tries
}

// add adds the counts of o.
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

// tries returns the number of tries, of any outcome.
func (t *tally) tries() int {
	n := 0
	for _, x := range t.Tries {
		n += x
	}
	return n
}

// triesPerFirstTry returns the tries per first try, 1 if nothing was retried.
func (t *tally) triesPerFirstTry() float64 { return float64(t.tries()) / float64(max(t.FirstTries, 1)) }

// Second holds the measurements of one second of a rehearsal.
type Second struct {
	At         int     `json:"at"` // number of the second, from 1
	Tally      tally   `json:"tally"`
	NodeCPU    float64 `json:"node_cpu"`   // cores used by all nodes
	MemoryKB   int     `json:"memory_kb"`  // resident memory of the largest node
	ControlCPU float64 `json:"ctl_cpu"`    // cores used by all control services
	CPUPerTry  float64 `json:"cpu_of_try"` // microseconds of the nodes' processor time per try
}

// FaultMark is the begin or end of a fault.
type FaultMark struct {
	At     float64 `json:"at"` // seconds since the start
	Fault  string  `json:"fault"`
	Begins bool    `json:"on"` // whether it begins
}

// Report is the outcome of a rehearsal, as measured by clients and stand-ins.
type Report struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Nodes      int         `json:"nodes"`
	Shedding   string      `json:"together"`
	Capacity   float64     `json:"capacity"` // requests a second that keep all cores busy
	Seconds    []Second    `json:"seconds"`
	FaultMarks []FaultMark `json:"marks"`
	Tally      tally       `json:"tally"`

	// LongestStallMs is for how long at most, in milliseconds, the machine did not let the rehearsal run. A long
	// one disturbs all other figures.
	LongestStallMs float64 `json:"longest_stall_ms"`

	TriesPerFirstTry   float64 `json:"tries_a_first_try"`
	ServedShare        float64 `json:"served_share"` // of the requests, in time or not
	UtilityShare       float64 `json:"worth_share"`  // of the utility offered, served in time
	RefusalP50         float64 `json:"refused_p50_ms"`
	RefusalP99         float64 `json:"refused_p99_ms"`
	PromptRefusalShare float64 `json:"refused_within_20ms"` // of the refused first tries

	// Keyed or unsafe requests that ran more than once in one incarnation of a node, and runs in a later
	// incarnation of the same node, which happen if its result cache was lost.
	RanTwice             int `json:"ran_twice"`
	RanAgainAfterRestart int `json:"ran_again"`

	// Seconds from the end of the last fault until the utility served was back to 0.95, or half, of
	// UtilityBefore; -1 = not before the end, 0 without faults.
	RecoveryTime     float64 `json:"back_s"`
	HalfRecoveryTime float64 `json:"half_s"`
	UtilityBefore    float64 `json:"before"` // utility served a second before the first fault
	UtilityDuring    float64 `json:"during"` // and from the first fault's begin to the last one's end

	samples []float64 // utility served in each sample interval
}

// Violations lists the violations of rules that hold in every rehearsal.
func (r *Report) Violations() (list []string) {
	for what, n := range map[string]int{
		"tries without an answer within their timeout, with no fault on the way": r.Tally.Unanswered,
		"answers to requests that had been answered":                             r.Tally.DuplicateAnswers,
		"keyed or unsafe requests that ran twice in one incarnation of a node":   r.RanTwice,
		"processes that exited unexpectedly or did not start":                    r.Tally.Crashes,
	} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, what))
		}
	}
	slices.Sort(list)
	return list
}

// Between returns the total of the seconds after from up to to, and the nodes' mean processor use in
// cores.
func (r *Report) Between(from, to int) (t tally, cpu float64) {
	for _, s := range r.Seconds {
		if s.At > from && s.At <= to {
			t.add(&s.Tally)
			cpu += s.NodeCPU
		}
	}
	return t, cpu / float64(max(to-from, 1))
}

// countSeconds samples the counts until the rehearsal ends, and adds a Second to the report after each
// second.
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
		if f.sleep(max(time.Until(f.startedAt.Add(time.Duration(i)*sampleInterval)), 0)) != nil {
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
		if f.options.OnSecond != nil {
			f.options.OnSecond(s)
		}
		sum = tally{}
	}
}

// summarize computes the totals of a report.
func (f *Fleet) summarize(report *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range report.Seconds {
		report.Tally.add(&report.Seconds[i].Tally)
	}
	late := f.current // ended as the rehearsal did, so only violations count
	report.Tally.DuplicateAnswers += late.DuplicateAnswers
	for _, d := range f.dispatchers {
		for i := range d.nodes {
			for _, c := range d.nodes[i].conns {
				report.Tally.DuplicateAnswers += c.DuplicateAnswers()
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
		return milliseconds(t.refusalTimes[int(q*float64(len(t.refusalTimes)-1))])
	}
	report.RefusalP50, report.RefusalP99 = quantile(0.5), quantile(0.99)
	prompt, _ := slices.BinarySearch(t.refusalTimes, promptRefusalTime)
	report.PromptRefusalShare = float64(prompt) / float64(max(len(t.refusalTimes), 1))
	report.measureRecovery()
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureRecovery computes the utility before and during the faults, and the recovery times after them.
// The first second is left out, as the fleet warms up. Recovery is reached by the first sliding second
// that has the required share of UtilityBefore.
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
