package node

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"robinmast/decide/resultcache"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// lateReadGrace is how long a record is still found after it expired, for a repeat
// that arrived in time and was read late.
const lateReadGrace = 10 * time.Second

// record is one idempotency record. The newest try for which the module called
// KeepRecord holds it.
type record struct {
	key          string // in recordTable.byKey
	bodyHash     uint64 // of the body of the request that created it, 0 = not known
	holder       rules.RequestID
	expires      time.Duration
	ended        bool // its run has ended
	succeeded    bool // with a result
	neverStarted bool // no try of the request has run
	stored       bool // the result can be fetched from the result cache, by storeKey and storeRun
	failRepeats  bool // of a previous incarnation: a repeat must not run, even if it is safe
	storeKey     string
	storeRun     string        // the run that made the result
	waitUntil    time.Duration // when to stop waiting for the end of a previous incarnation's run, 0 = not waiting
	result       []byte        // held in memory, nil = not held

	waiting map[rules.RequestID]*openRequest // open requests that joined it before its run ended
}

// recordTable holds the idempotency records, and their results within a bound.
type recordTable struct {
	byKey       map[string]*record
	results     []*record // records that hold a result, oldest first
	resultBytes int       // bytes of these results
	resultLimit int       // bound of resultBytes
	lastSweep   time.Duration
}

// newRecordTable returns an empty table whose results take up to limit bytes.
func newRecordTable(limit int) recordTable {
	return recordTable{byKey: map[string]*record{}, resultLimit: limit}
}

var hashSeed = maphash.MakeSeed()

// hashKey hashes an item's name or a record's key for the module, which takes 0 as none. It
// returns 0 for "" only.
func hashKey(name string) uint64 {
	if name == "" {
		return 0
	}
	return maphash.String(hashSeed, name) | 1
}

// recordKey returns the key that all tries of a request share, "" if there is none.
// Nothing in the protocol keeps two tenants from using one key, so the tenant's name is
// part of it and no result crosses tenants. The first letter is "u" for an idempotency key and
// "i" for the item of a read.
func recordKey(x *exchange.Exchange, settings rules.Settings) string {
	switch {
	case settings.Classes[x.Class].Effect == rules.Keyed:
		return "u" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Unique}.Text()
	case x.Safe && settings.ReadFreshness > 0 && x.Item != "":
		return "i" + resultcache.RequestKey{Class: x.ClassName, Tenant: x.TenantName, Name: x.Item}.Text()
	}
	return ""
}

// find returns the record of the earlier request that x repeats, nil for none. A record applies to
// every request that reached the host before the record expired, however late it is
// read. A keyed request with another body repeats nothing and is reported as a conflict:
// its sender must not receive the other request's result, and to run it would be a
// second run under the key.
func (t *recordTable) find(
	x *exchange.Exchange, q rules.Request, now time.Duration, settings rules.Settings,
) (rec *record, conflict bool) {
	rec = t.byKey[recordKey(x, settings)]
	if rec == nil || rec.neverStarted || now-q.Age > rec.expires ||
		x.Safe && rec.ended && !rec.succeeded && !rec.failRepeats {
		return nil, false
	}
	return rec, !x.Safe && rec.bodyHash != 0 && rec.bodyHash != x.BodyHash()
}

// keepRecord creates or renews the record of a request.
func (t *recordTable) keepRecord(req *openRequest, key string, expires time.Duration) {
	if req.record != nil && req.record.holder == req.id {
		req.record.expires = expires
		return
	}
	t.remove(t.byKey[key])
	req.record = &record{key: key, bodyHash: req.x.BodyHash(), holder: req.id, expires: expires}
	t.byKey[key] = req.record
}

// remove removes a record. Requests that wait for it are answered when its holder ends.
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

// join makes a request wait for the end of a record's run.
func (rec *record) join(req *openRequest) {
	if rec.waiting == nil {
		rec.waiting = map[rules.RequestID]*openRequest{}
	}
	rec.waiting[req.id], req.waitsFor = req, rec
}

// endRun records how the run of a record ended, and returns the requests that waited
// for it.
func (t *recordTable) endRun(
	rec *record, succeeded bool, result []byte, now time.Duration, freshness time.Duration,
) []*openRequest {
	rec.ended, rec.succeeded = true, succeeded
	if succeeded && t.byKey[rec.key] == rec {
		rec.result = result
		t.resultBytes += len(result)
		t.results = append(t.results, rec)
		if freshness > 0 { // a read's result is shared for that long from its end
			rec.expires = now + freshness
		}
		// Repeats of a request whose result is evicted fail; none runs again.
		for t.resultBytes > t.resultLimit && len(t.results) > 0 {
			oldest := t.results[0]
			t.results = t.results[1:]
			t.resultBytes -= len(oldest.result)
			oldest.result, oldest.succeeded = nil, oldest.stored
		}
	}
	joined := slices.SortedFunc(maps.Values(rec.waiting), func(a, b *openRequest) int { return cmp.Compare(a.id, b.id) })
	rec.waiting = nil
	return joined
}

// removeExpired removes expired records, at most once a second.
func (t *recordTable) removeExpired(now time.Duration) {
	if now-t.lastSweep < time.Second {
		return
	}
	t.lastSweep = now
	for _, rec := range t.byKey {
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

// endRecord ends the record that a request holds, once, and answers its repeats.
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

// endJoined ends a request that joined an earlier one, in the loop's next batch.
func (n *Node) endJoined(req *openRequest, succeeded bool, result []byte) {
	outcome := pool.Error
	if succeeded {
		outcome = pool.Complete
	}
	n.followUps = append(n.followUps, event{
		kind: runEnded, x: req.x, outcome: outcome, duration: n.cfg.Settings.BatchInterval, body: result,
	})
}
