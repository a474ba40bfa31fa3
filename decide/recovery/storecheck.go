package recovery

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// Identity identifies a store and the incarnation of the node that uses it. It is stored durably
// before that incarnation answers a request.
type Identity struct {
	ID            string `cbor:"1,keyasint" json:"id"`    // random, created with the store
	Node          string `cbor:"2,keyasint" json:"-"`     // the node that owns the store
	Epoch         uint64 `cbor:"3,keyasint" json:"epoch"` // incarnations that used the store, this one included
	CompleteSince int64  `cbor:"4,keyasint" json:"-"`     // nothing later is missing, Unix milliseconds; 0 = nothing is
}

// PreviousStore is what a control service last received about the store of an earlier
// incarnation of a node.
type PreviousStore struct {
	ID         string `json:"id"`
	Epoch      uint64 `json:"epoch"`
	Checkpoint uint64 `json:"mark"` // last checkpoint that the store was known to hold
}

// Checkpoint is stored each second, so that a store that lost keys can be recognised.
type Checkpoint struct {
	N    uint64 `cbor:"1,keyasint"` // number of the checkpoint, counted over all incarnations
	Keys int    `cbor:"2,keyasint"` // in the store
}

// Integrity says whether a node's store holds all that earlier incarnations stored.
type Integrity uint8

// The values of Integrity.
const (
	Intact     Integrity = iota // no evidence of loss
	Unverified                  // no control service has said yet what earlier incarnations reported
	Incomplete                  // something that an earlier incarnation stored is missing
)

var integrityNames = [...]string{"whole", "unproven", "lost"}

// String returns the published name.
func (s Integrity) String() string { return integrityNames[s] }

// Parameters of StoreCheck.
const (
	previousStoreWait = 3 * time.Second // four reports; without an answer the store then counts as complete
	poolAgeMargin     = time.Second     // a worker pool older than the process by more served an earlier incarnation
	minKeyShare       = 0.9             // share of the keys counted by the last checkpoint that must be there
	maxMissingKeys    = 16              // may be missing beyond that: deleted since the last checkpoint

	maxFirstTries = 1 << 15 // first tries recorded; repeats of further ones are in doubt too
)

// FoundState is what a start found in the node's store.
type FoundState struct {
	Identity         Identity      // of this incarnation
	Created          bool          // the store was created by this incarnation
	Node             string        // the node that owned the store before, "" if it was created now
	Keys             int           // in the store
	Checkpoint       Checkpoint    // the last in the store
	UnreadablePlaces int           // damaged places in the files
	CompleteSince    time.Duration // as stored by an earlier incarnation; math.MinInt64 = nothing is missing
}

// StoreCheck decides whether one node's store is complete, and which requests are in doubt.
// All times are on the clock of the node's event loop.
type StoreCheck struct {
	found           FoundState
	processStart    time.Duration
	completeSince   time.Duration // nothing stored later is missing
	integrity       Integrity
	reason          string
	unverifiedUntil time.Duration // end of Unverified
	pendingAnswers  int           // control services that have not answered yet

	firstTries map[uint64]struct{} // keys whose first try reached this incarnation

	InDoubt int // number of requests that were in doubt
}

// NewStoreCheck evaluates what a start found. pendingAnswers is the number of control services
// that can be asked for earlier incarnations.
func NewStoreCheck(processStart time.Duration, found FoundState, pendingAnswers int) *StoreCheck {
	c := &StoreCheck{
		found: found, processStart: processStart, completeSince: found.CompleteSince, pendingAnswers: pendingAnswers,
	}
	switch {
	case found.Node != "" && found.Node != found.Identity.Node:
		c.markIncomplete("the results directory belongs to node " + found.Node)
	case found.UnreadablePlaces > 0:
		c.markIncomplete(fmt.Sprintf("%d places in its files are unreadable", found.UnreadablePlaces))
	case float64(found.Keys) < minKeyShare*float64(found.Checkpoint.Keys)-maxMissingKeys:
		c.markIncomplete(fmt.Sprintf("it has %d keys, the previous incarnation counted %d",
			found.Keys, found.Checkpoint.Keys))
	case pendingAnswers > 0: // it may be new, or an older copy
		c.integrity, c.unverifiedUntil = Unverified, processStart+previousStoreWait
		c.reason = "no control service has confirmed the results directory yet"
		if found.Created {
			c.reason = "the results directory was empty"
		}
	}
	return c
}

