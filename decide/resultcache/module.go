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
	Classes     map[string]Class
	Tenants     map[string]bool // empty = there are none
	Fresh       time.Duration   // how long a read's result may be given again, 0 = never
	Bytes       int64           // most bytes of keys and results
	Entries     int
	Slack       time.Duration // how far the wall clock may be off across a restart
	FailUnknown bool          // reads cut off by a crash fail instead of running again
	Unsafe      bool          // intents for work that may run at most once
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
	return escape.Replace(id.Class) + "/" + escape.Replace(id.Tenant) + "/" + id.Name
}

var escape = strings.NewReplacer("%", "%25", "/", "%2F")

// Entry is what is known of a run. Times are Unix milliseconds by Module.Unix.
type Record struct {
	RequestKey
	Kind    Kind
	Effect  rules.Effect // as the class had it
	Run     string       // the run's name at the worker pool
	Asked   int64        // when it reached the machine
	Window  int64        // Keyed: its class's window then, milliseconds
	Expires int64
	Size    int64 // of the result, bytes
}

// overhead is what an entry takes besides its names and its result, in bytes.
const overhead = 128

func (e *Record) bytes() int64 {
	return overhead + e.Size + int64(len(e.Class)+len(e.Tenant)+len(e.Name)+len(e.Run))
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
	Kept       DropReason = iota
	Aged                  // its time is over
	ClassGone             // the settings no longer have its class
	TenantGone            // or its tenant
	Changed               // its class has another effect now: nothing it said holds
	NoRoom                // the bounds are smaller now
	Reported              // unsafe work that may have run: told once, nothing can repeat it
	Outdated              // a read's, and its newest record may be lost
	numDrops
)

var dropWords = [numDrops]string{"kept", "aged", "class_gone", "tenant_gone", "effect_changed", "no_room", "unsafe_unknown", "outdated"}

func (d DropReason) String() string { return dropWords[d] }

// held is an entry in the module.
type held struct {
	Record
	key   string
	place int // in the heap, -1 = not there
}

// Module decides what is remembered. It belongs to one goroutine.
type Module struct {
	set   Settings
	clock clock
	all   map[string]*held
	bytes int64
	ages  ages // by expiry, soonest first
	reads ages // of them, reads
	pays  ages // of them, keyed with a result
}

// New returns a module that remembers nothing.
func New(set Settings) *Module {
	m := &Module{set: set, all: map[string]*held{}}
	m.ages.place = func(h *held, i int) { h.place = i }
	return m
}

// Len is the number of entries, Bytes what they take.
func (m *Module) Len() int { return len(m.all) }

// Bytes is what the entries take, results included.
func (m *Module) Bytes() int64 { return m.bytes }

// Wants reports whether a request of this class and effect is remembered at all,
// and whether its run must wait for an intent. named tells that it has a key or
// an item.
func (m *Module) Wants(effect rules.Effect, named bool) (remember, intent bool) {
	switch effect {
	case rules.Keyed:
		return named, named
	case rules.Safe:
		remember = named && m.set.Fresh > 0
		return remember, remember && m.set.FailUnknown
	default:
		return m.set.Unsafe, m.set.Unsafe
	}
}

