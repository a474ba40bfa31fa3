package rules

import (
	"maps"
	"time"
)

// recordMemoryShare is the share of the memory that idempotency records and shared results may take.
const recordMemoryShare = 0.45

// idempotencyRecord stands for a result that the host keeps for repeats; it outlives its request.
type idempotencyRecord struct {
	expiresAt  time.Duration
	mayHaveRun bool
	released   bool // the request never ran and the host has discarded its result
}

// linkRecord joins a request to the earlier one that it repeats, or keeps a record of it. It reports
// whether the request is to be queued; otherwise it was answered or waits for the earlier one's result.
func (m *Module) linkRecord(r *request) bool {
	c := m.class(r)
	shared := c.Effect == Safe && m.settings.ReadFreshness > 0 && r.Key != 0 && !r.Write
	if c.Effect != Keyed && !shared {
		return true
	}
	if r.RepeatOf != 0 {
		rec := m.records[r.RepeatOf]
		// An unknown request may have run: never risk a second effect.
		if rec == nil || rec.mayHaveRun || !rec.released {
			r.state = joined
			m.host.JoinEarlier(r.ID)
			return false
		}
	}
	span := m.settings.ReadFreshness
	if c.Effect == Keyed {
		span = c.IdempotencyWindow + 2*m.settings.BatchInterval
		// Without a record it must not run: a repeat would run again.
		if m.recordMemoryKB()+m.settings.RecordKB > recordMemoryShare*m.settings.MemoryKB {
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

// RestoreRecord adds a record kept by a previous incarnation of the node for another span. Its request
// may have run.
func (m *Module) RestoreRecord(now time.Duration, id RequestID, span time.Duration) {
	m.now = now
	m.records[id] = &idempotencyRecord{expiresAt: now + span, mayHaveRun: true}
}

func (m *Module) recordMemoryKB() float64 {
	return float64(len(m.records)-m.releasedRecords) * m.settings.RecordKB
}

// releaseRecord releases the key of a request that will never run, so that a repeat may.
func (m *Module) releaseRecord(r *request) {
	if rec := m.records[r.ID]; rec != nil && !rec.mayHaveRun && !rec.released {
		rec.released = true
		// Bounded like records with results. A repeat of a record deleted here counts as having run.
		if float64(m.releasedRecords)*m.settings.RecordKB < recordMemoryShare*m.settings.MemoryKB {
			m.releasedRecords++
		} else {
			delete(m.records, r.ID)
		}
		m.host.ForgetRecord(r.ID)
	}
}

func (m *Module) expireRecords() {
	maps.DeleteFunc(m.records, func(_ RequestID, rec *idempotencyRecord) bool {
		if rec.expiresAt < m.now && rec.released {
			m.releasedRecords--
		}
		return rec.expiresAt < m.now
	})
}
