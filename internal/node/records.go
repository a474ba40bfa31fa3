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
const lateReadGrace = 10 * time.Second

// kept is one entry. The newest try that the module kept holds it.
type record struct {
	key          string
	bodyHash     uint64 // of the body of the request that made it, 0 = not known
	holder       rules.RequestID
	expires      time.Duration
	ended        bool // the run it stands for has ended
	succeeded    bool // with a result
	neverStarted bool // nothing was started: no try of it has run
	stored       bool // the result can be read from the memory, under ref
	failRepeats  bool // of an earlier life: a repeat must not run, though it is safe
	storeKey     string
	waitUntil    time.Duration // 0, or until when the end of a run of an earlier life is
	result       []byte
	waiting      []*openRequest
}

// table is the table of kept keys.
type recordTable struct {
	byKey       map[string]*record
	results     []*record // that hold a result, oldest first
	resultBytes int
	resultLimit int
	lastSweep   time.Duration
}

func newRecordTable(limit int) recordTable {
	return recordTable{byKey: map[string]*record{}, resultLimit: limit}
}

var hashSeed = maphash.MakeSeed()

// hash turns an item's name into the module's key; 0 means none.
func hashKey(item string) uint64 {
	if item == "" {
		return 0
	}
	return maphash.String(hashSeed, item) | 1
}

// keyOf names what a request's tries have in common, "" for one that has none.
// Two tenants may meet under one name: nothing in the protocol keeps them apart,
// so their names are part of it and no result crosses tenants.
func recordKey(x *exchange.Exchange, settings rules.Settings) string {
	switch {
	case settings.Classes[x.Class].Effect == rules.Keyed:
		return "u" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Unique}.Text()
	case x.Safe && settings.ReadFreshness > 0 && x.Item != "":
		return "i" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Item}.Text()
	}
	return ""
}

// fingerprint tells the bodies of requests under one key apart, never 0.
func hashBody(body []byte) uint64 { return maphash.Bytes(hashSeed, body) | 1 }

// earlier is the kept request that x repeats, 0 for none. An entry counts for
// whatever reached the machine while it lived, however late it is read. A keyed
// request of another body repeats nothing, it only uses its key: whoever sent it must
// not be told the other's result, and to run it would be a second run of the key.
func (t *recordTable) find(x *exchange.Exchange, q rules.Request, now time.Duration, settings rules.Settings) (id rules.RequestID, conflict bool) {
	rec := t.byKey[recordKey(x, settings)]
	if rec == nil || rec.neverStarted || now-q.Age > rec.expires || x.Safe && rec.ended && !rec.succeeded && !rec.failRepeats {
		return 0, false
	}
	return rec.holder, !x.Safe && rec.bodyHash != 0 && rec.bodyHash != hashBody(x.Body)
}

// keep makes or renews the entry of a request.
func (t *recordTable) keepRecord(req *openRequest, key string, expires time.Duration) {
	if req.record != nil && req.record.holder == req.id {
		req.record.expires = expires
		return
	}
	t.remove(t.byKey[key])
	req.record = &record{key: key, bodyHash: hashBody(req.x.Body), holder: req.id, expires: expires}
	t.byKey[key] = req.record
}

// drop takes an entry out; whoever waits for it is settled by its holder's end.
func (t *recordTable) remove(rec *record) {
	if rec == nil {
		return
	}
	if t.byKey[rec.key] == rec {
		delete(t.byKey, rec.key)
	}
	t.resultBytes -= len(rec.result)
	rec.result = nil
}

// settle notes how an entry's run ended, and returns who waited for it.
func (t *recordTable) endRun(rec *record, succeeded bool, result []byte, now time.Duration, freshness time.Duration) []*openRequest {
	rec.ended, rec.succeeded = true, succeeded
	if succeeded && t.byKey[rec.key] == rec {
		rec.result = result
		t.resultBytes += len(result)
		t.results = append(t.results, rec)
		if freshness > 0 { // a read's answer is shared for so long from its end
			rec.expires = now + freshness
		}
		for t.resultBytes > t.resultLimit && len(t.results) > 0 { // its repeats will fail; none runs again
			oldest := t.results[0]
			t.results = t.results[1:]
			t.resultBytes -= len(oldest.result)
			oldest.result, oldest.succeeded = nil, oldest.stored
		}
	}
	joined := rec.waiting
	rec.waiting = nil
	return joined
}

// expire takes out what has run out, now and then.
func (t *recordTable) removeExpired(now time.Duration) {
	if now-t.lastSweep < time.Second {
		return
	}
	t.lastSweep = now
	for _, rec := range t.byKey {
		rec.waiting = slices.DeleteFunc(rec.waiting, func(w *openRequest) bool { return w.x.FinalState() != exchange.Open })
		if now > rec.expires+lateReadGrace && len(rec.waiting) == 0 {
			t.remove(rec)
		}
	}
	live := t.results[:0]
	for _, rec := range t.results {
		if t.byKey[rec.key] == rec {
			live = append(live, rec)
		}
	}
	clear(t.results[len(live):])
	t.results = live
}

// settleKept ends the entry that a request holds, once, and answers its repeats.
func (n *Node) endRecord(req *openRequest, succeeded bool, result []byte) {
	rec := req.record
	if rec == nil || rec.ended {
		return
	}
	var freshness time.Duration
	if req.x.Safe {
		freshness = n.cfg.Settings.ReadFreshness
	}
	for _, w := range n.records.endRun(rec, succeeded, result, n.now, freshness) {
		n.endJoined(w, succeeded, result)
	}
}

// reused ends a reuse, in the loop's next batch.
func (n *Node) endJoined(req *openRequest, succeeded bool, result []byte) {
	end := pool.Error
	if succeeded {
		end = pool.Complete
	}
	n.followUps = append(n.followUps, event{kind: runEnded, x: req.x, outcome: end, took: n.cfg.Settings.BatchInterval, body: result})
}
