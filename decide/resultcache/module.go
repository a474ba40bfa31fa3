// Package resultcache decides which runs are recorded across restarts of the node: which requests
// need a stored intent before their run and a stored result after it, how a repeat of a recorded
// request is answered after a restart, when records expire, which are evicted first when a bound is
// reached, and what a change of the settings or a step of the wall clock means for them. It holds
// the records, not the results themselves.
//
// The package does no I/O, reads no clock and writes no log; times are passed in. A Module belongs
// to one goroutine.
//
// Invariants, checked by TestInvariants: the records never exceed the bounds; no keyed record is
// evicted before its window is over, at worst its result is; a record never outlives its window by
// more than Settings.ClockSlack, and never comes back once it expired.
package resultcache

import (
	"container/heap"
	"strings"
	"time"

	"robinmast/rules"
)

// Class holds the settings of a request class.
type Class struct {
	Effect rules.Effect
	Window time.Duration // Keyed: how long after reaching the machine a repeat may come
}

// Settings are the settings of a Module. With a bound of 0 nothing is recorded.
type Settings struct {
	Classes          map[string]Class
	Tenants          map[string]bool // the known tenants, empty = no tenants are used
	ReadFreshness    time.Duration   // how long the result of a read may be reused, 0 = never
	MaxBytes         int64           // bound on the bytes of keys and results
	MaxRecords       int
	ClockSlack       time.Duration // how far the wall clock may be wrong across a restart
	FailUnknownReads bool          // repeats of reads that a crash interrupted fail instead of running again
	RecordUnsafe     bool          // store intents for unsafe work, which may run at most once
}

// Kind is what a record says about a run.
type Kind uint8

// The kinds of records. They are stored: never renumber them.
const (
	Intent        Kind = 1 // it may have run; its end is unknown
	Result        Kind = 2 // it ran, and its result is stored
	Failed        Kind = 3 // it ran and failed
	ResultEvicted Kind = 4 // it ran, and its result was evicted
)

// RequestKey identifies all tries of a request. Results are never shared between tenants or
// classes.
type RequestKey struct {
	Class, Tenant string
	Name          string // the idempotency key of a keyed request, the item of a read, the run of an unsafe one
}

// Text returns the key as one text, which is different for different keys.
func (k RequestKey) Text() string {
	return keyEscaper.Replace(k.Class) + "/" + keyEscaper.Replace(k.Tenant) + "/" + k.Name
}

var keyEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Record is what is known about a run. Times are Unix milliseconds by Module.Unix.
type Record struct {
	RequestKey
	Kind    Kind
	Effect  rules.Effect // the effect that the class had then
	Run     string       // name of the run at the worker pool, new with every try of a request
	Started int64        // when the node started the run
	Window  int64        // Keyed: the window that the class had then, milliseconds
	Expires int64
	Size    int64 // of the result, bytes

	BodyHash uint64 // Keyed: of the request's body, 0 = not known
}

// newerThan reports whether r is the record of another run under the key of run, and of a later one. Two runs of a
// keyed request have records under one key only if the later one arrived after the window of the earlier one, which may
// still be in progress, or not be started, by then. For reads the run that started last counts.
func (r *Record) newerThan(run *Record) bool {
	switch {
	case r.Run == run.Run:
		return false
	case r.Effect == rules.Keyed:
		return r.Expires > run.Expires
	default:
		return r.Started > run.Started
	}
}

// recordOverhead is what a record takes besides its names and its result, in bytes.
const recordOverhead = 128

// bytes returns what the record and its result take.
func (r *Record) bytes() int64 {
	return recordOverhead + r.Size + int64(len(r.Class)+len(r.Tenant)+len(r.Name)+len(r.Run))
}

// RepeatAction is how a repeat of a recorded request is handled after a restart.
type RepeatAction uint8

// The values of RepeatAction.
const (
	RunAgain      RepeatAction = iota // it may run
	WaitForRun                        // the earlier run may still be in progress: wait for its end
	AnswerEarlier                     // answer with the stored result
	FailRepeat                        // it ran, or may have run, and there is no result
)