func (c *StoreCheck) markIncomplete(reason string) {
	c.integrity, c.reason, c.completeSince = Incomplete, reason, c.processStart
}

// CompleteSince returns the time after which nothing is missing. It must be stored, so that an
// incarnation that follows soon holds the same requests in doubt. When it changes, the store
// needs a new ID: its checkpoints continue those of a copy, and are no longer those that the
// control services received.
func (c *StoreCheck) CompleteSince() time.Duration { return c.completeSince }

// ObservePrevious takes what one control service received from an earlier incarnation, nil if
// it knows of none. It returns a log line if that changed the integrity, else "".
func (c *StoreCheck) ObservePrevious(now time.Duration, previous *PreviousStore) string {
	c.pendingAnswers--
	if previous == nil {
		// As far as the control services know, this is the first incarnation.
		if c.integrity == Unverified && c.pendingAnswers <= 0 {
			c.integrity, c.reason = Intact, ""
			return "no earlier incarnation of this node is known: its store counts as complete"
		}
		return ""
	}
	if c.integrity == Incomplete {
		return ""
	}
	switch {
	case previous.ID != c.found.Identity.ID && c.found.Created:
		c.markIncomplete("the results directory was empty, but an earlier incarnation reported a store")
	case previous.ID != c.found.Identity.ID:
		c.markIncomplete("an earlier incarnation reported another store")
	case previous.Epoch >= c.found.Identity.Epoch:
		c.markIncomplete(fmt.Sprintf("incarnation %d was reported, and this is incarnation %d of the store: it is an older copy",
			previous.Epoch, c.found.Identity.Epoch))
	case previous.Checkpoint > c.found.Checkpoint.N:
		c.markIncomplete(fmt.Sprintf("checkpoint %d was reported, and the store has %d: it is an older copy",
			previous.Checkpoint, c.found.Checkpoint.N))
	default:
		c.integrity, c.reason = Intact, ""
		return ""
	}
	return c.Describe()
}

// WorkerPoolUp reports since when the worker pool is up. A pool that is older than the process
// served an earlier incarnation, so an empty store has lost something. It returns a log line if
// that changed the integrity, else "".
func (c *StoreCheck) WorkerPoolUp(since time.Duration) string {
	if c.found.Created && c.integrity != Incomplete && since+poolAgeMargin < c.processStart {
		c.markIncomplete("the results directory was empty, but the worker pool is older than the node process")
		return c.Describe()
	}
	return ""
}

// Describe returns the integrity and its reason as a log line.
func (c *StoreCheck) Describe() string {
	return fmt.Sprintf("memory %s: %s; repeats of keyed and unsafe work from before the start are in doubt",
		c.integrity, cmp.Or(c.reason, "-"))
}

// Integrity returns the integrity of the store now, and the reason if it is not Intact.
func (c *StoreCheck) Integrity(now time.Duration) (Integrity, string) {
	// Without an answer the store counts as complete; the operators' page says what cannot be known.
	if c.integrity == Unverified && now >= c.unverifiedUntil {
		c.integrity, c.reason = Intact, ""
	}
	return c.integrity, c.reason
}

// MayHaveRun reports whether a request without a record may have run in an earlier
// incarnation, and counts it in InDoubt: its class is keyed or unsafe, it is a further try or reached the machine before
// the start, and a first try from before the start could still be repeated. window is how long
// after the first try a repeat may come; key links the tries of a request, 0 = nothing does;
// age is the time since the request reached the machine.
func (c *StoreCheck) MayHaveRun(
	now time.Duration, effect rules.Effect, window time.Duration, key uint64, furtherTry bool, age time.Duration,
) bool {
	if effect == rules.Safe {
		return false
	}
	since := c.completeSince
	if integrity, _ := c.Integrity(now); integrity == Unverified {
		since = c.processStart
	}
	arrived := now - age
	switch {
	case since == math.MinInt64 || arrived-window >= since:
		return false
	case !furtherTry && arrived >= since:
		if key != 0 && len(c.firstTries) < maxFirstTries {
			if c.firstTries == nil {
				c.firstTries = map[uint64]struct{}{}
			}
			c.firstTries[key] = struct{}{}
		}
		return false
	case furtherTry && key != 0:
		if _, known := c.firstTries[key]; known { // its first try reached this incarnation
			return false
		}
	}
	c.InDoubt++
	return true
}
