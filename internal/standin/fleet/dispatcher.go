// This file owns the callers: dispatchers that route, walk their lists, probe and
// reconnect, and the desktops behind them that try again. It must never know of a
// node but what its answers, its probes and the membership list say.

package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"robinmast/internal/standin/platform"
)

// Habits that a scenario does not set.
const (
	maxFailures            = 5                      // failures in a row after which a dispatcher leaves a node alone
	ejectionTime           = time.Second            // for so long
	loadFeedbackTTL        = time.Second            // of the free value
	membershipPollInterval = 500 * time.Millisecond // the membership list is read
	membershipTTL          = 3 * time.Second        // after its last report
	answerSlack            = 110 * time.Millisecond // after its limit an answer is late: the rule's slack
	minTryTime             = 20 * time.Millisecond  // less is not worth a try
)

// end is how a try ended.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	timedOut       // no answer in its time
	connectionLost // the connection ended first
	unreachable    // no connection could be had
	notSent        // the dispatcher had nobody to send it to: no try was made
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"served", "refused", "failed", "late", "cut", "unreachable", "held_back"}

// dispatcher is one of them.
type dispatcher struct {
	fleet         *Fleet
	number        int
	followsAdvice bool

	mu    sync.Mutex
	nodes []nodeState
}

// peer is what a dispatcher knows of a node.
type nodeState struct {
	addr         string // of the link to it
	conns        []*platform.Client
	dialing      int // under way
	avoidUntil   time.Time
	failures     int
	loadFeedback float64
	feedbackAt   time.Time // the value
	unhealthy    bool
	openTries    int
	listed       bool
}

func newDispatcher(f *Fleet, number int, followsAdvice bool) *dispatcher {
	d := &dispatcher{fleet: f, number: number, followsAdvice: followsAdvice, nodes: make([]nodeState, len(f.nodes))}
	for i := range d.nodes {
		d.nodes[i] = nodeState{addr: f.nodeLinks[number][i].Addr(), loadFeedback: 1, listed: true}
	}
	return d
}

// pick chooses a node that was not tried: by its free value, among those that are
// listed, not left alone and said to be well. ok is false where there is none.
func (d *dispatcher) pickNode(random *rand.Rand, tried uint64) (node int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	draw := func() int {
		for _, healthy := range []bool{true, false} { // red ones only if there are no others
			sum := 0.0
			weight := func(i int) float64 {
				n := &d.nodes[i]
				if tried&(1<<i) != 0 || !n.listed || now.Before(n.avoidUntil) || healthy == n.unhealthy {
					return 0
				}
				if !d.followsAdvice || now.Sub(n.feedbackAt) > loadFeedbackTTL {
					return 1
				}
				return max(n.loadFeedback, 0.01)
			}
			for i := range d.nodes {
				sum += weight(i)
			}
			if sum == 0 {
				continue
			}
			remaining := random.Float64() * sum
			last := -1
			for i := range d.nodes {
				if w := weight(i); w > 0 {
					last = i
					if remaining -= w; remaining < 0 {
						break
					}
				}
			}
			return last
		}
		return -1
	}
	node = draw()
	if node >= 0 && d.fleet.scenario.Dispatchers.Routing == "least" {
		if other := draw(); other >= 0 && d.nodes[other].openTries < d.nodes[node].openTries {
			node = other
		}
	}
	return node, node >= 0
}

// connection is one with room; it opens one where all are full.
func (d *dispatcher) connection(node int) (*platform.Client, error) {
	d.mu.Lock()
	n := &d.nodes[node]
	var best *platform.Client
	usable := n.conns[:0]
	for _, c := range n.conns {
		if !c.Usable() {
			d.fleet.record(func(t *tally) { t.DuplicateAnswers += c.Twice() })
			continue
		}
		usable = append(usable, c)
		if best == nil || c.Room() > best.Room() {
			best = c
		}
	}
	n.conns = usable
	if best != nil && (best.Room() > 0 || len(n.conns)+n.dialing >= d.fleet.scenario.Dispatchers.MaxConnections) {
		d.mu.Unlock()
		return best, nil
	}
	if len(n.conns)+n.dialing >= d.fleet.scenario.Dispatchers.MaxConnections {
		d.mu.Unlock()
		return nil, errors.New("all connections are being opened")
	}
	n.dialing++
	d.mu.Unlock()
	c, err := platform.Dial(n.addr, d.number)
	d.fleet.record(func(t *tally) { t.Connections++ })
	d.mu.Lock()
	defer d.mu.Unlock()
	n.dialing--
	if err == nil {
		n.conns = append(n.conns, c)
	}
	return c, err
}

// reconnect drops every connection, as a dispatcher that starts anew.
func (d *dispatcher) reconnect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.nodes {
		for _, c := range d.nodes[i].conns {
			c.Close()
		}
		d.nodes[i].avoidUntil, d.nodes[i].failures, d.nodes[i].loadFeedback = time.Time{}, 0, 1
	}
}

// learn takes what a try's end says of the node.
func (d *dispatcher) recordOutcome(node int, result outcome, answer platform.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, now := &d.nodes[node], time.Now()
	n.openTries--
	switch result {
	case served, refused:
		n.failures = 0
	default:
		if n.failures++; n.failures >= maxFailures {
			n.avoidUntil = now.Add(ejectionTime)
			n.failures = maxFailures - 1 // one more tells whether it is well again
		}
	}
	if answer.Word == "" {
		return
	}
	if !math.IsNaN(answer.Value) {
		n.loadFeedback, n.feedbackAt = answer.Value, now
	}
	if result == refused && d.followsAdvice && answer.Later > 0 {
		if until := now.Add(min(answer.Later, d.fleet.scenario.Fleet.MaxRetryAfter)); until.After(n.avoidUntil) {
			n.avoidUntil = until
		}
	}
}

