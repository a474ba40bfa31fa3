package rules

import "time"

const keyMemory = 0.45 // of the memory that kept keys may take

// entry is a kept key; it outlives its request.
type entry struct {
	expires    time.Duration
	ran, freed bool
}

// remember links a request to what it repeats. It reports whether the request
// joins the line; otherwise it was answered or waits for the other's result.
func (m *Module) remember(r *request) bool {
	c := m.class(r)
	shared := c.Effect == Safe && m.set.ReadFreshness > 0 && r.Key != 0 && !r.Write
	if c.Effect != Keyed && !shared {
		return true
	}
	if r.RepeatOf != 0 {
		e := m.entries[r.RepeatOf]
		if e == nil || e.ran || !e.freed { // unknown counts as run: never risk a second effect
			r.state = reusing
			m.host.JoinEarlier(r.ID)
			return false
		}
	}
	span := m.set.ReadFreshness
	if c.Effect == Keyed {
		span = c.IdempotencyWindow + 2*m.set.BatchInterval
		if m.keyMemory()+m.set.RecordKB > keyMemory*m.set.MemoryKB { // it must not run unremembered
			m.turnAway(r, false)
			return false
		}
	} else if m.keyMemory() > keyMemory*m.set.MemoryKB/2 {
		return true
	}
	m.entries[r.ID] = &entry{expires: m.now + span}
	m.host.KeepRecord(r.ID, span)
	return true
}

// Restored tells of an entry kept by an earlier life of the node. Its run may have happened.
func (m *Module) RestoreRecord(now time.Duration, id RequestID, span time.Duration) {
	m.now = now
	m.entries[id] = &entry{expires: now + span, ran: true}
}

func (m *Module) keyMemory() float64 { return float64(len(m.entries)-m.freed) * m.set.RecordKB }

// release frees the key of a request that will never run.
func (m *Module) release(r *request) {
	if e := m.entries[r.ID]; e != nil && !e.ran && !e.freed {
		if e.freed = true; float64(m.freed)*m.set.RecordKB < keyMemory*m.set.MemoryKB {
			m.freed++
		} else { // as many as could be kept: one that is unknown counts as run
			delete(m.entries, r.ID)
		}
		m.host.ForgetRecord(r.ID)
	}
}
