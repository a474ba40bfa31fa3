// This file owns the loop's side of what outlives the node: a run that waits for
// its intent, a result that is stored before it goes out, and what repeats of an
// earlier life's requests are told. It must never wait for the disk, and never
// decide what is remembered.

package node

import (
	"time"

	"robinmast/decide/resultcache"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	memory "robinmast/internal/resultcache"
	"robinmast/rules"
)

// Memory is what the loop needs of what outlives the node. Callbacks come from
// any goroutine, or at once.
type ResultCache interface {
	// Restore takes over what earlier lives left; it is called once, before all else.
	Restore(now time.Duration) ([]memory.RestoredRecord, error)
	// Wants reports whether a request is remembered, and whether its run must wait for Intend.
	Wants(x *exchange.Exchange) (remember, intent bool)
	StoreIntent(now time.Duration, x *exchange.Exchange, expires time.Duration, done func(error))
	// Refused reports whether a run whose intent could not be written goes on.
	RunsUnrecorded(err error) bool
	RunEnded(now time.Duration, x *exchange.Exchange, expires time.Duration, good bool, body []byte, done func(kept bool))
	Withdraw(x *exchange.Exchange)
	LateRunEnded(now time.Duration, r memory.RestoredRecord, good bool, body []byte)
	DecideRepeat(r memory.RestoredRecord, pool time.Duration) resultcache.RepeatAction
	CountRepeat(good bool)
	Fetch(key string, done func(body []byte, err error))
	// Flush ends a batch.
	Flush(now time.Duration)
	Close(now time.Duration) error
}

// The gate of a run that waits for its intent: whoever moves it from waiting has
// the word, the store that lets it begin or the loop that stops it.
const (
	noGate uint32 = iota
	gateWaiting
	gateOpen
	gateShut
)

// earlier is an entry of an earlier life of the node.
type earlier struct {
	memory.RestoredRecord
	id   rules.RequestID // stands for the request that made it
	kept *kept
}

// restore takes over what earlier lives left.
func (n *Node) restore() error {
	if n.cfg.ResultCache == nil {
		return nil
	}
	list, err := n.cfg.ResultCache.Restore(n.now)
	if err != nil {
		return err
	}
	n.byRun = map[string]*earlier{}
	for _, r := range list {
		n.nextID++
		e := &earlier{RestoredRecord: r, id: n.nextID}
		n.earlier = append(n.earlier, e)
		if r.Record.Kind == resultcache.Intent {
			n.byRun[r.Record.Run] = e
		}
	}
	n.relink(-longest) // until the worker pool says since when it is up, it may have outlived us
	return nil
}

// relink puts the entries of earlier lives into the table; pool is when the
// worker pool came up.
func (n *Node) relink(pool time.Duration) {
	for _, r := range n.earlier {
		if n.now > r.Expires+lateRead || r.kept != nil && r.kept.over {
			if r.kept != nil { // its run's end came meanwhile
				n.table.byKey[r.kept.key] = r.kept
			}
			continue
		}
		e := &kept{key: "u" + r.Key, holder: r.id, expires: r.Expires, ref: r.Key}
		if r.Record.Effect == rules.Safe {
			e.key = "i" + r.Key
		}
		switch n.cfg.ResultCache.DecideRepeat(r.RestoredRecord, pool) {
		case resultcache.RunAgain:
			continue
		case resultcache.WaitForRun:
			if n.isBound && r.Class >= 0 {
				e.awaited = n.now + resultcache.InFlightTimeout(n.usualRun(r.Class), n.cfg.Settings.Classes[r.Class].Deadline)
			}
		case resultcache.AnswerEarlier:
			e.over, e.good, e.stored = true, true, true
		case resultcache.FailRepeat:
			e.over, e.barred = true, true
		}
		r.kept = e
		n.table.byKey[e.key] = e
	}
}

// usualRun is how long a run of a class usually takes, 0 where nothing is known.
func (n *Node) usualRun(class int) time.Duration {
	l := n.learned()
	if class < 0 || class >= len(l.Classes) {
		return 0
	}
	return time.Duration(l.Classes[class].Mean * float64(time.Second))
}

// endWaits fails the repeats of runs of earlier lives whose end was awaited for long
// enough: whether they began can't be known.
func (n *Node) endWaits() {
	unheard := 0
	for _, r := range n.byRun {
		if r.kept == nil || r.kept.over || r.kept.awaited == 0 || n.now < r.kept.awaited {
			continue
		}
		r.kept.barred, r.kept.awaited = true, 0
		unheard++
		for _, w := range n.table.settle(r.kept, false, nil, n.now, 0) {
			n.cfg.ResultCache.CountRepeat(false)
			n.reused(w, false, nil)
		}
	}
	if unheard > 0 {
		n.cfg.Log.Warn("runs of an earlier life were not heard to end: their repeats fail, since nothing tells whether they began", "runs", unheard)
	}
}

