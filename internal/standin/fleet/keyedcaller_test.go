package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"robinmast/internal/standin/platform"
)

const (
	keysPerNode      = 20                     // keyed requests of a keyedCaller at each node
	keyedCallTimeout = 600 * time.Millisecond // for each try
	keyedCallPause   = 20 * time.Millisecond  // least time between two tries of a request
)

// keyedCaller is a caller that repeats keyed requests in a stated number and order: all keys of a node run and are
// answered before the node is killed, and each key is repeated after its restart until the answer is no refusal. It
// connects to the nodes directly.
type keyedCaller struct {
	fleet *Fleet
	done  sync.WaitGroup

	mu      sync.Mutex
	first   map[string]string // results before the kill, by key
	repeats keyedRepeats
}

// keyedRepeats counts the keys by the answer to their repeat.
type keyedRepeats struct {
	sameResult  int // answered with the result of the first run
	otherResult int // answered with another result, so that the request ran again
	failed      int
}

// runWithKeyedCaller executes a scenario in which all nodes are killed once, with a keyedCaller beside its load.
func runWithKeyedCaller(t *testing.T, s *Scenario, opt Options) (*Report, keyedRepeats) {
	t.Helper()
	caller := &keyedCaller{first: map[string]string{}}
	opt.OnStarted = func(f *Fleet) {
		caller.fleet = f
		for i := range f.Nodes() {
			caller.done.Go(func() { caller.callNode(i) })
		}
	}
	report := run(t, s, opt)
	caller.done.Wait()
	if want := keysPerNode * s.Fleet.Nodes; len(caller.first) != want {
		t.Fatalf("%d of %d keys ran before the kill", len(caller.first), want)
	}
	t.Logf("repeats of %d keys: %+v", len(caller.first), caller.repeats)
	return report, caller.repeats
}

// callNode sends a node's keyed requests, waits until the node is killed and has restarted, and repeats them.
func (c *keyedCaller) callNode(node int) {
	connection := c.connect(node)
	if connection == nil {
		return
	}
	c.forEachKey(node, func(key string) {
		if answer, ok := c.callUntilDecided(node, connection, key, false); ok && answer.Status == "ACK" {
			c.mu.Lock()
			c.first[key] = string(answer.Body)
			c.mu.Unlock()
		}
	})
	for connection.Usable() {
		if c.fleet.sleep(keyedCallPause) != nil {
			return
		}
	}
	connection.Close()
	if connection = c.connect(node); connection == nil {
		return
	}
	defer connection.Close()
	c.forEachKey(node, func(key string) {
		answer, ok := c.callUntilDecided(node, connection, key, true)
		if !ok {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case answer.Status != "ACK":
			c.repeats.failed++
		case string(answer.Body) == c.first[key]:
			c.repeats.sameResult++
		default:
			c.repeats.otherResult++
		}
	})
}

// connect opens a connection to a node, as soon as it listens; nil if the rehearsal ends before.
func (c *keyedCaller) connect(node int) *platform.Client {
	for {
		connection, err := platform.Dial(c.fleet.nodes[node].addr, c.fleet.scenario.Dispatchers.Count+node)
		if err == nil {
			return connection
		}
		if c.fleet.sleep(keyedCallPause) != nil {
			return nil
		}
	}
}

// forEachKey calls each for all keys of a node at the same time, and waits.
func (c *keyedCaller) forEachKey(node int, each func(key string)) {
	var calls sync.WaitGroup
	for i := range keysPerNode {
		calls.Go(func() { each(fmt.Sprintf("stated%d.%d", node, i)) })
	}
	calls.Wait()
}

// callUntilDecided sends a request until its answer is no refusal. ok is false if there was none before the
// rehearsal or the connection ended.
func (c *keyedCaller) callUntilDecided(
	node int, connection *platform.Client, key string, repeat bool,
) (answer platform.Answer, ok bool) {
	const workMs = 5
	for connection.Usable() {
		ctx, cancel := context.WithTimeout(c.fleet.ctx, keyedCallTimeout+answerSlack)
		answer, err := connection.Do(ctx, platform.Request{
			Txn: c.fleet.newTransaction(), Class: "pay", Tenant: "acme", Timeout: keyedCallTimeout, WorkHintMs: workMs,
			Retry: repeat, IdempotencyKey: key, Body: fmt.Appendf(nil, "%d %s", workMs, key),
		})
		cancel()
		if err == nil && answer.Status != "NAK" {
			return answer, true
		}
		if c.fleet.sleep(max(answer.RetryAfter, keyedCallPause)) != nil {
			break
		}
	}
	return platform.Answer{}, false
}
