// This file owns what is believed of a node's own stored state: whether what it
// remembers is all that it knew, and which requests are in doubt while it is not.

package recovery

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// Identity names a store and the life that uses it. It is stored durably before the
// life answers anything.
type Identity struct {
	ID            string `cbor:"1,keyasint" json:"id"`    // random, made with the store
	Node          string `cbor:"2,keyasint" json:"-"`     // whose it is
	Epoch         uint64 `cbor:"3,keyasint" json:"epoch"` // lives begun on it, this one counted
	CompleteSince int64  `cbor:"4,keyasint" json:"-"`     // Unix ms from which on nothing is missing, 0 = from its begin
}

// Heard is what somebody else last heard of this name from an earlier life.
type PreviousStore struct {
	ID         string `json:"id"`
	Epoch      uint64 `json:"epoch"`
	Checkpoint uint64 `json:"mark"` // the last that the store was known to hold
}

// Mark is stored each second: how many there were, and how many keys the store held.
type Checkpoint struct {
	N    uint64 `cbor:"1,keyasint"`
	Keys int    `cbor:"2,keyasint"`
}

// Memory is how a node's memory stands.
type Integrity uint8

// The ways a memory may stand.
const (
	Intact     Integrity = iota // nothing speaks against it
	Unverified                  // the store is new, and nobody has said yet whether there was an earlier one
	Incomplete                  // something that an earlier life knew is not there
)

var integrityNames = [...]string{"whole", "unproven", "lost"}

func (s Integrity) String() string { return integrityNames[s] }

// Tuned values of doubt.
const (
	previousStoreWait = 3 * time.Second // for a word on an earlier life: four reports; after it a new store counts as the first
	poolAgeMargin     = time.Second     // a worker pool up for longer than the process by this has seen an earlier life
	minKeyShare       = 0.9             // of the keys that the last mark counted must be there
	maxMissingKeys    = 16              // or so many fewer: what the last second deleted

	maxFirstTries = 1 << 15 // keys whose first try is remembered: beyond, their repeats are in doubt too
)

// Found is what a start found in the node's folder.
type FoundState struct {
	Identity         Identity      // of this life
	Created          bool          // the store was made by this life
	Node             string        // whose it was before, "" where it was made
	Keys             int           // in the store
	Checkpoint       Checkpoint    // the last one in the store
	UnreadablePlaces int           // places of the files that can't be read
	CompleteSince    time.Duration // from which on nothing is missing, by an earlier life; math.MinInt64 = from its begin
}

// Doubt decides on one node's stored state. Times count from the start of the
// process, on the loop's clock; New takes that start. It belongs to one goroutine.
type StoreCheck struct {
	found           FoundState
	processStart    time.Duration
	completeSince   time.Duration // nothing is missing from then on
	integrity       Integrity
	reason          string
	unverifiedUntil time.Duration // Unproven: for so long
	pendingAnswers  int           // who have not answered yet

	firstTries map[uint64]struct{} // keys whose first try came to this life, while there is doubt

	InDoubt int // requests that were in doubt
}

// NewDoubt judges what a start found; asked is how many can be asked for earlier lives.
func NewStoreCheck(start time.Duration, f FoundState, asked int) *StoreCheck {
	d := &StoreCheck{found: f, processStart: start, completeSince: f.CompleteSince, pendingAnswers: asked}
	switch {
	case f.Node != "" && f.Node != f.Identity.Node:
		d.markIncomplete("the folder is that of " + f.Node)
	case f.UnreadablePlaces > 0:
		d.markIncomplete(fmt.Sprintf("%d places of its files can't be read", f.UnreadablePlaces))
	case float64(f.Keys) < minKeyShare*float64(f.Checkpoint.Keys)-maxMissingKeys:
		d.markIncomplete(fmt.Sprintf("it has %d keys, the last life counted %d", f.Keys, f.Checkpoint.Keys))
	case f.Created && asked > 0:
		d.integrity, d.unverifiedUntil, d.reason = Unverified, start+previousStoreWait, "the folder was empty"
	}
	return d
}