// send takes a request through the dispatcher's list.
func (d *dispatcher) send(request *request, deadline time.Time) (result outcome, retryAfter time.Duration) {
	result = notSent
	for further, tried := 0, uint64(0); further <= d.fleet.scenario.Dispatchers.FurtherNodes; further++ {
		timeLeft := min(time.Until(deadline), d.fleet.scenario.Dispatchers.TryTimeout)
		node, ok := d.pickNode(request.random, tried)
		if !ok || timeLeft < minTryTime || d.fleet.ctx.Err() != nil {
			break
		}
		tried |= 1 << node
		var answer platform.Answer
		result, answer = d.try(request, node, timeLeft)
		d.recordOutcome(node, result, answer)
		switch {
		case result == served:
			return result, 0
		case result == refused:
			retryAfter = answer.Later
			if answer.GiveUp && d.followsAdvice {
				return result, retryAfter
			}
		case result != unreachable && request.class.Effect == "unsafe":
			return result, retryAfter // it may have run
		}
	}
	if result == notSent {
		retryAfter = d.earliestRetry()
		d.fleet.record(func(t *tally) { t.NotSent++ })
	}
	return result, retryAfter
}

// soonest is when the first node may be tried again.
func (d *dispatcher) earliestRetry() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := d.fleet.scenario.Fleet.MaxRetryAfter
	for i := range d.nodes {
		if n := &d.nodes[i]; n.listed {
			wait = min(wait, max(time.Until(n.avoidUntil), 0))
		}
	}
	return wait
}

// try sends a request to a node and says how that ended.
func (d *dispatcher) try(request *request, node int, timeout time.Duration) (result outcome, answer platform.Answer) {
	first := request.tries == 0
	request.tries++
	d.mu.Lock()
	d.nodes[node].openTries++
	d.mu.Unlock()
	began := time.Now()
	noFault := d.fleet.noFault(d.number, node)
	defer func() {
		took := time.Since(began)
		noFault = noFault && d.fleet.noFault(d.number, node)
		d.fleet.record(func(t *tally) {
			t.Tries[result]++
			if first {
				t.FirstTries++
			}
			if result == refused {
				switch {
				case answer.GiveUp:
					t.StoppedRetries++
				case answer.Later > 0:
					t.RetryAfters++
				}
				if first {
					t.refusalTimes = append(t.refusalTimes, took)
					if took > promptRefusal {
						t.SlowRefusals++
					}
				}
			}
			if result == timedOut && noFault { // nothing was wrong from here to there
				t.Unanswered++
			}
		})
	}()
	c, err := d.connection(node)
	if err != nil {
		return unreachable, answer
	}
	body := strconv.AppendFloat(nil, request.workMs, 'f', 3, 64)
	message := platform.Request{Txn: d.fleet.newTransaction(), Class: request.class.Name, Tenant: "acme", Limit: timeout, HintMs: request.workMs, Retry: !first}
	if request.class.Effect != "safe" {
		message.Unique = request.idempotencyKey
		body = append(append(body, ' '), request.idempotencyKey...)
	}
	message.Body = body
	ctx, cancel := context.WithTimeout(d.fleet.ctx, timeout+answerSlack)
	defer cancel()
	sent := time.Now()
	answer, err = c.Do(ctx, message)
	switch {
	case err != nil && ctx.Err() != nil:
		if d.fleet.ctx.Err() != nil {
			return connectionLost, platform.Answer{} // the rehearsal ends: that says nothing
		}
		return timedOut, answer
	case errors.Is(err, platform.ErrGone):
		return connectionLost, answer
	case err != nil:
		return unreachable, answer
	case time.Since(sent) > timeout+answerSlack:
		return timedOut, answer
	case answer.Word == "ACK":
		return served, answer
	case answer.Word == "NAK":
		return refused, answer
	}
	return failed, answer
}

// probeAll keeps up the health checks and the list until the rehearsal ends.
func (d *dispatcher) startProbes(done *sync.WaitGroup) {
	for i := range d.nodes {
		done.Go(func() { d.probe(i) })
	}
	done.Go(func() {
		for d.fleet.sleep(membershipPollInterval) == nil {
			for i := range d.nodes {
				phase, at := d.fleet.members.Phase(d.fleet.nodes[i].process.name)
				d.mu.Lock()
				d.nodes[i].listed = phase == "" || time.Since(at) < membershipTTL
				d.mu.Unlock()
			}
		}
	})
}

func (d *dispatcher) probe(i int) {
	interval := d.fleet.scenario.Dispatchers.ProbeInterval
	if interval == 0 {
		return
	}
	random := rand.New(rand.NewPCG(d.fleet.scenario.Fleet.Seed, uint64(1000+d.number*64+i)))
	for d.fleet.sleep(time.Duration(float64(interval)/d.fleet.currentProbeFactor()*(0.9+0.2*random.Float64()))) == nil {
		healthy, err := platform.Probe(d.nodes[i].addr, min(interval, time.Second))
		d.fleet.record(func(t *tally) { t.Probes++ })
		d.mu.Lock()
		d.nodes[i].unhealthy = err != nil || !healthy
		d.mu.Unlock()
	}
}

// txn is a name that no try had.
func (f *Fleet) newTransaction() string { return fmt.Sprintf("%016x", f.lastTransaction.Add(1)) }