// DropReason is why a record was not restored at a start.
type DropReason uint8

// The reasons. Restored means that the record was not dropped.
const (
	Restored         DropReason = iota
	Expired                     // its lifetime is over
	ClassRemoved                // its class is no longer in the settings
	TenantRemoved               // its tenant is no longer in the settings
	EffectChanged               // its class has another effect now, so the record no longer applies
	NoRoom                      // it does not fit into the bounds
	UnsafeReported              // unsafe work that may have run: reported once, as nothing can repeat it
	PossiblyOutdated            // of a read, and a newer record may be lost
	numDropReasons
)

var dropReasonNames = [numDropReasons]string{"kept", "aged", "class_gone", "tenant_gone", "effect_changed",
	"no_room", "unsafe_unknown", "outdated"}

// String returns the name of the reason in log lines.
func (d DropReason) String() string { return dropReasonNames[d] }

// indexedRecord is a record in a Module.
type indexedRecord struct {
	Record
	key      string
	position int // in Module.byExpiry, -1 = removed
}

// Module decides what is recorded.
type Module struct {
	settings        Settings
	clock           clock
	records         map[string]*indexedRecord
	bytes           int64
	byExpiry        expiryHeap // all records
	readsByExpiry   expiryHeap // records of reads
	resultsByExpiry expiryHeap // records of keyed requests with a result
}

// New returns a Module without records.
func New(settings Settings) *Module {
	m := &Module{settings: settings, records: map[string]*indexedRecord{}}
	m.byExpiry.setPosition = func(record *indexedRecord, position int) { record.position = position }
	return m
}

// Len returns the number of records.
func (m *Module) Len() int { return len(m.records) }

// Bytes returns what the records and their results take.
func (m *Module) Bytes() int64 { return m.bytes }

// ShouldRecord reports whether a request of this effect is recorded, and whether its run must wait
// for a stored intent. named says that the request has a key or an item.
func (m *Module) ShouldRecord(effect rules.Effect, named bool) (record, intent bool) {
	switch effect {
	case rules.Keyed:
		return named, named
	case rules.Safe:
		record = named && m.settings.ReadFreshness > 0
		return record, record && m.settings.FailUnknownReads
	default:
		return m.settings.RecordUnsafe, m.settings.RecordUnsafe
	}
}

// IntentDecision is what becomes of the intent of a request.
type IntentDecision uint8

// The values of IntentDecision.
const (
	StoreIntent      IntentDecision = iota // it must be stored before the run
	IntentSuperseded                       // a later request has the record of its key: it runs without one
	IntentNoRoom                           // the bounds leave no room: it would run without a record
)

// RecordIntent records that a request is about to run. changes holds what is evicted for it.
func (m *Module) RecordIntent(now time.Duration, record Record) (decision IntentDecision, changes StoreChanges) {
	record.Kind, record.Size = Intent, 0
	key := record.Text()
	previous := m.records[key]
	if previous != nil {
		if previous.newerThan(&record) {
			return IntentSuperseded, StoreChanges{Superseded: true}
		}
		m.remove(previous)
	}
	if !m.makeRoom(now, &record, &changes) {
		if previous != nil {
			changes.Delete = append(changes.Delete, key)
		}
		return IntentNoRoom, changes
	}
	m.add(key, record)
	return StoreIntent, changes
}

