package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"robinmast/internal/standin/platform"
)

// run sends requests at random times, at the rate of the current phase, and prints the table.
func (t *trial) run(ctx context.Context, out io.Writer) error {
	calmEnd, overloadEnd := t.seconds*35/100, t.seconds*70/100
	if !t.json {
		fmt.Fprintf(out, "one node, %d cores, saturated by %.0f requests per second; seed %d\n\n",
			tryCores, t.rate, t.seed)
		fmt.Fprintf(out, "%4s  %-9s %6s %6s %7s %7s %6s %5s %5s  %5s %5s %5s %7s\n",
			"s", "part", "sent", "again", "served", "refused", "failed", "late", "cut", "cpu", "busy", "held", "running")
	}
	var inFlight sync.WaitGroup
	start := time.Now()
	nextArrival, elapsed, crashed := start, 0, false
	previous, previousCPU := outcomes{}, t.nodeCPU()
	for ctx.Err() == nil && elapsed < t.seconds {
		phase, load := "calm", tryCalmLoad
		switch {
		case elapsed >= overloadEnd:
			phase = "crash"
			if !crashed {
				crashed = true
				t.killNode()
				if err := t.startNode(ctx); err != nil {
					return err
				}
				previousCPU = t.nodeCPU()
			}
		case elapsed >= calmEnd:
			phase, load = "overload", t.load
		}
		for time.Now().After(nextArrival) {
			nextArrival = nextArrival.Add(time.Duration(t.random.ExpFloat64() / (t.rate * load) * float64(time.Second)))
			request := t.newRequest()
			inFlight.Go(func() { t.sendWithRetries(request) })
		}
		if now := int(time.Since(start) / time.Second); now > elapsed {
			cpu := t.nodeCPU()
			s := second{At: elapsed + 1, Phase: phase, NodeCPU: max((cpu - previousCPU).Seconds(), 0)}
			running, _, busy := t.pool.Load()
			t.mu.Lock()
			s.Outcomes, previous = t.outcomes.minus(previous), t.outcomes
			s.Busy, s.Running, s.Queued = busy, running, max(t.open-running, 0)
			t.mu.Unlock()
			elapsed, previousCPU = now, cpu
			t.printSecond(out, s)
		}
		time.Sleep(min(max(time.Until(nextArrival), 0), 20*time.Millisecond))
	}
	inFlight.Wait()
	return t.printAccounting(out)
}

// newRequest returns the next request and counts it.
func (t *trial) newRequest() platform.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.txn++
	request := platform.Request{Txn: fmt.Sprintf("%016x", t.txn), Tenant: "acme", Timeout: tryTimeout}
	pick := t.random.Float64()
	for _, c := range tryClasses {
		if pick -= c.share; pick > 0 {
			continue
		}
		ms := c.ms * (0.5 + t.random.ExpFloat64()/2)
		request.Class, request.WorkHintMs = c.name, ms
		request.Body = strconv.AppendFloat(nil, ms, 'f', 3, 64)
		if c.keyed {
			request.IdempotencyKey = "k" + request.Txn
			request.Body = append(append(request.Body, ' '), request.IdempotencyKey...)
		}
		break
	}
	t.outcomes.Sent++
	t.open++
	return request
}

// sendWithRetries sends a request and counts its outcome. It sends a keyed request again if the
// answer was lost.
func (t *trial) sendWithRetries(request platform.Request) {
	for tries := 1; ; tries++ {
		start := time.Now()
		answer, err := t.sendOnce(request)
		lost := err != nil
		t.mu.Lock()
		runs := t.runs[request.IdempotencyKey]
		switch {
		case errors.Is(err, platform.ErrConnectionClosed):
			t.outcomes.ConnectionLost++
		case err != nil:
			t.outcomes.NotConnected++
		case time.Since(start) > request.Timeout+tryAnswerSlack:
			t.outcomes.Late++
		case answer.Status == "ACK":
			t.outcomes.Served++
			if request.IdempotencyKey != "" {
				if earlier, ok := t.results[request.IdempotencyKey]; ok && earlier != string(answer.Body) {
					t.accounting.ResultChanged++
				}
				t.results[request.IdempotencyKey] = string(answer.Body)
				if request.Retry && runs == 1 {
					t.accounting.AnsweredByCache++
				}
			}
		case answer.Status == "NAK":
			t.outcomes.Refused++
		default:
			t.outcomes.Failed++
		}
		retry := lost && request.IdempotencyKey != "" && tries < tryMaxTries
		if retry {
			t.outcomes.FurtherTries++
			t.txn++
			request.Txn, request.Retry = fmt.Sprintf("%016x", t.txn), true
		} else {
			t.open--
		}
		t.mu.Unlock()
		if !retry {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendOnce sends a request on one of the connections, which it opens if needed.
func (t *trial) sendOnce(request platform.Request) (platform.Answer, error) {
	n := int(request.Txn[len(request.Txn)-1]) % tryConnections
	t.mu.Lock()
	client := t.conns[n]
	if client == nil || !client.Usable() {
		var err error
		if client, err = platform.Dial(t.addr, n); err != nil {
			t.mu.Unlock()
			return platform.Answer{}, err
		}
		t.conns[n] = client
	}
	t.mu.Unlock()
	return client.Call(request)
}