// spawn asks for a run, once its intent is durable if it needs one: then it
// begins at once and does not wait for the loop's next batch.
func (n *Node) spawn(it *item) {
	if n.cfg.ResultCache != nil {
		if _, intent := n.cfg.ResultCache.Wants(it.x); intent {
			it.gate.Store(gateWaiting)
			n.cfg.ResultCache.StoreIntent(n.now, it.x, n.expires(it), func(err error) {
				if err == nil && it.gate.CompareAndSwap(gateWaiting, gateOpen) {
					n.pool.StartRun(it.x)
					return
				}
				n.post(event{kind: intended, x: it.x, err: err})
			})
			return
		}
	}
	n.pool.StartRun(it.x)
}

// suspend stops a run, or keeps one that waits for its intent from beginning.
func (n *Node) suspend(it *item) {
	if it.gate.CompareAndSwap(gateWaiting, gateShut) {
		return
	}
	n.pool.StopRun(it.x)
}

// expires is until when a repeat of the request may come.
func (n *Node) expires(it *item) time.Duration {
	if it.kept != nil {
		return it.kept.expires
	}
	return n.now + n.cfg.Settings.Classes[it.x.Class].Deadline
}

// intended takes the word of an intent after which the run did not begin. One
// that could not be written fails its request, which may come again: nothing ran.
func (n *Node) intended(e event) {
	it := n.byX[e.x]
	if it == nil {
		return
	}
	switch {
	case it.gate.Swap(noGate) == gateShut:
		n.cfg.ResultCache.Withdraw(it.x)
		n.finish(event{x: it.x, end: pool.Cancelled, kept: true})
	case e.err != nil && n.cfg.ResultCache.RunsUnrecorded(e.err):
		n.pool.StartRun(it.x)
	default:
		if it.kept != nil {
			n.table.drop(it.kept)
		}
		n.finish(event{x: it.x, end: pool.NeverStarted, kept: true})
	}
}

// store notes how a run ended. It reports whether the answer has to wait for
// that: finish comes again then.
func (n *Node) store(it *item, e event) bool {
	if n.cfg.ResultCache == nil {
		return false
	}
	remember, _ := n.cfg.ResultCache.Wants(it.x)
	if !remember {
		return false
	}
	switch e.end {
	case pool.Complete:
		n.cfg.ResultCache.RunEnded(n.now, it.x, n.expires(it), true, e.body, func(has bool) {
			again := e
			again.kept, again.has, again.told = true, has, true
			e.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
			n.post(again)
		})
		return true
	case pool.Error:
		n.cfg.ResultCache.RunEnded(n.now, it.x, n.expires(it), false, nil, nil)
	default:
		n.cfg.ResultCache.Withdraw(it.x)
	}
	return false
}

// stray takes the end of a run of an earlier life, from a worker pool that
// outlived it: whoever waits gets its result, and so do later repeats.
func (n *Node) stray(e event) {
	r := n.byRun[e.run]
	if r == nil || r.kept == nil || r.kept.over && r.kept.good {
		return
	}
	delete(n.byRun, e.run)
	good := e.end == pool.Complete
	n.cfg.ResultCache.LateRunEnded(n.now, r.RestoredRecord, good, e.body)
	r.kept.barred = !good
	for _, w := range n.table.settle(r.kept, good, e.body, n.now, 0) {
		n.cfg.ResultCache.CountRepeat(good)
		n.reused(w, good, e.body)
	}
}

// Stray takes the end of a run that this life did not ask for.
func (n *Node) UnknownRunEnded(run string, end pool.Outcome, result []byte) {
	n.post(event{kind: stray, run: run, end: end, body: result})
}

// fetch serves a request from a result that is only on the disk.
func (n *Node) fetch(it *item, e *kept) {
	x := it.x
	n.cfg.ResultCache.Fetch(e.ref, func(body []byte, err error) {
		end := pool.Complete
		if err != nil {
			end = pool.Error
		}
		n.cfg.ResultCache.CountRepeat(err == nil)
		n.post(event{kind: finished, x: x, end: end, took: n.cfg.Settings.BatchInterval, body: body})
	})
}

// toldEarlier counts a repeat of an earlier life's request that fails at once.
func (n *Node) toldEarlier(e *kept, good bool) {
	if e.barred && !good {
		n.cfg.ResultCache.CountRepeat(false)
	}
}
