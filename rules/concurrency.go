package rules

import (
	"slices"
	"time"
)

const (
	limitInterval          = 100 * time.Millisecond // the limit's steps: several completions apart
	limitGrowth            = 1.03                   // growth a step while cores idle with work held
	limitGrowthFast        = 1.25                   // the same while half the cores want no run: a start is far below
	minLimitIncrease       = 0.08                   // least growth a step: a small limit gets on too
	limitDecrease          = 0.95                   // shrink a step while runs take too long
	contentionRatio        = 1.3                    // run latency over base that counts as crowded
	maxRunnablePerIdleCore = 2.0                    // what wants a core, for each, from which that share is not believed
	idleBusyShare          = 0.95                   // share of busy cores under which they count as idle
	concurrencyMargin      = 0.85                   // of the crowd known to be survived: room for returns from calls
)

// crowd is how many requests may be in hand, so that even if all come back from calls at once the
// cores stay under the crowd known to be survived. A cold node's speed counts at its slowest ramp.
func (m *Module) concurrencyCeiling() float64 {
	speed := 1.0
	if m.settings.ColdStart && m.settings.WarmUpTime > 0 {
		done := min(1, float64(m.now-m.startedAt)/float64(m.settings.WarmUpTime))
		speed = m.settings.ColdSpeed + (1-m.settings.ColdSpeed)*done
	}
	return max(1, concurrencyMargin*float64(m.settings.Cores)*(1+(max(m.settings.OverloadRunsPerCore, 1)-1)*speed))
}

// slots is how many requests may run: with pools, those that stand still in a class of which
// nothing ends do not count, within the crowd that is survived.
func (m *Module) slots() int {
	if m.pools != nil {
		return int(min(m.runLimit+float64(m.pools.StalledRuns()), m.concurrencyCeiling()))
	}
	return int(min(m.runLimit, m.concurrencyCeiling()))
}

// core notes n more requests of r's class on the cores.
func (m *Module) addRunning(r *request, n int) {
	m.runningCount += n
	if m.pools != nil {
		m.pools.RunningChanged(m.now, r.Class, n)
	}
}

// Load tells how many runs are on the cores, the running limit and the pressure.
func (m *Module) Load() (running int, limit, pressure float64) {
	return m.runningCount, min(m.runLimit, m.concurrencyCeiling()), m.pressure
}

// start gives free slots to held requests.
func (m *Module) startQueued() {
	crowd := m.concurrencyCeiling()
	slots := m.slots()
	m.slotsReserved = false
	for len(m.queue) > 0 && m.runningCount < slots && m.runningCount+m.inCallCount < int(crowd) && !m.stalled {
		i := m.nextQueued(slots)
		if m.slotsReserved = i < 0; m.slotsReserved {
			return
		}
		r := m.queue[i]
		if m.mustLeaveQueue(r) {
			m.refuse(r, m.cannotMeetTargetAnywhere(r) || m.now > r.queueTimeoutAt && m.stopsRetries(r, true))
			continue
		}
		grown := r.MemoryKB * (m.settings.RunningMemoryFactor - 1)
		if m.exceedsMemory(grown) {
			return
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		m.requestMemoryKB += max(grown, 0)
		r.state, r.mayHaveRun, r.startedAt = running, true, m.now
		m.addRunning(r, 1)
		if e := m.records[r.ID]; e != nil {
			e.mayHaveRun = true
		}
		m.host.Run(r.ID)
	}
}

// step moves the running limit and the drain rate.
func (m *Module) adjustLimits(dt time.Duration) {
	share := min(m.saturatedSeconds/max(dt.Seconds(), m.settings.BatchInterval.Seconds()), 1)
	m.updateDrainRate(share)
	m.adjustRunLimit(share)
	m.adjustCallLimit()
	var lines []string
	if m.shedder != nil {
		lines = m.shedder.Step(m.now, m.drainRate(), share)
	}
	m.saturatedSuccesses, m.saturatedSeconds = 0, 0
	if m.pools != nil {
		lines = append(lines, m.pools.Step(m.now, min(m.runLimit, m.concurrencyCeiling()))...)
	}
	for _, line := range lines {
		m.host.Log(line)
	}
}

func (m *Module) adjustRunLimit(share float64) {
	ratio, _ := m.meanLatency()
	switch {
	case share > 0 && m.runnable >= 0 && m.runnable < float64(m.settings.Cores)/2:
		m.runLimit += share * m.runLimit * (limitGrowthFast - 1)
	case share > 0 && m.coresIdle(ratio):
		m.runLimit += share * max(minLimitIncrease, m.runLimit*(limitGrowth-1))
	case ratio > contentionRatio && !m.coresIdle(ratio): // waits, not crowding, make runs long on idle cores
		m.runLimit *= limitDecrease
	}
	m.runLimit = max(min(m.runLimit, m.concurrencyCeiling()), float64(m.settings.Cores))
}

func (m *Module) coresIdle(ratio float64) bool {
	if m.cpuBusy < 0 && m.runnable < 0 {
		return ratio < (1+contentionRatio)/2
	}
	wanted := m.runnable / float64(m.settings.Cores) // as of now, while the busy share lags by a second or so
	return m.runnable >= 0 && wanted < 1 || m.cpuBusy >= 0 && m.cpuBusy < idleBusyShare && wanted < maxRunnablePerIdleCore
}
