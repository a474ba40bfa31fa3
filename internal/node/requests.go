package node

import (
	"slices"
	"sync/atomic"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// item is a request in hand: what the module calls it, and what is left of it.
type item struct {
	id      rules.RequestID
	x       *exchange.Exchange
	running bool  // a run was asked for and is not over
	reusing bool  // waits for the result of the request it repeats
	kept    *kept // the entry it holds

	statement []byte // of the call it stands at
	call      uint64 // the number of the call that is out, 0 = none is
	hangUp    func() // gives it up

	gate atomic.Uint32 // of a run that waits for its intent
}

// ordered lists the items in order of arrival.
func (n *Node) ordered() []*item {
	list := make([]*item, 0, len(n.items))
	for _, it := range n.items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b *item) int { return int(a.id) - int(b.id) })
	return list
}

// arrive gives a request to the module. Its age counts from the machine's door,
// by the Unix clock; both clocks are read now.
func (n *Node) arrive(x *exchange.Exchange) {
	if x.FinalState() != exchange.Open { // its caller left before it was taken up
		return
	}
	if _, twice := n.byTxn[x.Txn]; twice { // the worker pool could not tell them apart
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		return
	}
	n.nextID++
	it := &item{id: n.nextID, x: x}
	n.items[it.id], n.byX[x] = it, it
	n.byTxn[x.Txn] = struct{}{}
	q := request(x, it.id, n.unix())
	earlier, other := n.table.earlier(x, q, n.now, n.cfg.Settings)
	switch {
	case earlier == it.id:
	case other:
		if c := n.KeyConflicts.Add(1); c&(c-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			n.cfg.Log.Warn("a key that stands for another request", "class", x.ClassName, "caller", x.Caller, "so_far", c)
		}
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.forget(it)
		return
	default:
		q.RepeatOf = earlier
	}
	if n.cfg.Recovery != nil && n.doubted(it, &q) {
		return
	}
	n.module.Arrive(n.now, q)
}

// Bounds for what the clocks of two programs may say.
const longest = time.Hour

// request turns a call into the module's terms; unix is the time in milliseconds.
func request(x *exchange.Exchange, id rules.RequestID, unix float64) rules.Request {
	clamp := func(ms float64, least time.Duration) time.Duration {
		return min(max(time.Duration(min(ms, float64(longest/time.Millisecond))*float64(time.Millisecond)), least), longest)
	}
	q := rules.Request{
		ID: id, Rank: x.Rank, WorkHint: clamp(x.HintMs, 0), Tenant: x.Tenant, Caller: x.Caller,
		Age: clamp(max(unix-x.ArrivedUnixMs, 0), 0), MemoryKB: x.MemoryKB, Class: x.Class, Retry: x.Retry, Key: hash(x.Item),
	}
	if x.TimeoutMs > 0 { // a time already past is still told: 0 would mean that nothing is known
		q.CallerTimeout = min(clamp(max(x.ArrivedUnixMs+x.TimeoutMs-unix, 0), time.Microsecond), clamp(x.TimeoutMs, time.Microsecond))
	}
	return q
}

// called takes the end of a call. The run goes on with its result, if there is one.
func (n *Node) called(e event) {
	it := n.byX[e.x]
	if it == nil || it.call != e.call { // its run ended meanwhile
		return
	}
	it.call, it.hangUp = 0, nil
	if e.out == rules.OK {
		n.pool.ContinueWithResult(it.x, e.body)
	}
	n.module.CallEnded(n.now, it.id, e.out, e.took)
}

// giveUpCall ends the call of a request that is over, if one is out.
func (it *item) giveUpCall() {
	if it.call != 0 {
		it.hangUp()
		it.call, it.hangUp = 0, nil
	}
}

// finish takes the end of a run or a reuse. A result goes out by itself, as
// does a failure; a run that was stopped without an answer is the module's again.
func (n *Node) finish(e event) {
	it := n.byX[e.x]
	if it == nil || !it.running && !it.reusing {
		return
	}
	if it.running && !e.kept && n.store(it, e) {
		return // the answer follows once the result is stored
	}
	reused := it.reusing
	it.running, it.reusing = false, false
	it.giveUpCall()
	if it.kept != nil && e.has {
		it.kept.stored, it.kept.ref = true, it.kept.key[1:]
	}
	switch e.end {
	case pool.Complete:
		if !e.told {
			it.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
		}
		n.settleKept(it, true, e.body)
		n.module.RunEnded(n.now, it.id, rules.OK, e.took)
		n.ranLife(it, e, reused)
	case pool.Cancelled:
		n.module.RunEnded(n.now, it.id, rules.Cancelled, e.took)
		n.leave(it)
		return
	default:
		it.x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.settleKept(it, false, nil)
		o := rules.Failed
		if e.end == pool.NeverStarted {
			o = rules.NeverStarted
			if it.kept != nil && !reused {
				it.kept.moot = true
			}
		}
		n.module.RunEnded(n.now, it.id, o, e.took)
	}
	n.leave(it)
}

// leave forgets a request of which nothing is left.
func (n *Node) leave(it *item) {
	if it.running || it.x.FinalState() == exchange.Open {
		return
	}
	n.settleKept(it, false, nil)
	n.forget(it)
}

func (n *Node) forget(it *item) {
	it.giveUpCall()
	delete(n.items, it.id)
	delete(n.byX, it.x)
	delete(n.byTxn, it.x.Txn)
}
