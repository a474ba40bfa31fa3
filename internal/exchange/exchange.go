// Package exchange represents one request between the dispatcher that sent it and the
// worker pool that runs it. An Exchange ends once, however many goroutines try to end it:
// with a final answer, by cancellation, or with the loss of its connection. The package
// decides nothing about requests. Exchange and Counters are safe for concurrent use.
package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"
)

// Kind is the kind of a final answer.
type Kind uint8

// The kinds of final answers.
const (
	Served  Kind = iota // with the result of its run
	Refused             // with the promise that nothing ran
	Failed              // without a promise
)

// Answer is a final answer.
type Answer struct {
	Kind       Kind
	Body       []byte        // Served: the result, unchanged
	RetryAfter time.Duration // Refused: when to try again, 0 = no advice
	Last       bool          // Refused: stop retrying across the node list
}

// FinalState is how a request ended, or Open while it has not.
type FinalState uint32

// The final states of a request.
const (
	Open        FinalState = iota // it has not ended
	EndedServed                   // answered with its result
	EndedRefused
	EndedFailed
	EndedCancelled  // its dispatcher stopped waiting
	EndedCallerGone // its connection ended before its answer
	numFinalStates
)

// Counters counts requests by final state. Read is always the sum of the requests in all
// final states and of the open ones.
type Counters struct {
	Read         atomic.Int64 // requests read from connections
	FurtherTries atomic.Int64 // requests marked as further tries
	byState      [numFinalStates]atomic.Int64
	LateAnswers  atomic.Int64 // answers given after the request had ended
}

// Count returns the number of requests that ended in state f.
func (c *Counters) Count(f FinalState) int64 { return c.byState[f].Load() }

// OpenRequests returns the number of requests that have not ended.
func (c *Counters) OpenRequests() int64 {
	open := c.Read.Load()
	for state := EndedServed; state < numFinalStates; state++ {
		open -= c.byState[state].Load()
	}
	return open
}

// Replier is the connection that a request came from.
type Replier interface {
	// Reply sends the final answer of the request with this tag. It must not block.
	Reply(tag uint64, a Answer)
}

// Request is a request as it was received; it is immutable.
type Request struct {
	Txn           string // transaction name, its name for the worker pool
	ClassName     string
	TenantName    string // "" if the configuration has no tenants
	Body          []byte
	Class         int     // index into the settings' classes
	Tenant        int     // index into the settings' tenants, 0 if there are none
	Caller        uint32  // number of the dispatcher that sent it
	ArrivedUnixMs float64 // when it reached the host, Unix milliseconds
	TimeoutMs     float64 // how long its dispatcher waits from then, milliseconds, 0 = not known
	HintMs        float64 // expected work, milliseconds, 0 = not known
	MemoryKB      float64 // memory of the request, kilobytes
	Rank          float64 // as in rules.Request
	Retry         bool    // marked as a further try
	Item          string  // the item that a read is about, "" = not known
	Unique        string  // idempotency key shared by the tries of a keyed request, "" = none
	Safe          bool    // may run any number of times
}

// BodyHash returns a hash of the body that is the same in every process, never 0: it
// distinguishes the bodies of requests under one idempotency key.
func (r *Request) BodyHash() uint64 {
	sum := sha256.Sum256(r.Body)
	return binary.BigEndian.Uint64(sum[:]) | 1
}

// Exchange is one request and its final state.
type Exchange struct {
	Request
	Tag      uint64 // names the request to replier
	replier  Replier
	counters *Counters
	state    atomic.Uint32
}

// New counts a request that was read and returns its exchange; tag names it to replier.
func New(counters *Counters, replier Replier, tag uint64, req Request) *Exchange {
	counters.Read.Add(1)
	if req.Retry {
		counters.FurtherTries.Add(1)
	}
	return &Exchange{Request: req, Tag: tag, replier: replier, counters: counters}
}

// FinalState returns how the request ended, Open if it has not.
func (x *Exchange) FinalState() FinalState { return FinalState(x.state.Load()) }

// setFinalState ends the request and counts it. It returns false if the request has ended before.
func (x *Exchange) setFinalState(state FinalState) bool {
	if !x.state.CompareAndSwap(uint32(Open), uint32(state)) {
		return false
	}
	x.counters.byState[state].Add(1)
	return true
}

// Answer gives the final answer, unless the request has ended before. It reports whether
// the answer was given.
func (x *Exchange) Answer(a Answer) bool {
	state := EndedFailed
	switch a.Kind {
	case Served:
		state = EndedServed
	case Refused:
		state = EndedRefused
	}
	if !x.setFinalState(state) {
		x.counters.LateAnswers.Add(1)
		return false
	}
	x.replier.Reply(x.Tag, a)
	return true
}

// Abandon ends the request without an answer, as nobody waits for one: state is
// EndedCancelled or EndedCallerGone. It reports whether the request was open.
func (x *Exchange) Abandon(state FinalState) bool { return x.setFinalState(state) }
