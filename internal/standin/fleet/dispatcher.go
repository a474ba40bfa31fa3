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

// Behaviour of dispatchers that a scenario does not set.
const (
	maxFailures            = 5                      // failures in a row after which a node is ejected
	ejectionTime           = time.Second            // for which an ejected node gets no requests
	loadFeedbackTTL        = time.Second            // of a node's published load feedback
	membershipPollInterval = 500 * time.Millisecond // between reads of the membership list
	membershipTTL          = 3 * time.Second        // for which a node is listed after its last report
	answerSlack            = 110 * time.Millisecond // time beyond its timeout by which a try must be answered
	minTryTime             = 20 * time.Millisecond  // with less time until the deadline no try is made
)

// outcome is how a try or a request ended.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	timedOut       // no answer within the timeout
	connectionLost // the connection closed before the answer
	unreachable    // no connection could be opened
	notSent        // the dispatcher had no node to send it to, so no try was made
	numOutcomes
)

// outcomeNames are the names in the report's table.
var outcomeNames = [numOutcomes]string{"served", "refused", "failed", "late", "cut", "unreachable", "held_back"}

// dispatcher sends requests to the nodes. It knows of a node only its answers, its health checks and
// the membership list. Its methods may be called by any goroutine.
type dispatcher struct {
	fleet         *Fleet
	number        int
	honoursAdvice bool // honours load feedback, retry-after and refusals that must not be retried

	mu    sync.Mutex
	nodes []nodeState
}

// nodeState is what a dispatcher knows of a node.
type nodeState struct {
	addr         string // of the link to the node
	conns        []*platform.Client
	dialing      int // connections that are being opened
	avoidUntil   time.Time
	failures     int // in a row
	loadFeedback float64
	feedbackAt   time.Time // when loadFeedback was received
	unhealthy    bool      // by the last health check
	openTries    int
	listed       bool // in the membership list
}

func newDispatcher(f *Fleet, number int, honoursAdvice bool) *dispatcher {
	d := &dispatcher{
		fleet: f, number: number, honoursAdvice: honoursAdvice, nodes: make([]nodeState, len(f.nodes)),
	}
	for i := range d.nodes {
		d.nodes[i] = nodeState{addr: f.nodeLinks[number][i].Addr(), loadFeedback: 1, listed: true}
	}
	return d
}

