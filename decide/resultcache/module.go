// Package recall decides what is remembered across restarts: what gets an
// intent before its run and a result after, what a repeat is told after a
// restart, what ages out, what leaves first when a bound is met, and what a
// change of the settings or a clock that jumped means. It holds no results,
// only what is known of them. It must never do I/O, read a clock or log.
//
// Invariants, held by TestInvariants: the entries never pass the bounds; no
// keyed entry leaves before its window is over, at worst its result does; an
// entry never outlives its window by more than Settings.Slack, and never comes
// back once it aged out.
package resultcache

import (
	"container/heap"
	"strings"
	"time"

	"robinmast/rules"
)

// Class is what the settings say of a class, by name.
type Class struct {
	Effect rules.Effect
	Window time.Duration // Keyed: how long after reaching the machine a repeat may come
}

// Settings are the module's. Bounds of 0 hold nothing.
type Settings struct {
	Classes          map[string]Class
	Tenants          map[string]bool // empty = there are none
	ReadFreshness    time.Duration   // how long a read's result may be given again, 0 = never
	MaxBytes         int64           // most bytes of keys and results
	MaxRecords       int
	ClockSlack       time.Duration // how far the wall clock may be off across a restart
	FailUnknownReads bool          // reads cut off by a crash fail instead of running again
	RecordUnsafe     bool          // intents for work that may run at most once
}

// Kind is what is known of a run.
type Kind uint8

// The kinds of entries. They are stored: never renumber.
const (
	Intent        Kind = 1 // it may have run; nothing is known of its end
	Result        Kind = 2 // it ran, and its result is stored
	Failed        Kind = 3 // it ran and failed
	ResultEvicted Kind = 4 // it ran, and its result had to leave
)

// ID names what the tries of a request have in common. Results never cross
// tenants or classes.
type RequestKey struct {
	Class, Tenant string
	Name          string // the key of a keyed request, the item of a read, the run of an unsafe one
}

// Key is the ID as one text; no two IDs share one.
func (id RequestKey) Text() string {
	return keyEscaper.Replace(id.Class) + "/" + keyEscaper.Replace(id.Tenant) + "/" + id.Name
}

var keyEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Entry is what is known of a run. Times are Unix milliseconds by Module.Unix.
type Record struct {
	RequestKey
	Kind    Kind
	Effect  rules.Effect // as the class had it
	Run     string       // the run's name at the worker pool
	Arrived int64        // when it reached the machine
	Window  int64        // Keyed: its class's window then, milliseconds
	Expires int64
	Size    int64 // of the result, bytes
}

// overhead is what an entry takes besides its names and its result, in bytes.
const recordOverhead = 128

func (e *Record) bytes() int64 {
	return recordOverhead + e.Size + int64(len(e.Class)+len(e.Tenant)+len(e.Name)+len(e.Run))
}

// Verdict is what a repeat of a remembered request is told after a restart.
type RepeatAction uint8

// The verdicts.
const (
	RunAgain      RepeatAction = iota // nothing speaks against a run
	WaitForRun                        // its run may still go on: wait for its end
	AnswerEarlier                     // the earlier answer
	FailRepeat                        // it ran, or may have, and there is no result
)

// Drop says why an entry was not taken over at a start.
type DropReason uint8

// The reasons. Kept is none.
const (
	Kept             DropReason = iota
	Expired                     // its time is over
	ClassRemoved                // the settings no longer have its class
	TenantRemoved               // or its tenant
	EffectChanged               // its class has another effect now: nothing it said holds
	NoRoom                      // the bounds are smaller now
	UnsafeReported              // unsafe work that may have run: told once, nothing can repeat it
	PossiblyOutdated            // a read's, and its newest record may be lost
	numDropReasons
)

var dropReasonNames = [numDropReasons]string{"kept", "aged", "class_gone", "tenant_gone", "effect_changed", "no_room", "unsafe_unknown", "outdated"}

func (d DropReason) String() string { return dropReasonNames[d] }

// held is an entry in the module.
type indexedRecord struct {
	Record
	key      string
	position int // in the heap, -1 = not there
}

// Module decides what is remembered. It belongs to one goroutine.
type Module struct {
	settings        Settings
	clock           clock
	records         map[string]*indexedRecord
	bytes           int64
	byExpiry        expiryHeap // by expiry, soonest first
	readsByExpiry   expiryHeap // of them, reads
	resultsByExpiry expiryHeap // of them, keyed with a result
}

// New returns a module that remembers nothing.
func New(set Settings) *Module {
	m := &Module{settings: set, records: map[string]*indexedRecord{}}
	m.byExpiry.setPosition = func(h *indexedRecord, i int) { h.position = i }
	return m
}