// RunEnded records how a run ended: with a result of size bytes, or failed. It returns the record,
// whether it must be stored, and the other changes to the store. If a later run has the record of the
// key, that record stays as it is.
func (m *Module) RunEnded(
	now time.Duration, record Record, succeeded bool, size int64,
) (Record, bool, StoreChanges) {
	var changes StoreChanges
	key := record.Text()
	previous := m.records[key]
	if previous != nil {
		if previous.newerThan(&record) {
			return record, false, StoreChanges{Superseded: true}
		}
		m.remove(previous)
	}
	record.Kind, record.Size = Failed, 0
	if succeeded {
		record.Kind, record.Size = Result, size
	}
	switch {
	case record.Effect == rules.Unsafe:
		if previous != nil {
			changes.Delete = append(changes.Delete, key)
		}
		return record, false, changes
	case record.Effect == rules.Safe && !succeeded: // it may run again, so a failure need not be recorded
		if previous != nil {
			changes.Delete = append(changes.Delete, key)
		}
		return record, false, changes
	case record.Effect == rules.Safe:
		record.Expires = m.Unix(now) + m.settings.ReadFreshness.Milliseconds()
	}
	if record.Expires <= m.Unix(now) { // the window ended during the run
		if previous != nil {
			changes.Delete = append(changes.Delete, key)
		}
		return record, false, changes
	}
	if !m.makeRoom(now, &record, &changes) {
		if record.Effect == rules.Safe {
			return record, false, changes
		}
		record.Kind, record.Size = ResultEvicted, 0 // record at least that it ran
		if !m.makeRoom(now, &record, &changes) {
			if previous == nil {
				return record, false, changes
			}
			// Its intent had room, and a record without a result takes no more.
		}
	}
	m.add(key, record)
	return record, true, changes
}

// Withdraw removes the intent of a run that never started. The record of another run under its key stays.
func (m *Module) Withdraw(request RequestKey, run string) (changes StoreChanges) {
	key := request.Text()
	if record := m.records[key]; record != nil && record.Kind == Intent && record.Run == run {
		m.remove(record)
		changes.Delete = append(changes.Delete, key)
	}
	return changes
}

// StoreChanges are the changes to the store that follow from a decision.
type StoreChanges struct {
	Delete      []string // keys of records to delete
	EvictResult []Record // records whose results are evicted, to be stored as given here
	Superseded  bool     // nothing changes, since a later run has the record of the key
}

// makeRoom evicts records and results until record fits within the bounds, and reports whether it does. It evicts records of reads first, the next
// to expire first; then results of keyed requests, whose records say from then on that they ran.
// Records of keyed requests are never evicted within their window.
func (m *Module) makeRoom(now time.Duration, record *Record, changes *StoreChanges) bool {
	need := record.bytes()
	if m.settings.MaxRecords < 1 || need > m.settings.MaxBytes {
		return false
	}
	m.removeExpired(now, changes)
	for len(m.records) >= m.settings.MaxRecords || m.bytes+need > m.settings.MaxBytes {
		if read := m.readsByExpiry.peek(); read != nil {
			m.remove(read)
			changes.Delete = append(changes.Delete, read.key)
			continue
		}
		withResult := m.resultsByExpiry.peek()
		if withResult == nil || len(m.records) >= m.settings.MaxRecords {
			return false
		}
		evicted := withResult.Record
		m.remove(withResult)
		evicted.Kind, evicted.Size = ResultEvicted, 0
		m.add(withResult.key, evicted)
		changes.EvictResult = append(changes.EvictResult, evicted)
	}
	return true
}

// Expire removes the expired records and returns their keys.
func (m *Module) Expire(now time.Duration) []string {
	var changes StoreChanges
	m.removeExpired(now, &changes)
	return changes.Delete
}

// removeExpired removes the expired records and adds their keys to changes.
func (m *Module) removeExpired(now time.Duration, changes *StoreChanges) {
	unix := m.Unix(now)
	for record := m.byExpiry.peek(); record != nil && record.Expires <= unix; record = m.byExpiry.peek() {
		m.remove(record)
		changes.Delete = append(changes.Delete, record.key)
	}
}