// pickNode draws a node, weighted by load feedback, among those that are listed, not ejected and not in
// the bit set tried. Healthy nodes come first. ok is false if there is none.
func (d *dispatcher) pickNode(random *rand.Rand, tried uint64) (node int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	draw := func() int {
		for _, healthy := range []bool{true, false} { // unhealthy nodes only if there is no healthy one
			sum := 0.0
			weight := func(i int) float64 {
				n := &d.nodes[i]
				if tried&(1<<i) != 0 || !n.listed || now.Before(n.avoidUntil) || healthy == n.unhealthy {
					return 0
				}
				if !d.honoursAdvice || now.Sub(n.feedbackAt) > loadFeedbackTTL {
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

// connection returns the connection to a node on which the most requests can be sent. It opens a new one if none
// has capacity for a request and MaxConnections allows it.
func (d *dispatcher) connection(node int) (*platform.Client, error) {
	d.mu.Lock()
	n := &d.nodes[node]
	var best *platform.Client
	usable := n.conns[:0]
	for _, c := range n.conns {
		if !c.Usable() {
			d.fleet.record(func(t *tally) { t.DuplicateAnswers += c.DuplicateAnswers() })
			continue
		}
		usable = append(usable, c)
		if best == nil || c.AvailableRequests() > best.AvailableRequests() {
			best = c
		}
	}
	n.conns = usable
	if best != nil && (best.AvailableRequests() > 0 ||
		len(n.conns)+n.dialing >= d.fleet.scenario.Dispatchers.MaxConnections) {
		d.mu.Unlock()
		return best, nil
	}
	if len(n.conns)+n.dialing >= d.fleet.scenario.Dispatchers.MaxConnections {
		d.mu.Unlock()
		return nil, fmt.Errorf("connect to node %d: all connections are still being opened", node+1)
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

// reconnect closes all connections, as a restarted dispatcher does.
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

// recordOutcome updates what is known of a node after a try.
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
			n.failures = maxFailures - 1 // after the ejection a single further failure ejects it again
		}
	}
	if answer.Status == "" {
		return
	}
	if !math.IsNaN(answer.LoadFeedback) {
		n.loadFeedback, n.feedbackAt = answer.LoadFeedback, now
	}
	if result == refused && d.honoursAdvice && answer.RetryAfter > 0 {
		if until := now.Add(min(answer.RetryAfter, d.fleet.scenario.Fleet.MaxRetryAfter)); until.After(n.avoidUntil) {
			n.avoidUntil = until
		}
	}
}

// send tries a request at one node after another, up to FurtherNodes further ones. retryAfter is that of the
// last refusal; if no try was made, it is the time until the first node may be tried.
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
			retryAfter = answer.RetryAfter
			if answer.StopRetrying && d.honoursAdvice {
				return result, retryAfter
			}
		case result != unreachable && request.class.Effect == "unsafe":
			return result, retryAfter // it may have run, so it must not be repeated
		}
	}
	if result == notSent {
		retryAfter = d.earliestRetry()
		d.fleet.record(func(t *tally) { t.NotSent++ })
	}
	return result, retryAfter
}

// earliestRetry returns the time until the first listed node may be tried again.
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

// try sends a request to a node and returns the outcome.
func (d *dispatcher) try(
	request *request, node int, timeout time.Duration,
) (result outcome, answer platform.Answer) {
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
		d.recordTry(result, answer, first, took, noFault)
	}()
	c, err := d.connection(node)
	if err != nil {
		return unreachable, answer
	}
	body := strconv.AppendFloat(nil, request.workMs, 'f', 3, 64)
	message := platform.Request{
		Txn: d.fleet.newTransaction(), Class: request.class.Name, Tenant: "acme", Timeout: timeout,
		WorkHintMs: request.workMs, Retry: !first,
	}
	if request.class.Effect != "safe" {
		message.IdempotencyKey = request.idempotencyKey
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
			return connectionLost, platform.Answer{} // the rehearsal ended, so this is not counted against the node
		}
		return timedOut, answer
	case errors.Is(err, platform.ErrConnectionClosed):
		return connectionLost, answer
	case err != nil:
		return unreachable, answer
	case time.Since(sent) > timeout+answerSlack:
		return timedOut, answer
	case answer.Status == "ACK":
		return served, answer
	case answer.Status == "NAK":
		return refused, answer
	}
	return failed, answer
}

// recordTry counts a try, which took the given time. noFault means that no fault affected it.
func (d *dispatcher) recordTry(result outcome, answer platform.Answer, first bool, took time.Duration, noFault bool) {
	d.fleet.record(func(t *tally) {
		t.Tries[result]++
		if first {
			t.FirstTries++
		}
		if result == refused {
			switch {
			case answer.StopRetrying:
				t.StoppedRetries++
			case answer.RetryAfter > 0:
				t.RetryAfters++
			}
			if first {
				t.refusalTimes = append(t.refusalTimes, took)
				if took > promptRefusalTime {
					t.SlowRefusals++
				}
			}
		}
		if result == timedOut && noFault { // a fault on the path would explain it
			t.Unanswered++
		}
	})
}

// startProbes runs the health checks and reads the membership list until the rehearsal ends.
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

// probe checks the health of node i at ProbeInterval, with 10 % jitter, until the rehearsal ends.
func (d *dispatcher) probe(i int) {
	interval := d.fleet.scenario.Dispatchers.ProbeInterval
	if interval == 0 {
		return
	}
	random := rand.New(rand.NewPCG(d.fleet.scenario.Fleet.Seed, uint64(1000+d.number*64+i)))
	wait := func() time.Duration {
		return time.Duration(float64(interval) / d.fleet.currentProbeFactor() * (0.9 + 0.2*random.Float64()))
	}
	for d.fleet.sleep(wait()) == nil {
		healthy, err := platform.Probe(d.nodes[i].addr, min(interval, time.Second))
		d.fleet.record(func(t *tally) { t.Probes++ })
		d.mu.Lock()
		d.nodes[i].unhealthy = err != nil || !healthy
		d.mu.Unlock()
	}
}

// newTransaction returns an ID that no other try has.
func (f *Fleet) newTransaction() string { return fmt.Sprintf("%016x", f.lastTransaction.Add(1)) }
