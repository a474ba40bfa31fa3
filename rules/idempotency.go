package rules

import (
	"maps"
	"time"
)

const recordMemoryShare = 0.45 // of the memory that kept keys may take

// entry is a kept key; it outlives its request.
type idempotencyRecord struct {
	expiresAt            time.Duration
	mayHaveRun, released bool
}

// remember links a request to what it repeats. It reports whether the request
// joins the line; otherwise it was answered or waits for the other's result.
func (m *Module) linkRecord(r *request) bool {
	c := m.class(r)
	shared := c.Effect == Safe && m.settings.ReadFreshness > 0 && r.Key != 0 && !r.Write
	if c.Effect != Keyed && !shared {
		return true
	}
	if r.RepeatOf != 0 {
		e := m.records[r.RepeatOf]
		if e == nil || e.mayHaveRun || !e.released { // unknown counts as run: never risk a second effect
			r.state = joined
			m.host.JoinEarlier(r.ID)
			return false
		}
	}
	span := m.settings.ReadFreshness
	if c.Effect == Keyed {
		span = c.IdempotencyWindow + 2*m.settings.BatchInterval
		if m.recordMemoryKB()+m.settings.RecordKB > recordMemoryShare*m.settings.MemoryKB { // it must not run unremembered
			m.refuse(r, false)
			return false
		}
	} else if m.recordMemoryKB() > recordMemoryShare*m.settings.MemoryKB/2 {
		return true
	}
	m.records[r.ID] = &idempotencyRecord{expiresAt: m.now + span}
	m.host.KeepRecord(r.ID, span)
	return true
}

// Restored tells of an entry kept by an earlier life of the node. Its run may have happened.
func (m *Module) RestoreRecord(now time.Duration, id RequestID, span time.Duration) {
	m.now = now
	m.records[id] = &idempotencyRecord{expiresAt: now + span, mayHaveRun: true}
}

func (m *Module) recordMemoryKB() float64 {
	return float64(len(m.records)-m.releasedRecords) * m.settings.RecordKB
}

// release frees the key of a request that will never run.
func (m *Module) releaseRecord(r *request) {
	if e := m.records[r.ID]; e != nil && !e.mayHaveRun && !e.released {
		if e.released = true; float64(m.releasedRecords)*m.settings.RecordKB < recordMemoryShare*m.settings.MemoryKB {
			m.releasedRecords++
		} else { // as many as could be kept: one that is unknown counts as run
			delete(m.records, r.ID)
		}
		m.host.ForgetRecord(r.ID)
	}
}

func (m *Module) expireRecords() {
	maps.DeleteFunc(m.records, func(_ RequestID, e *idempotencyRecord) bool {
		if e.expiresAt < m.now && e.released {
			m.releasedRecords--
		}
		return e.expiresAt < m.now
	})
}
