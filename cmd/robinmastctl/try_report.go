package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// tally is what became of requests.
type tally struct {
	Sent    int `json:"sent"`    // first tries
	Again   int `json:"again"`   // further tries of keyed requests whose answer was lost
	Served  int `json:"served"`  // answered with the result in time
	Refused int `json:"refused"` // answered with when to return
	Failed  int `json:"failed"`  // answered without a promise
	Late    int `json:"late"`    // answered or not, their time was over
	Cut     int `json:"cut"`     // their connection ended with the node
	Unsent  int `json:"unsent"`  // no connection could be had
}

func (t tally) ends() int { return t.Served + t.Refused + t.Failed + t.Late + t.Cut + t.Unsent }

func (t tally) minus(o tally) tally {
	return tally{t.Sent - o.Sent, t.Again - o.Again, t.Served - o.Served, t.Refused - o.Refused,
		t.Failed - o.Failed, t.Late - o.Late, t.Cut - o.Cut, t.Unsent - o.Unsent}
}

// second is one line of the table.
type second struct {
	At      int     `json:"at"`
	Phase   string  `json:"phase"`
	Tally   tally   `json:"tally"`
	NodeCPU float64 `json:"node_cpu"` // cores
	Busy    float64 `json:"busy"`     // share of the worker pool's cores
	Held    int     `json:"held"`
	Running int     `json:"running"`
}

// accounting is the end of the table.
type accounting struct {
	Seed       uint64 `json:"seed"`
	Tally      tally  `json:"tally"`
	Open       int    `json:"open"`       // requests without an end
	Twice      int    `json:"twice"`      // keyed requests that ran more than once
	Changed    int    `json:"changed"`    // keyed requests answered with two results
	Remembered int    `json:"remembered"` // further tries answered without another run
	AddsUp     bool   `json:"adds_up"`
}

// line prints a second.
func (t *trial) line(out io.Writer, s second) {
	if t.json {
		_ = json.NewEncoder(out).Encode(s) // a reader that went away misses lines, not the play
		return
	}
	a := s.Tally
	fmt.Fprintf(out, "%4d  %-9s %6d %6d %7d %7d %6d %5d %5d  %4.0f%% %4.0f%% %5d %7d\n",
		s.At, s.Phase, a.Sent, a.Again, a.Served, a.Refused, a.Failed, a.Late, a.Cut+a.Unsent, 100*s.NodeCPU, 100*s.Busy, s.Held, s.Running)
}

// account prints what became of everything, and fails if it does not add up.
func (t *trial) account(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.acc
	a.Seed, a.Tally, a.Open = t.seed, t.tally, t.open
	for _, n := range t.runs {
		if n > 1 {
			a.Twice++
		}
	}
	a.AddsUp = a.Tally.Sent+a.Tally.Again == a.Tally.ends()+a.Open && a.Open == 0 && a.Twice == 0 && a.Changed == 0
	if t.json {
		if err := json.NewEncoder(out).Encode(a); err != nil {
			return err
		}
	} else {
		s := a.Tally
		fmt.Fprintf(out, "\n%d sent + %d sent again = %d served + %d refused + %d failed + %d late + %d cut off + %d unsent",
			s.Sent, s.Again, s.Served, s.Refused, s.Failed, s.Late, s.Cut, s.Unsent)
		if a.Open > 0 {
			fmt.Fprintf(out, " + %d without an end", a.Open)
		}
		fmt.Fprintf(out, "\n%d keyed requests ran twice, %d were answered with two results; %d sent again were answered without another run\n",
			a.Twice, a.Changed, a.Remembered)
		if a.AddsUp {
			fmt.Fprintln(out, "It adds up.")
		} else {
			fmt.Fprintln(out, "It does not add up.")
		}
	}
	if !a.AddsUp {
		return errFound
	}
	return nil
}
