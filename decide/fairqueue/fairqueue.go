// Package fairqueue decides which of several flows may use a shared resource next, by decay-usage scheduling (J.
// Hellerstein, 1993): the one that used it least of late, where use counts half after each half-life. A flow that keeps to
// less than its share so goes before all that use more, however many they are, and what a flow did not use long ago
// gives it no credit. A flow that joins counts as having used the mean of all, so that to leave and join again gives it no
// credit either. Use is in any one unit. The flows together, and each of them, get a budget, which the caller renews, as
// once for each round of what else needs the resource.
//
// The package does no I/O and reads no clock; times are passed in. A Queue belongs to one goroutine, or to the holder of
// its caller's lock.
//
// Invariants, checked by the tests: at most the given number of flows go at a time, and none waits while a slot is free and
// budget left; between two renewals the flows use no more than the budget and one use of each slot, and a flow no more than
// its own budget and one use; a flow that uses at most half of its share, which is what all get divided by the flows, waits
// for the present use only, or until the next renewal, however many others wait, join and leave, and whatever they use;
// flows that always wait get the same, within a tenth.
package fairqueue

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

const (
	// halfLife is the time after which a use counts half: long against one use, short against the life of a connection.
	halfLife = time.Second

	// maxSpan is how far a Queue's time may be from its reference, so that weights stay within a float64.
	maxSpan = 256 * halfLife
)

// Flow is one user of the resource. It belongs to one Queue, from Join to Leave.
type Flow struct {
	Owner any // for the caller, which gets flows from the methods of Queue

	// weight is the recent use, as it counts at reference. Weights at one reference keep their order as time passes, since
	// all of them lose the same share.
	weight    float64
	reference time.Duration

	used    float64 // since the renewal of that number
	renewal uint64

	state    flowState
	order    uint64 // of requests: of two flows with one weight the earlier goes first
	position int    // in Queue.queued or Queue.deferred
}

type flowState uint8

const (
	idle     flowState = iota // it does not wait
	queued                    // it waits for a slot, or for the budget of all
	deferred                  // it waits for the next renewal, since it has used its own budget
)

// Bounds are the bounds of a Queue.
type Bounds struct {
	Slots      int     // flows that go at a time, at least one
	Budget     float64 // what all flows may use between two renewals
	FlowBudget float64 // what each flow may use between two renewals
}

// Queue lets flows go within Bounds.
type Queue struct {
	bounds    Bounds
	active    int
	left      float64       // of the budget; below 0 it is taken from the next one
	renewal   uint64        // number of the last renewal
	reference time.Duration // of total and the weights of the queued flows
	total     float64       // weight of all use, that of flows that have left included
	flows     int           // that have joined and not left
	order     uint64        // of the last request
	queued    flowHeap
	deferred  []*Flow
}

// New returns a queue without flows.
func New(bounds Bounds) *Queue {
	bounds.Slots = max(bounds.Slots, 1)
	return &Queue{bounds: bounds, left: bounds.Budget}
}

// Join adds a flow. It counts as having used the mean of what all flows used of late, those that have left included.
func (q *Queue) Join(now time.Duration, f *Flow) {
	q.moveReference(now)
	q.flows++
	f.weight, f.reference = q.total/float64(q.flows), q.reference
}

// Leave removes a flow and reports whether it waited. One that goes ends its use by Done all the same.
func (q *Queue) Leave(f *Flow) (waited bool) {
	q.flows--
	return q.withdraw(f)
}

// available reports whether a flow may go.
func (q *Queue) available() bool { return q.active < q.bounds.Slots && q.left > 0 }

// Request asks that a flow may go, and reports whether it may at once. If not, a later call of Done, Renew or Unlimit
// returns it. A flow that goes or waits already must not ask.
func (q *Queue) Request(now time.Duration, f *Flow) bool {
	if f.renewal == q.renewal && f.used >= q.bounds.FlowBudget {
		f.state, f.position = deferred, len(q.deferred)
		q.deferred = append(q.deferred, f)
		return false
	}
	if q.available() { // none is queued then
		q.active++
		return true
	}
	q.moveReference(now)
	q.enqueue(f)
	return false
}

// enqueue queues a flow.
func (q *Queue) enqueue(f *Flow) {
	q.normalize(f)
	q.order++
	f.order, f.state = q.order, queued
	heap.Push(&q.queued, f)
}

// withdraw takes back the request of a flow and reports whether it waited.
func (q *Queue) withdraw(f *Flow) bool {
	switch f.state {
	case queued:
		heap.Remove(&q.queued, f.position)
	case deferred:
		last := len(q.deferred) - 1
		moved := q.deferred[last]
		q.deferred[f.position], moved.position = moved, f.position
		q.deferred[last] = nil
		q.deferred = q.deferred[:last]
	default:
		return false
	}
	f.state = idle
	return true
}

// Done ends the use of a flow, which was of cost, and returns the flow that may go in its place, nil for none.
func (q *Queue) Done(now time.Duration, f *Flow, cost float64) *Flow {
	q.moveReference(now)
	q.normalize(f)
	weight := cost * math.Exp2((now-q.reference).Seconds()/halfLife.Seconds())
	f.weight += weight
	q.total += weight
	if f.renewal != q.renewal {
		f.renewal, f.used = q.renewal, 0
	}
	f.used += cost
	q.active--
	q.left -= cost
	return q.next()
}

// next lets the next flow go and returns it, nil if none is queued or may go.
func (q *Queue) next() *Flow {
	if len(q.queued) == 0 || !q.available() {
		return nil
	}
	q.active++
	f := heap.Pop(&q.queued).(*Flow)
	f.state = idle
	return f
}

// Renew renews the budgets and returns the flows that may go now.
func (q *Queue) Renew(now time.Duration) (next []*Flow) {
	q.left = q.bounds.Budget + min(q.left, 0)
	q.renewal++
	q.moveReference(now)
	for _, f := range q.deferred {
		q.enqueue(f)
	}
	clear(q.deferred)
	q.deferred = q.deferred[:0]
	for f := q.next(); f != nil; f = q.next() {
		next = append(next, f)
	}
	return next
}

// Unlimit lifts the bounds for good and returns the flows that waited.
func (q *Queue) Unlimit(now time.Duration) []*Flow {
	q.bounds = Bounds{Slots: math.MaxInt, Budget: math.Inf(1), FlowBudget: math.Inf(1)}
	q.left = 0
	return q.Renew(now)
}

// Waiting returns the number of flows that wait.
func (q *Queue) Waiting() int { return len(q.queued) + len(q.deferred) }

// moveReference moves the reference to now if it is too far away.
func (q *Queue) moveReference(now time.Duration) {
	if now-q.reference <= maxSpan {
		return
	}
	q.total *= math.Exp2((q.reference - now).Seconds() / halfLife.Seconds())
	q.reference = now
	for _, f := range q.queued { // their order stays
		q.normalize(f)
	}
}

// normalize expresses the weight of a flow at the queue's reference.
func (q *Queue) normalize(f *Flow) {
	if f.reference != q.reference {
		f.weight *= math.Exp2((f.reference - q.reference).Seconds() / halfLife.Seconds())
		f.reference = q.reference
	}
}

// flowHeap is a heap of flows by weight.
type flowHeap []*Flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].weight, h[j].weight), cmp.Compare(h[i].order, h[j].order)) < 0
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*Flow)
	f.position = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
