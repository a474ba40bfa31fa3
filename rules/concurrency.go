package rules

import (
	"slices"
	"time"
)

const (
	stepEvery    = 100 * time.Millisecond // the limit's steps: several completions apart
	limitGrow    = 1.03                   // growth a step while cores idle with work held
	limitGrowFar = 1.25                   // the same while half the cores want no run: a start is far below
	limitAdd     = 0.08                   // least growth a step: a small limit gets on too
	limitShrink  = 0.95                   // shrink a step while runs take too long
	slowRatio    = 1.3                    // run latency over base that counts as crowded
	idleWanted   = 2.0                    // what wants a core, for each, from which that share is not believed
	idleBelow    = 0.95                   // share of busy cores under which they count as idle
	crowdMargin  = 0.85                   // of the crowd known to be survived: room for returns from calls
)

// crowd is how many requests may be in hand, so that even if all come back from calls at once the
// cores stay under the crowd known to be survived. A cold node's speed counts at its slowest ramp.
func (m *Module) crowd() float64 {
	speed := 1.0
	if m.set.ColdStart && m.set.WarmUpTime > 0 {
		done := min(1, float64(m.now-m.born)/float64(m.set.WarmUpTime))
		speed = m.set.ColdSpeed + (1-m.set.ColdSpeed)*done
	}
	return max(1, crowdMargin*float64(m.set.Cores)*(1+(max(m.set.OverloadRunsPerCore, 1)-1)*speed))
}

// slots is how many requests may run: with pools, those that stand still in a class of which
// nothing ends do not count, within the crowd that is survived.
func (m *Module) slots() int {
	if m.pools != nil {
		return int(min(m.limit+float64(m.pools.StalledRuns()), m.crowd()))
	}
	return int(min(m.limit, m.crowd()))
}

// core notes n more requests of r's class on the cores.
func (m *Module) core(r *request, n int) {
	m.onCores += n
	if m.pools != nil {
		m.pools.RunningChanged(m.now, r.Class, n)
	}
}

// Load tells how many runs are on the cores, the running limit and the pressure.
func (m *Module) Load() (running int, limit, pressure float64) {
	return m.onCores, min(m.limit, m.crowd()), m.pressure
}

// start gives free slots to held requests.
func (m *Module) start() {
	crowd := m.crowd()
	slots := m.slots()
	m.kept = false
	for len(m.line) > 0 && m.onCores < slots && m.onCores+m.inCalls < int(crowd) && !m.stalled {
		i := m.next(slots)
		if m.kept = i < 0; m.kept {
			return
		}
		r := m.line[i]
		if m.tooOld(r) {
			m.turnAway(r, m.forlorn(r) || m.now > r.old && m.endsWalk(r, true))
			continue
		}
		grown := r.MemoryKB * (m.set.RunningMemoryFactor - 1)
		if m.memory+grown+m.keyMemory() > memoryMargin*m.set.MemoryKB {
			return
		}
		m.line = slices.Delete(m.line, i, i+1)
		m.memory += max(grown, 0)
		r.state, r.ran, r.started = running, true, m.now
		m.core(r, 1)
		if e := m.entries[r.ID]; e != nil {
			e.ran = true
		}
		m.host.Run(r.ID)
	}
}

// step moves the running limit and the drain rate.
func (m *Module) step(dt time.Duration) {
	share := min(m.stood/max(dt.Seconds(), m.set.BatchInterval.Seconds()), 1)
	m.rateTime += m.stood - rateAlpha*share*m.rateTime
	m.rateCount += m.drained - rateAlpha*share*m.rateCount
	ratio, _ := m.ratio()
	switch {
	case share > 0 && m.runnable >= 0 && m.runnable < float64(m.set.Cores)/2:
		m.limit += share * m.limit * (limitGrowFar - 1)
	case share > 0 && m.coresIdle(ratio):
		m.limit += share * max(limitAdd, m.limit*(limitGrow-1))
	case ratio > slowRatio && !m.coresIdle(ratio): // waits, not crowding, make runs long on idle cores
		m.limit *= limitShrink
	}
	m.limit = max(min(m.limit, m.crowd()), float64(m.set.Cores))
	m.stepCalls()
	var lines []string
	if m.together != nil {
		lines = m.together.Step(m.now, m.drainRate(), share)
	}
	m.drained, m.stood = 0, 0
	if m.pools != nil {
		lines = append(lines, m.pools.Step(m.now, min(m.limit, m.crowd()))...)
	}
	for _, line := range lines {
		m.host.Log(line)
	}
}

func (m *Module) coresIdle(ratio float64) bool {
	if m.cpuBusy < 0 && m.runnable < 0 {
		return ratio < (1+slowRatio)/2
	}
	wanted := m.runnable / float64(m.set.Cores) // as of now, while the busy share lags by a second or so
	return m.runnable >= 0 && wanted < 1 || m.cpuBusy >= 0 && m.cpuBusy < idleBelow && wanted < idleWanted
}