// Intend notes that a request is about to run. ok is false if there is no room
// for it: it would run unremembered. evicted lists whose entries leave for it,
// lost whose results do.
func (m *Module) Intend(now time.Duration, e Record) (ok bool, orders StoreChanges) {
	e.Kind, e.Size = Intent, 0
	key := e.Text()
	if was := m.all[key]; was != nil {
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
	was := m.all[key]
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
		e.Expires = m.Unix(now) + m.set.Fresh.Milliseconds()
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
	if was := m.all[key]; was != nil && was.Kind == Intent {
		m.remove(was)
		orders.Delete = append(orders.Delete, key)
	}
	return orders
}

// Orders are changes of the store that a decision brings with it.
type StoreChanges struct {
	Delete []string // entries that leave
	Strip  []Record // entries whose results leave: stored as given here
}

// makeRoom makes room for e within the bounds: reads leave first, soonest to
// expire first; then results of keyed requests, of which stays that they ran.
// Keyed entries themselves never leave in their window.
func (m *Module) makeRoom(now time.Duration, e *Record, orders *StoreChanges) bool {
	need := e.bytes()
	if m.set.Entries < 1 || need > m.set.Bytes {
		return false
	}
	m.drop(now, orders)
	for len(m.all) >= m.set.Entries || m.bytes+need > m.set.Bytes {
		if r := m.reads.first(); r != nil {
			m.remove(r)
			orders.Delete = append(orders.Delete, r.key)
			continue
		}
		p := m.pays.first()
		if p == nil || len(m.all) >= m.set.Entries {
			return false
		}
		was := p.Record
		m.remove(p)
		was.Kind, was.Size = ResultEvicted, 0
		m.add(p.key, was)
		orders.Strip = append(orders.Strip, was)
	}
	return true
}

// Expire drops what aged out, and returns the keys.
func (m *Module) Expire(now time.Duration) []string {
	var o StoreChanges
	m.drop(now, &o)
	return o.Delete
}

func (m *Module) drop(now time.Duration, orders *StoreChanges) {
	unix := m.Unix(now)
	for h := m.ages.first(); h != nil && h.Expires <= unix; h = m.ages.first() {
		m.remove(h)
		orders.Delete = append(orders.Delete, h.key)
	}
}

// Restore takes over an entry from an earlier life of the node, or says why
// not. What it returns is the entry as it holds now.
func (m *Module) Restore(now time.Duration, e Record) (Record, DropReason) {
	c, known := m.set.Classes[e.Class]
	unix := m.Unix(now)
	switch {
	case e.Expires <= unix:
		return e, Aged
	case e.Effect == rules.Unsafe:
		return e, Reported
	case !known:
		return e, ClassGone
	case len(m.set.Tenants) > 0 && !m.set.Tenants[e.Tenant]:
		return e, TenantGone
	case c.Effect != e.Effect || e.Effect == rules.Safe && m.set.Fresh <= 0:
		return e, Changed
	}
	switch e.Effect {
	case rules.Keyed: // its window is what the settings say now
		if w := c.Window.Milliseconds(); w != e.Window {
			e.Expires += w - e.Window
			e.Window = w
		}
	case rules.Safe:
		e.Expires = min(e.Expires, unix+m.set.Fresh.Milliseconds())
		if e.Kind == Intent && !m.set.FailUnknown {
			return e, Aged // it may simply run again
		}
	}
	if m.clock.doubtful { // nobody knows how long the node was away
		e.Expires = min(e.Expires, unix+m.set.Slack.Milliseconds())
	}
	if e.Expires <= unix {
		return e, Aged
	}
	if e.Expires > unix+m.longest(c)+windowSlack { // written by a clock that ran ahead
		e.Expires = unix + m.longest(c) + windowSlack
	}
	if m.all[e.Text()] != nil || len(m.all) >= m.set.Entries || m.bytes+e.bytes() > m.set.Bytes {
		if e.Effect == rules.Safe || len(m.all) >= m.set.Entries {
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
const windowSlack = 50

// longest is how long an entry of a class may live, in milliseconds.
func (m *Module) longest(c Class) int64 {
	if c.Effect == rules.Keyed {
		return c.Window.Milliseconds()
	}
	return m.set.Fresh.Milliseconds()
}

// Tuned values of waiting for a run of an earlier life.
const (
	waitRuns  = 8.0                    // usual runs after which its end is not awaited any more
	waitLeast = 500 * time.Millisecond // and at least so long
	waitShare = 0.5                    // of the deadline, where no usual run is known
)

// Awaits says how long repeats wait for the end of a run of an earlier life, from the
// moment that the worker pool is heard: it may have been cut off between its intent
// and its begin, and then nothing ever tells. usual is a usual run of its class, 0 =
// not known.
func InFlightTimeout(usual, deadline time.Duration) time.Duration {
	if usual <= 0 {
		return time.Duration(waitShare * float64(deadline))
	}
	return min(max(time.Duration(waitRuns*float64(usual)), waitLeast), deadline)
}

// Judge says what a repeat of a restored entry is told. poolSince is when the
// worker pool came up, in Unix milliseconds: a run that was asked for before
// that is over, whatever became of it; one asked for after may still go on.
func (m *Module) Judge(e Record, poolSince int64) RepeatAction {
	switch e.Kind {
	case Result:
		return AnswerEarlier
	case Intent:
		if e.Effect == rules.Safe && !m.set.FailUnknown {
			return RunAgain
		}
		if poolSince <= e.Asked {
			return WaitForRun
		}
	}
	return FailRepeat
}

func (m *Module) add(key string, e Record) {
	h := &held{Record: e, key: key, place: -1}
	m.all[key] = h
	m.bytes += e.bytes()
	heap.Push(&m.ages, h)
	switch {
	case e.Effect == rules.Safe:
		heap.Push(&m.reads, h)
	case e.Kind == Result:
		heap.Push(&m.pays, h)
	}
}

func (m *Module) remove(h *held) {
	delete(m.all, h.key)
	m.bytes -= h.Record.bytes()
	heap.Remove(&m.ages, h.place)
	h.place = -1 // the other two skip it when it comes up
	m.reads.trim(len(m.all))
	m.pays.trim(len(m.all))
}
