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

// play sends requests at random times, as many as the part asks for, and prints
// the table.
func (t *trial) play(ctx context.Context, out io.Writer) error {
	calm, over := t.seconds*35/100, t.seconds*70/100
	if !t.json {
		fmt.Fprintf(out, "one node, %d cores of work, %.0f requests a second fill them; seed %d\n\n", tryCores, t.rate, t.seed)
		fmt.Fprintf(out, "%4s  %-9s %6s %6s %7s %7s %6s %5s %5s  %5s %5s %5s %7s\n",
			"s", "part", "sent", "again", "served", "refused", "failed", "late", "cut", "cpu", "busy", "held", "running")
	}
	var wait sync.WaitGroup
	began := time.Now()
	next, at, crashed := began, 0, false
	last, cpu := tally{}, t.cpu()
	for ctx.Err() == nil && at < t.seconds {
		phase, load := "calm", tryCalm
		switch {
		case at >= over:
			phase = "crash"
			if !crashed {
				crashed = true
				t.kill()
				if err := t.start(ctx); err != nil {
					return err
				}
				cpu = t.cpu()
			}
		case at >= calm:
			phase, load = "overload", t.load
		}
		for time.Now().After(next) {
			next = next.Add(time.Duration(t.rnd.ExpFloat64() / (t.rate * load) * float64(time.Second)))
			q := t.request()
			wait.Go(func() { t.ask(q) })
		}
		if now := int(time.Since(began) / time.Second); now > at {
			is := t.cpu()
			s := second{At: at + 1, Phase: phase, NodeCPU: max((is - cpu).Seconds(), 0)}
			running, _, busy := t.pool.State()
			t.mu.Lock()
			s.Tally, last = t.tally.minus(last), t.tally
			s.Busy, s.Running, s.Held = busy, running, max(t.open-running, 0)
			t.mu.Unlock()
			at, cpu = now, is
			t.line(out, s)
		}
		time.Sleep(min(max(time.Until(next), 0), 20*time.Millisecond))
	}
	wait.Wait()
	return t.account(out)
}

// request makes the next request.
func (t *trial) request() platform.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.txn++
	q := platform.Request{Txn: fmt.Sprintf("%016x", t.txn), Tenant: "acme", Limit: tryLimit}
	pick := t.rnd.Float64()
	for _, c := range tryClasses {
		if pick -= c.share; pick > 0 {
			continue
		}
		ms := c.ms * (0.5 + t.rnd.ExpFloat64()/2)
		q.Class, q.HintMs = c.name, ms
		q.Body = strconv.AppendFloat(nil, ms, 'f', 3, 64)
		if c.keyed {
			q.Unique = "k" + q.Txn
			q.Body = append(append(q.Body, ' '), q.Unique...)
		}
		break
	}
	t.tally.Sent++
	t.open++
	return q
}

// ask sends a request; a keyed one whose answer was lost is sent again.
func (t *trial) ask(q platform.Request) {
	for n := 1; ; n++ {
		began := time.Now()
		a, err := t.call(q)
		lost := err != nil
		t.mu.Lock()
		was := t.runs[q.Unique]
		switch {
		case errors.Is(err, platform.ErrGone):
			t.tally.Cut++
		case err != nil:
			t.tally.Unsent++
		case time.Since(began) > q.Limit+trySlack:
			t.tally.Late++
		case a.Word == "ACK":
			t.tally.Served++
			if q.Unique != "" {
				if r, ok := t.result[q.Unique]; ok && r != string(a.Body) {
					t.acc.Changed++
				}
				t.result[q.Unique] = string(a.Body)
				if q.Retry && was == 1 {
					t.acc.Remembered++
				}
			}
		case a.Word == "NAK":
			t.tally.Refused++
		default:
			t.tally.Failed++
		}
		again := lost && q.Unique != "" && n < tryTries
		if again {
			t.tally.Again++
			t.txn++
			q.Txn, q.Retry = fmt.Sprintf("%016x", t.txn), true
		} else {
			t.open--
		}
		t.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call sends a request on the connection of one of the callers.
func (t *trial) call(q platform.Request) (platform.Answer, error) {
	n := int(q.Txn[len(q.Txn)-1]) % tryCallers
	t.mu.Lock()
	c := t.conns[n]
	if c == nil || !c.Usable() {
		var err error
		if c, err = platform.Dial(t.addr, n); err != nil {
			t.mu.Unlock()
			return platform.Answer{}, err
		}
		t.conns[n] = c
	}
	t.mu.Unlock()
	return c.Call(q)
}
