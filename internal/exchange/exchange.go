// Package exchange owns one request's life between the dispatcher that sent it
// and the worker pool that runs it; it is the only thing those two sides share.
// It enforces that a request ends once: answered by one final answer, cancelled,
// or gone with its connection. It must never decide which.
package exchange

import (
	"sync/atomic"
	"time"
)

// Kind is the kind of a final answer.
type Kind uint8

// The kinds of final answers.
const (
	Served  Kind = iota // the result of its run
	Refused             // it never ran
	Failed              // no promises
)

// Answer is a final answer.
type Answer struct {
	Kind       Kind
	Body       []byte        // Served: the result, unchanged
	RetryAfter time.Duration // Refused: how long to stay away, 0 = no advice
	Last       bool          // Refused: no other node should be tried
}

// Fate is how a request ended.
type FinalState uint32

// The fates of a request.
const (
	Open        FinalState = iota
	EndedServed            // answered with its result
	EndedRefused
	EndedFailed
	EndedCancelled  // its dispatcher stopped waiting
	EndedCallerGone // its connection ended before its answer
	numFates
)

// Ledger counts requests by fate; Read is always the sum of the others and of
// what is open.
type Counters struct {
	Read         atomic.Int64
	FurtherTries atomic.Int64 // of them, marked as further tries
	fates        [numFates]atomic.Int64
	Late         atomic.Int64 // answers that came after the request had ended
}

// Count is the number of requests that ended so.
func (l *Counters) Count(f FinalState) int64 { return l.fates[f].Load() }

// InHand is the number of requests without an end.
func (l *Counters) OpenRequests() int64 {
	n := l.Read.Load()
	for f := EndedServed; f < numFates; f++ {
		n -= l.fates[f].Load()
	}
	return n
}

// Replier is the side that a request came from.
type Replier interface {
	// Reply sends the final answer of the request with this tag. It must not block.
	Reply(tag uint64, a Answer)
}

// Call is a request as it came; it never changes.
type Request struct {
	Txn           string // its name for the worker pool
	ClassName     string
	TenantName    string // "" where the site has no tenants
	Body          []byte
	Class         int
	Tenant        int
	Caller        uint32
	ArrivedUnixMs float64 // when it reached the machine, Unix milliseconds
	TimeoutMs     float64 // how long its dispatcher waits from then, milliseconds, 0 = not told
	HintMs        float64 // expected work, 0 = not told
	MemoryKB      float64
	Rank          float64
	Retry         bool
	Item          string // what a read is about, "" = not told
	Unique        string // links the tries of a keyed request, "" = none
	Safe          bool   // may run any number of times
}

// Exchange is one request.
type Exchange struct {
	Request
	Tag    uint64
	to     Replier
	ledger *Counters
	fate   atomic.Uint32
}

// New notes a request that was read.
func New(l *Counters, to Replier, tag uint64, c Request) *Exchange {
	l.Read.Add(1)
	if c.Retry {
		l.FurtherTries.Add(1)
	}
	return &Exchange{Request: c, Tag: tag, to: to, ledger: l}
}

// Fate is how it ended, Open while it has not.
func (x *Exchange) FinalState() FinalState { return FinalState(x.fate.Load()) }

func (x *Exchange) close(f FinalState) bool {
	if !x.fate.CompareAndSwap(uint32(Open), uint32(f)) {
		return false
	}
	x.ledger.fates[f].Add(1)
	return true
}

// Answer gives the final answer, unless the request has ended before. It
// reports whether this was the answer.
func (x *Exchange) Answer(a Answer) bool {
	f := EndedFailed
	switch a.Kind {
	case Served:
		f = EndedServed
	case Refused:
		f = EndedRefused
	}
	if !x.close(f) {
		x.ledger.Late.Add(1)
		return false
	}
	x.to.Reply(x.Tag, a)
	return true
}

// Abandon ends the request without an answer, as nobody waits for one: f is
// WasCancelled or WasGone. It reports whether that was its end.
func (x *Exchange) Abandon(f FinalState) bool { return x.close(f) }
