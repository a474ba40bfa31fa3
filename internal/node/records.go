// This file owns what links the tries of a request: keys, and the results that
// repeats are served from. It must never decide what is kept or for how long;
// the module says so.

package node

import (
	"hash/maphash"
	"slices"
	"time"

	"robinmast/decide/resultcache"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// lateRead is how long an entry is still found after it expired, for a repeat
// that came in time and was read late.
const lateRead = 10 * time.Second

// kept is one entry. The newest try that the module kept holds it.
type kept struct {
	key     string
	print   uint64 // of the body of the request that made it, 0 = not known
	holder  rules.RequestID
	expires time.Duration
	over    bool // the run it stands for has ended
	good    bool // with a result
	moot    bool // nothing was started: no try of it has run
	stored  bool // the result can be read from the memory, under ref
	barred  bool // of an earlier life: a repeat must not run, though it is safe
	ref     string
	awaited time.Duration // 0, or until when the end of a run of an earlier life is
	body    []byte
	waiting []*item
}

// table is the table of kept keys.
type table struct {
	byKey   map[string]*kept
	results []*kept // that hold a result, oldest first
	bytes   int
	limit   int
	swept   time.Duration
}

func newTable(limit int) table {
	return table{byKey: map[string]*kept{}, limit: limit}
}

var hashSeed = maphash.MakeSeed()

// hash turns an item's name into the module's key; 0 means none.
func hash(item string) uint64 {
	if item == "" {
		return 0
	}
	return maphash.String(hashSeed, item) | 1
}

// keyOf names what a request's tries have in common, "" for one that has none.
// Two tenants may meet under one name: nothing in the protocol keeps them apart,
// so their names are part of it and no result crosses tenants.
func keyOf(x *exchange.Exchange, set rules.Settings) string {
	switch {
	case set.Classes[x.Class].Effect == rules.Keyed:
		return "u" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Unique}.Text()
	case x.Safe && set.ReadFreshness > 0 && x.Item != "":
		return "i" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Item}.Text()
	}
	return ""
}

// fingerprint tells the bodies of requests under one key apart, never 0.
func fingerprint(body []byte) uint64 { return maphash.Bytes(hashSeed, body) | 1 }

// earlier is the kept request that x repeats, 0 for none. An entry counts for
// whatever reached the machine while it lived, however late it is read. A keyed
// request of another body repeats nothing, it only uses its key: whoever sent it must
// not be told the other's result, and to run it would be a second run of the key.
func (t *table) earlier(x *exchange.Exchange, q rules.Request, now time.Duration, set rules.Settings) (id rules.RequestID, other bool) {
	e := t.byKey[keyOf(x, set)]
	if e == nil || e.moot || now-q.Age > e.expires || x.Safe && e.over && !e.good && !e.barred {
		return 0, false
	}
	return e.holder, !x.Safe && e.print != 0 && e.print != fingerprint(x.Body)
}

// keep makes or renews the entry of a request.
func (t *table) keep(it *item, key string, expires time.Duration) {
	if it.kept != nil && it.kept.holder == it.id {
		it.kept.expires = expires
		return
	}
	t.drop(t.byKey[key])
	it.kept = &kept{key: key, print: fingerprint(it.x.Body), holder: it.id, expires: expires}
	t.byKey[key] = it.kept
}

// drop takes an entry out; whoever waits for it is settled by its holder's end.
func (t *table) drop(e *kept) {
	if e == nil {
		return
	}
	if t.byKey[e.key] == e {
		delete(t.byKey, e.key)
	}
	t.bytes -= len(e.body)
	e.body = nil
}

// settle notes how an entry's run ended, and returns who waited for it.
func (t *table) settle(e *kept, good bool, body []byte, now time.Duration, fresh time.Duration) []*item {
	e.over, e.good = true, good
	if good && t.byKey[e.key] == e {
		e.body = body
		t.bytes += len(body)
		t.results = append(t.results, e)
		if fresh > 0 { // a read's answer is shared for so long from its end
			e.expires = now + fresh
		}
		for t.bytes > t.limit && len(t.results) > 0 { // its repeats will fail; none runs again
			old := t.results[0]
			t.results = t.results[1:]
			t.bytes -= len(old.body)
			old.body, old.good = nil, old.stored
		}
	}
	w := e.waiting
	e.waiting = nil
	return w
}

// expire takes out what has run out, now and then.
func (t *table) expire(now time.Duration) {
	if now-t.swept < time.Second {
		return
	}
	t.swept = now
	for _, e := range t.byKey {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *item) bool { return w.x.FinalState() != exchange.Open })
		if now > e.expires+lateRead && len(e.waiting) == 0 {
			t.drop(e)
		}
	}
	live := t.results[:0]
	for _, e := range t.results {
		if t.byKey[e.key] == e {
			live = append(live, e)
		}
	}
	clear(t.results[len(live):])
	t.results = live
}

// settleKept ends the entry that a request holds, once, and answers its repeats.
func (n *Node) settleKept(it *item, good bool, body []byte) {
	e := it.kept
	if e == nil || e.over {
		return
	}
	var fresh time.Duration
	if it.x.Safe {
		fresh = n.cfg.Settings.ReadFreshness
	}
	for _, w := range n.table.settle(e, good, body, n.now, fresh) {
		n.reused(w, good, body)
	}
}

// reused ends a reuse, in the loop's next batch.
func (n *Node) reused(it *item, good bool, body []byte) {
	end := pool.Error
	if good {
		end = pool.Complete
	}
	n.late = append(n.late, event{kind: finished, x: it.x, end: end, took: n.cfg.Settings.BatchInterval, body: body})
}
