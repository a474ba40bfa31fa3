package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// outcomes counts requests by outcome.
type outcomes struct {
	Sent           int `json:"sent"`    // first tries
	FurtherTries   int `json:"again"`   // further tries of keyed requests whose answer was lost
	Served         int `json:"served"`  // answered with the result in time
	Refused        int `json:"refused"` // answered with a refusal
	Failed         int `json:"failed"`  // answered with a failure
	Late           int `json:"late"`    // answered after their timeout
	ConnectionLost int `json:"cut"`     // the connection was lost before the answer
	NotConnected   int `json:"unsent"`  // no connection to the node
}

// ended returns the number of tries with an outcome.
func (t outcomes) ended() int {
	return t.Served + t.Refused + t.Failed + t.Late + t.ConnectionLost + t.NotConnected
}

// minus returns the difference of two counts.
func (t outcomes) minus(o outcomes) outcomes {
	return outcomes{t.Sent - o.Sent, t.FurtherTries - o.FurtherTries, t.Served - o.Served, t.Refused - o.Refused,
		t.Failed - o.Failed, t.Late - o.Late, t.ConnectionLost - o.ConnectionLost, t.NotConnected - o.NotConnected}
}

// second is a line of the table.
type second struct {
	At       int      `json:"at"`
	Phase    string   `json:"phase"`
	Outcomes outcomes `json:"tally"`
	NodeCPU  float64  `json:"node_cpu"` // cores used
	Busy     float64  `json:"busy"`     // share of the worker pool's cores in use
	Queued   int      `json:"held"`
	Running  int      `json:"running"`
}

// accounting is the summary after the table.
type accounting struct {
	Seed            uint64   `json:"seed"`
	Outcomes        outcomes `json:"tally"`
	Open            int      `json:"open"`       // requests without an outcome
	RanTwice        int      `json:"twice"`      // keyed requests that ran more than once
	ResultChanged   int      `json:"changed"`    // keyed requests answered with two results
	AnsweredByCache int      `json:"remembered"` // further tries answered without another run
	AddsUp          bool     `json:"adds_up"`
}

// printSecond prints a line of the table.
func (t *trial) printSecond(out io.Writer, s second) {
	if t.json {
		_ = json.NewEncoder(out).Encode(s) // if the reader is gone, the trial goes on
		return
	}
	outcomes := s.Outcomes
	fmt.Fprintf(out, "%4d  %-9s %6d %6d %7d %7d %6d %5d %5d  %4.0f%% %4.0f%% %5d %7d\n",
		s.At, s.Phase, outcomes.Sent, outcomes.FurtherTries, outcomes.Served, outcomes.Refused, outcomes.Failed,
		outcomes.Late, outcomes.ConnectionLost+outcomes.NotConnected, 100*s.NodeCPU, 100*s.Busy, s.Queued, s.Running)
}

// printAccounting prints the summary and returns errFaults if it does not add up.
func (t *trial) printAccounting(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	accounting := &t.accounting
	accounting.Seed, accounting.Outcomes, accounting.Open = t.seed, t.outcomes, t.open
	for _, n := range t.runs {
		if n > 1 {
			accounting.RanTwice++
		}
	}
	tries := accounting.Outcomes.Sent + accounting.Outcomes.FurtherTries
	accounting.AddsUp = tries == accounting.Outcomes.ended()+accounting.Open &&
		accounting.Open == 0 && accounting.RanTwice == 0 && accounting.ResultChanged == 0
	if t.json {
		if err := json.NewEncoder(out).Encode(accounting); err != nil {
			return err
		}
	} else {
		outcomes := accounting.Outcomes
		fmt.Fprintf(out, "\n%d sent + %d sent again = "+
			"%d served + %d refused + %d failed + %d late + %d cut off + %d unsent",
			outcomes.Sent, outcomes.FurtherTries, outcomes.Served, outcomes.Refused, outcomes.Failed, outcomes.Late,
			outcomes.ConnectionLost, outcomes.NotConnected)
		if accounting.Open > 0 {
			fmt.Fprintf(out, " + %d without an outcome", accounting.Open)
		}
		fmt.Fprintf(out, "\n%d keyed requests ran twice, %d were answered with two results; "+
			"%d sent again were answered without another run\n",
			accounting.RanTwice, accounting.ResultChanged, accounting.AnsweredByCache)
		if accounting.AddsUp {
			fmt.Fprintln(out, "It adds up.")
		} else {
			fmt.Fprintln(out, "It does not add up.")
		}
	}
	if !accounting.AddsUp {
		return errFaults
	}
	return nil
}