// Len is the number of entries, Bytes what they take.
func (m *Module) Len() int { return len(m.records) }

// Bytes is what the entries take, results included.
func (m *Module) Bytes() int64 { return m.bytes }

// Wants reports whether a request of this class and effect is remembered at all,
// and whether its run must wait for an intent. named tells that it has a key or
// an item.
func (m *Module) ShouldRecord(effect rules.Effect, named bool) (remember, intent bool) {
	switch effect {
	case rules.Keyed:
		return named, named
	case rules.Safe:
		remember = named && m.settings.ReadFreshness > 0
		return remember, remember && m.settings.FailUnknownReads
	default:
		return m.settings.RecordUnsafe, m.settings.RecordUnsafe
	}
}

// Intend notes that a request is about to run. ok is false if there is no room
// for it: it would run unremembered. evicted lists whose entries leave for it,
// lost whose results do.
func (m *Module) RecordIntent(now time.Duration, e Record) (ok bool, orders StoreChanges) {
	e.Kind, e.Size = Intent, 0
	key := e.Text()
	if was := m.records[key]; was != nil {
		m.remove(was)
	}
	if !m.makeRoom(now, &e, &orders) {
		return false, orders
	}
	m.add(key, e)
	return true, orders
}

// Ended notes how a run ended: with a result of size bytes, or failed. It
// reports whether that is to be stored, as what.
func (m *Module) RunEnded(now time.Duration, e Record, good bool, size int64) (Record, bool, StoreChanges) {
	var orders StoreChanges
	key := e.Text()
	was := m.records[key]
	if was != nil {
		m.remove(was)
	}
	e.Kind, e.Size = Failed, 0
	if good {
		e.Kind, e.Size = Result, size
	}
	switch {
	case e.Effect == rules.Unsafe:
		if was != nil {
			orders.Delete = append(orders.Delete, key)
		}
		return e, false, orders
	case e.Effect == rules.Safe && !good: // it may run again; nothing is worth keeping
		if was != nil {
			orders.Delete = append(orders.Delete, key)
		}
		return e, false, orders
	case e.Effect == rules.Safe:
		e.Expires = m.Unix(now) + m.settings.ReadFreshness.Milliseconds()
	}
	if e.Expires <= m.Unix(now) { // the window closed while it ran
		if was != nil {
			orders.Delete = append(orders.Delete, key)
		}
		return e, false, orders
	}
	if !m.makeRoom(now, &e, &orders) {
		if e.Effect == rules.Safe {
			return e, false, orders
		}
		e.Kind, e.Size = ResultEvicted, 0 // that it ran is what counts
		if !m.makeRoom(now, &e, &orders) {
			if was == nil {
				return e, false, orders
			}
			// Its intent had room, and what says that it ran takes no more.
		}
	}
	m.add(key, e)
	return e, true, orders
}

// Withdraw forgets the intent of a run that never began.
func (m *Module) Withdraw(id RequestKey) (orders StoreChanges) {
	key := id.Text()
	if was := m.records[key]; was != nil && was.Kind == Intent {
		m.remove(was)
		orders.Delete = append(orders.Delete, key)
	}
	return orders
}

// Orders are changes of the store that a decision brings with it.
type StoreChanges struct {
	Delete      []string // entries that leave
	EvictResult []Record // entries whose results leave: stored as given here
}

// makeRoom makes room for e within the bounds: reads leave first, soonest to
// expire first; then results of keyed requests, of which stays that they ran.
// Keyed entries themselves never leave in their window.
func (m *Module) makeRoom(now time.Duration, e *Record, orders *StoreChanges) bool {
	need := e.bytes()
	if m.settings.MaxRecords < 1 || need > m.settings.MaxBytes {
		return false
	}
	m.removeExpired(now, orders)
	for len(m.records) >= m.settings.MaxRecords || m.bytes+need > m.settings.MaxBytes {
		if r := m.readsByExpiry.peek(); r != nil {
			m.remove(r)
			orders.Delete = append(orders.Delete, r.key)
			continue
		}
		p := m.resultsByExpiry.peek()
		if p == nil || len(m.records) >= m.settings.MaxRecords {
			return false
		}
		was := p.Record
		m.remove(p)
		was.Kind, was.Size = ResultEvicted, 0
		m.add(p.key, was)
		orders.EvictResult = append(orders.EvictResult, was)
	}
	return true
}

// Expire drops what aged out, and returns the keys.
func (m *Module) Expire(now time.Duration) []string {
	var o StoreChanges
	m.removeExpired(now, &o)
	return o.Delete
}

func (m *Module) removeExpired(now time.Duration, orders *StoreChanges) {
	unix := m.Unix(now)
	for h := m.byExpiry.peek(); h != nil && h.Expires <= unix; h = m.byExpiry.peek() {
		m.remove(h)
		orders.Delete = append(orders.Delete, h.key)
	}
}