// Restore takes over a record of an earlier incarnation of the node, or returns the reason why not.
// It returns the record as it is valid now.
func (m *Module) Restore(now time.Duration, record Record) (Record, DropReason) {
	class, known := m.settings.Classes[record.Class]
	unix := m.Unix(now)
	switch {
	case record.Expires <= unix:
		return record, Expired
	case record.Effect == rules.Unsafe:
		return record, UnsafeReported
	case !known:
		return record, ClassRemoved
	case len(m.settings.Tenants) > 0 && !m.settings.Tenants[record.Tenant]:
		return record, TenantRemoved
	case class.Effect != record.Effect || record.Effect == rules.Safe && m.settings.ReadFreshness <= 0:
		return record, EffectChanged
	}
	switch record.Effect {
	case rules.Keyed: // the window is that of the present settings
		if w := class.Window.Milliseconds(); w != record.Window {
			record.Expires += w - record.Window
			record.Window = w
		}
	case rules.Safe:
		record.Expires = min(record.Expires, unix+m.settings.ReadFreshness.Milliseconds())
		if record.Kind == Intent && !m.settings.FailUnknownReads {
			return record, Expired // it may run again
		}
	}
	if m.clock.uncertain { // it is unknown for how long the node was away
		record.Expires = min(record.Expires, unix+m.settings.ClockSlack.Milliseconds())
	}
	if record.Expires <= unix {
		return record, Expired
	}
	if record.Expires > unix+m.maxLifetime(class)+windowSlackMillis { // written with a clock that was ahead
		record.Expires = unix + m.maxLifetime(class) + windowSlackMillis
	}
	if m.records[record.Text()] != nil || len(m.records) >= m.settings.MaxRecords ||
		m.bytes+record.bytes() > m.settings.MaxBytes {
		if record.Effect == rules.Safe || len(m.records) >= m.settings.MaxRecords {
			return record, NoRoom
		}
		if record.Kind == Result {
			record.Kind, record.Size = ResultEvicted, 0
		}
	}
	m.add(record.Text(), record)
	return record, Restored
}

// windowSlackMillis is how long a record may live beyond its window, in milliseconds, so that a
// repeat at its very end still finds it.
const windowSlackMillis = 50

// maxLifetime returns how long a record of a class may live, in milliseconds.
func (m *Module) maxLifetime(c Class) int64 {
	if c.Effect == rules.Keyed {
		return c.Window.Milliseconds()
	}
	return m.settings.ReadFreshness.Milliseconds()
}

// Parameters of InFlightTimeout.
const (
	maxWaitRuns       = 8.0                    // usual run times after which repeats stop waiting
	minWait           = 500 * time.Millisecond // lower bound of that time
	waitDeadlineShare = 0.5                    // of the deadline, if the usual run time is unknown
)

// InFlightTimeout returns how long repeats wait for the end of a run of an earlier incarnation, from
// the first message of the worker pool on: if the node crashed between the intent and the start of
// the run, its end is never reported. usual is the usual run time of the class, 0 = unknown.
func InFlightTimeout(usual, deadline time.Duration) time.Duration {
	if usual <= 0 {
		return time.Duration(waitDeadlineShare * float64(deadline))
	}
	return min(max(time.Duration(maxWaitRuns*float64(usual)), minWait), deadline)
}

// DecideRepeat decides how a repeat of a restored record is handled. poolSince is when the worker
// pool started, in Unix milliseconds: a run requested before that is over, one requested later may
// still be in progress.
func (m *Module) DecideRepeat(record Record, poolSince int64) RepeatAction {
	switch record.Kind {
	case Result:
		return AnswerEarlier
	case Intent:
		if record.Effect == rules.Safe && !m.settings.FailUnknownReads {
			return RunAgain
		}
		if poolSince <= record.Started {
			return WaitForRun
		}
	}
	return FailRepeat
}

// add adds a record under its key.
func (m *Module) add(key string, record Record) {
	indexed := &indexedRecord{Record: record, key: key, position: -1}
	m.records[key] = indexed
	m.bytes += record.bytes()
	heap.Push(&m.byExpiry, indexed)
	switch {
	case record.Effect == rules.Safe:
		heap.Push(&m.readsByExpiry, indexed)
	case record.Kind == Result:
		heap.Push(&m.resultsByExpiry, indexed)
	}
}

// remove removes a record.
func (m *Module) remove(record *indexedRecord) {
	delete(m.records, record.key)
	m.bytes -= record.Record.bytes()
	heap.Remove(&m.byExpiry, record.position)
	record.position = -1 // the other heaps skip it when it reaches their top
	m.readsByExpiry.compact(len(m.records))
	m.resultsByExpiry.compact(len(m.records))
}
