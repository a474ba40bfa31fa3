package resultcache

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	decide "robinmast/decide/resultcache"
	"robinmast/internal/store"
	"robinmast/rules"
)

// storedRecord is the stored form of a decide.Record: CBOR (RFC 8949) with numbered fields, so that
// later versions can add fields.
type storedRecord struct {
	Kind    decide.Kind  `cbor:"1,keyasint"`
	Effect  rules.Effect `cbor:"2,keyasint"`
	Class   string       `cbor:"3,keyasint"`
	Tenant  string       `cbor:"4,keyasint"`
	Name    string       `cbor:"5,keyasint"`
	Run     string       `cbor:"6,keyasint"`
	Started int64        `cbor:"7,keyasint"`
	Window  int64        `cbor:"8,keyasint"`
	Expires int64        `cbor:"9,keyasint"`
	Size    int64        `cbor:"10,keyasint"`

	BodyHash uint64 `cbor:"11,keyasint,omitempty"` // 0 in records of versions that did not store it
}

// RestoredRecord is a record of an earlier incarnation.
type RestoredRecord struct {
	Record  decide.Record
	Class   int           // index in the settings
	Key     string        // RequestKey.Text of the record
	Expires time.Duration // on the loop's clock
}

// Restore restores the records of earlier incarnations; now is the loop's time. It must be called once,
// before any other method. The error is that of reading the store.
func (c *Cache) Restore(now time.Duration) ([]RestoredRecord, error) {
	began := time.Now()
	var previous *decide.ClockCheckpoint
	text, err := c.store.Get(clockKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		c.log.Warn("clock checkpoint is unreadable: using the wall clock", "err", err)
	default:
		previous = &decide.ClockCheckpoint{}
		if err := cbor.Unmarshal(text, previous); err != nil {
			c.log.Warn("clock checkpoint is unreadable: using the wall clock", "err", err)
			previous = nil
		}
	}
	clockStep, downtime := c.module.StartClock(now, c.cfg.Clocks(), previous)
	c.clockBase.Store(c.module.Unix(now) - c.cfg.Elapsed().Milliseconds())
	if clockStep == decide.WallBackTooFar {
		c.log.Warn("wall clock went back across the restart: restored results expire after the slack",
			"slack", c.cfg.Results.ClockSlack)
	}
	var restored []RestoredRecord
	dropped := map[decide.DropReason]int{}
	unreadable, possiblyOutdated := 0, 0
	var runs []string
	var batch store.Batch
	err = c.store.Scan(recordPrefix, func(key string, err error) {
		unreadable++
	}, func(entry store.Entry) error {
		key := entry.Key[len(recordPrefix):]
		var stored storedRecord
		if err := cbor.Unmarshal(entry.Value, &stored); err != nil ||
			(decide.RequestKey{Class: stored.Class, Tenant: stored.Tenant, Name: stored.Name}).Text() != key {
			unreadable++
			return nil
		}
		var record decide.Record
		reason := decide.PossiblyOutdated
		if entry.InDoubt {
			possiblyOutdated++
		}
		if !entry.InDoubt || stored.Effect != rules.Safe { // an older intent or result of keyed work still holds
			record, reason = c.module.Restore(now, stored.record())
		}
		dropped[reason]++
		if reason != decide.Restored {
			if reason == decide.UnsafeReported && len(runs) < maxNamedRuns {
				runs = append(runs, stored.Run)
			}
			batch.Delete(entry.Key)
			batch.Delete(resultPrefix + key)
			return nil
		}
		restored = append(restored, RestoredRecord{
			Record: record, Class: slices.Index(c.cfg.Names.Classes, record.Class), Key: key,
			Expires: now + time.Duration(record.Expires-c.module.Unix(now))*time.Millisecond,
		})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("results: restore: %w", err)
	}
	if batch.Len() > 0 {
		if err := c.store.Apply(&batch, store.Buffered); err != nil {
			c.logFailure(err) // the next start will discard them again
		}
	}
	c.Counters.Restored.Store(int64(len(restored)))
	c.Counters.Expired.Add(int64(dropped[decide.Expired]))
	args := []any{
		"kept", len(restored), "bytes", c.module.Bytes(), "clock", clockStep.String(), "away", downtime,
		"recovery", c.recovery.Took, "restore", time.Since(began),
		"checkpoint", c.recovery.Checkpoint, "read_bytes", c.recovery.Read,
	}
	for reason := decide.Expired; reason <= decide.PossiblyOutdated; reason++ {
		if dropped[reason] > 0 {
			args = append(args, "dropped_"+reason.String(), dropped[reason])
		}
	}
	c.log.Info("remembered results", args...)
	c.logStoreFaults()
	if possiblyOutdated > 0 {
		c.log.Warn("newer records of some results may be lost: reads are discarded, keyed ones restored",
			"entries", possiblyOutdated)
	}
	if unreadable > 0 {
		c.log.Error("stored results are unreadable", "entries", unreadable)
	}
	if len(runs) > 0 {
		c.log.Warn("unsafe work that may have run before the restart", "count", dropped[decide.UnsafeReported],
			"runs", runs)
	}
	c.putClockCheckpoint(now)
	return restored, nil
}

// logStoreFaults logs the faults that opening the store found.
func (c *Cache) logStoreFaults() {
	for _, fault := range c.recovery.Torn {
		c.log.Info("store: truncated an incomplete write that was never acknowledged",
			"file", fault.File, "offset", fault.Offset, "bytes", fault.Size)
	}
	for _, fault := range c.recovery.Damaged {
		c.log.Error("store: damage; all other records are served, the file is set aside",
			"file", fault.File, "offset", fault.Offset, "bytes", fault.Size, "reason", fault.Reason)
	}
}

// record converts the stored form back.
func (s storedRecord) record() decide.Record {
	return decide.Record{
		RequestKey: decide.RequestKey{Class: s.Class, Tenant: s.Tenant, Name: s.Name},
		Kind:       s.Kind, Effect: s.Effect, Run: s.Run,
		Started: s.Started, Window: s.Window, Expires: s.Expires, Size: s.Size,
		BodyHash: s.BodyHash,
	}
}