// Restore takes over an entry from an earlier life of the node, or says why
// not. What it returns is the entry as it holds now.
func (m *Module) Restore(now time.Duration, e Record) (Record, DropReason) {
	c, known := m.settings.Classes[e.Class]
	unix := m.Unix(now)
	switch {
	case e.Expires <= unix:
		return e, Expired
	case e.Effect == rules.Unsafe:
		return e, UnsafeReported
	case !known:
		return e, ClassRemoved
	case len(m.settings.Tenants) > 0 && !m.settings.Tenants[e.Tenant]:
		return e, TenantRemoved
	case c.Effect != e.Effect || e.Effect == rules.Safe && m.settings.ReadFreshness <= 0:
		return e, EffectChanged
	}
	switch e.Effect {
	case rules.Keyed: // its window is what the settings say now
		if w := c.Window.Milliseconds(); w != e.Window {
			e.Expires += w - e.Window
			e.Window = w
		}
	case rules.Safe:
		e.Expires = min(e.Expires, unix+m.settings.ReadFreshness.Milliseconds())
		if e.Kind == Intent && !m.settings.FailUnknownReads {
			return e, Expired // it may simply run again
		}
	}
	if m.clock.uncertain { // nobody knows how long the node was away
		e.Expires = min(e.Expires, unix+m.settings.ClockSlack.Milliseconds())
	}
	if e.Expires <= unix {
		return e, Expired
	}
	if e.Expires > unix+m.maxLifetime(c)+windowSlackMillis { // written by a clock that ran ahead
		e.Expires = unix + m.maxLifetime(c) + windowSlackMillis
	}
	if m.records[e.Text()] != nil || len(m.records) >= m.settings.MaxRecords || m.bytes+e.bytes() > m.settings.MaxBytes {
		if e.Effect == rules.Safe || len(m.records) >= m.settings.MaxRecords {
			return e, NoRoom
		}
		if e.Kind == Result {
			e.Kind, e.Size = ResultEvicted, 0
		}
	}
	m.add(e.Text(), e)
	return e, Kept
}

// windowSlack, in milliseconds, is what a keyed entry lives beyond its window,
// so that a repeat at its very end is still known.
const windowSlackMillis = 50

// longest is how long an entry of a class may live, in milliseconds.
func (m *Module) maxLifetime(c Class) int64 {
	if c.Effect == rules.Keyed {
		return c.Window.Milliseconds()
	}
	return m.settings.ReadFreshness.Milliseconds()
}

// Tuned values of waiting for a run of an earlier life.
const (
	maxWaitRuns       = 8.0                    // usual runs after which its end is not awaited any more
	minWait           = 500 * time.Millisecond // and at least so long
	waitDeadlineShare = 0.5                    // of the deadline, where no usual run is known
)

// Awaits says how long repeats wait for the end of a run of an earlier life, from the
// moment that the worker pool is heard: it may have been cut off between its intent
// and its begin, and then nothing ever tells. usual is a usual run of its class, 0 =
// not known.
func InFlightTimeout(usual, deadline time.Duration) time.Duration {
	if usual <= 0 {
		return time.Duration(waitDeadlineShare * float64(deadline))
	}
	return min(max(time.Duration(maxWaitRuns*float64(usual)), minWait), deadline)
}

// Judge says what a repeat of a restored entry is told. poolSince is when the
// worker pool came up, in Unix milliseconds: a run that was asked for before
// that is over, whatever became of it; one asked for after may still go on.
func (m *Module) DecideRepeat(e Record, poolSince int64) RepeatAction {
	switch e.Kind {
	case Result:
		return AnswerEarlier
	case Intent:
		if e.Effect == rules.Safe && !m.settings.FailUnknownReads {
			return RunAgain
		}
		if poolSince <= e.Arrived {
			return WaitForRun
		}
	}
	return FailRepeat
}

func (m *Module) add(key string, e Record) {
	h := &indexedRecord{Record: e, key: key, position: -1}
	m.records[key] = h
	m.bytes += e.bytes()
	heap.Push(&m.byExpiry, h)
	switch {
	case e.Effect == rules.Safe:
		heap.Push(&m.readsByExpiry, h)
	case e.Kind == Result:
		heap.Push(&m.resultsByExpiry, h)
	}
}

func (m *Module) remove(h *indexedRecord) {
	delete(m.records, h.key)
	m.bytes -= h.Record.bytes()
	heap.Remove(&m.byExpiry, h.position)
	h.position = -1 // the other two skip it when it comes up
	m.readsByExpiry.compact(len(m.records))
	m.resultsByExpiry.compact(len(m.records))
}