func (d *StoreCheck) markIncomplete(why string) {
	d.integrity, d.reason, d.completeSince = Incomplete, why, d.processStart
}

// Since is the time from which on nothing is missing: to be stored, so that a life
// that comes soon doubts the same. When it changes the store is to have a new ID: its
// marks go on from a copy's, and are no longer those that were heard.
func (d *StoreCheck) CompleteSince() time.Duration { return d.completeSince }

// Heard takes what was last heard of this name from an earlier life, nil where the
// one asked knows of none. It returns a line where that changed what is believed.
func (d *StoreCheck) ObservePrevious(now time.Duration, h *PreviousStore) string {
	d.pendingAnswers--
	if h == nil {
		if d.integrity == Unverified && d.pendingAnswers <= 0 { // who was asked knows of no earlier life: as far as is known this is the first
			d.integrity, d.reason = Intact, ""
			return "no earlier life of this node is known: its empty memory is whole"
		}
		return ""
	}
	if d.integrity == Incomplete {
		return ""
	}
	switch {
	case h.ID != d.found.Identity.ID && d.found.Created:
		d.markIncomplete("the folder was empty, and an earlier life was heard")
	case h.ID != d.found.Identity.ID:
		d.markIncomplete("an earlier life was heard with another store")
	case h.Epoch >= d.found.Identity.Epoch:
		d.markIncomplete(fmt.Sprintf("life %d was heard, and this is life %d of the store: it is an older copy", h.Epoch, d.found.Identity.Epoch))
	case h.Checkpoint > d.found.Checkpoint.N:
		d.markIncomplete(fmt.Sprintf("mark %d was heard, and the store has %d: it is an older copy", h.Checkpoint, d.found.Checkpoint.N))
	default:
		d.integrity, d.reason = Intact, ""
		return ""
	}
	return d.Describe()
}

// Pool takes since when the worker pool is up. One that saw an earlier life of the
// node says that there was one.
func (d *StoreCheck) WorkerPoolUp(up time.Duration) string {
	if d.found.Created && d.integrity != Incomplete && up+poolAgeMargin < d.processStart {
		d.markIncomplete("the folder was empty, and the worker pool is older than the node")
		return d.Describe()
	}
	return ""
}

// Line says how the memory stands, for people.
func (d *StoreCheck) Describe() string {
	return fmt.Sprintf("memory %s: %s; repeats of keyed and unsafe work from before the start are in doubt", d.integrity, cmp.Or(d.reason, "-"))
}

// State tells how the memory stands now, and why.
func (d *StoreCheck) Integrity(now time.Duration) (Integrity, string) {
	if d.integrity == Unverified && now >= d.unverifiedUntil { // nobody said a word: what can't be known is on the operators' page
		d.integrity, d.reason = Intact, ""
	}
	return d.integrity, d.reason
}

// Asks reports whether a request of which nothing is remembered may have run in an
// earlier life: it is a further try, or came to the machine before the start, its
// effect matters, and a first try from before the start could still be repeated.
// window is how long after the first try a repeat may come; key links tries, 0 = none
// does; age counts since the request reached the machine.
func (d *StoreCheck) MayHaveRun(now time.Duration, effect rules.Effect, window time.Duration, key uint64, again bool, age time.Duration) bool {
	if effect == rules.Safe {
		return false
	}
	since := d.completeSince
	if s, _ := d.Integrity(now); s == Unverified {
		since = d.processStart
	}
	asked := now - age
	switch {
	case since == math.MinInt64 || asked-window >= since:
		return false
	case !again && asked >= since:
		if key != 0 && len(d.firstTries) < maxFirstTries {
			if d.firstTries == nil {
				d.firstTries = map[uint64]struct{}{}
			}
			d.firstTries[key] = struct{}{}
		}
		return false
	case again && key != 0:
		if _, here := d.firstTries[key]; here { // its first try came to this life
			return false
		}
	}
	d.InDoubt++
	return true
}
