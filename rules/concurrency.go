package rules

import (
	"slices"
	"time"
)

const (
	limitInterval = 100 * time.Millisecond // between control steps: several runs end in one

	// Change of the running limit in a control step.
	limitGrowth      = 1.03 // factor while cores are idle and requests are queued
	limitGrowthFast  = 1.25 // factor while under half of the cores are wanted: at first the limit is far too low
	minLimitIncrease = 0.08 // runs added at least, so that a small limit grows too
	limitDecrease    = 0.95 // factor while runs take too long

	contentionRatio        = 1.3  // run latency over its baseline that means contention
	idleBusyShare          = 0.95 // cores count as idle below this share of busy cores
	maxRunnablePerIdleCore = 2.0  // from so many runnable threads a core, the busy share is out of date
	concurrencyMargin      = 0.85 // of the survivable concurrency: the rest is for runs resuming after calls
)

// concurrencyCeiling is how many requests may run or be in calls, so that the node survives even if all
// calls return at once. While a cold node warms up, its speed counts as if it rose linearly over
// Settings.WarmUpTime.
func (m *Module) concurrencyCeiling() float64 {
	speed := 1.0
	if m.settings.ColdStart && m.settings.WarmUpTime > 0 {
		done := min(1, float64(m.now-m.startedAt)/float64(m.settings.WarmUpTime))
		speed = m.settings.ColdSpeed + (1-m.settings.ColdSpeed)*done
	}
	return max(1, concurrencyMargin*float64(m.settings.Cores)*
		(1+(max(m.settings.OverloadRunsPerCore, 1)-1)*speed))
}

// slots is how many requests may run. With pools, runs of a class in which no run ends any more do not
// count, up to the concurrency ceiling.
func (m *Module) slots() int {
	if m.pools != nil {
		return int(min(m.runLimit+float64(m.pools.StalledRuns()), m.concurrencyCeiling()))
	}
	return int(min(m.runLimit, m.concurrencyCeiling()))
}

// addRunning counts n more running requests of r's class.
func (m *Module) addRunning(r *request, n int) {
	m.runningCount += n
	if m.pools != nil {
		m.pools.RunningChanged(m.now, r.Class, n)
	}
}

// Load returns the number of running requests, the running limit and the pressure, from 0 to 1.
func (m *Module) Load() (running int, limit, pressure float64) {
	return m.runningCount, min(m.runLimit, m.concurrencyCeiling()), m.pressure
}

// startQueued gives free slots to queued requests.
func (m *Module) startQueued() {
	ceiling := m.concurrencyCeiling()
	slots := m.slots()
	m.slotsReserved = false
	for len(m.queue) > 0 && m.runningCount < slots && m.runningCount+m.inCallCount < int(ceiling) && !m.stalled {
		i := m.nextQueued(slots)
		if m.slotsReserved = i < 0; m.slotsReserved {
			return
		}
		r := m.queue[i]
		if m.mustLeaveQueue(r) {
			m.refuse(r, m.cannotMeetTargetAnywhere(r) || m.now > r.queueTimeoutAt && m.stopsRetries(r, true))
			continue
		}
		extraKB := r.MemoryKB * (m.settings.RunningMemoryFactor - 1)
		if m.exceedsMemory(extraKB) {
			return
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		m.requestMemoryKB += max(extraKB, 0)
		r.state, r.mayHaveRun, r.startedAt = running, true, m.now
		m.addRunning(r, 1)
		if rec := m.records[r.ID]; rec != nil {
			rec.mayHaveRun = true
		}
		m.host.Run(r.ID)
	}
}

// adjustLimits is the control step of the drain rate and the limits; dt is the time since the last one.
func (m *Module) adjustLimits(dt time.Duration) {
	saturatedShare := min(m.saturatedSeconds/max(dt.Seconds(), m.settings.BatchInterval.Seconds()), 1)
	m.updateDrainRate(saturatedShare)
	m.adjustRunLimit(saturatedShare)
	m.adjustCallLimit()
	var lines []string
	if m.shedder != nil {
		lines = m.shedder.Step(m.now, m.drainRate(), saturatedShare)
	}
	m.saturatedSuccesses, m.saturatedSeconds = 0, 0
	if m.pools != nil {
		lines = append(lines, m.pools.Step(m.now, min(m.runLimit, m.concurrencyCeiling()))...)
	}
	for _, line := range lines {
		m.host.Log(line)
	}
}

// adjustRunLimit raises the running limit while requests wait and cores are idle, and lowers it while
// contention makes runs longer.
func (m *Module) adjustRunLimit(saturatedShare float64) {
	ratio, _ := m.meanLatency()
	switch {
	case saturatedShare > 0 && m.runnable >= 0 && m.runnable < float64(m.settings.Cores)/2:
		m.runLimit += saturatedShare * m.runLimit * (limitGrowthFast - 1)
	case saturatedShare > 0 && m.coresIdle(ratio):
		m.runLimit += saturatedShare * max(minLimitIncrease, m.runLimit*(limitGrowth-1))
	case ratio > contentionRatio && !m.coresIdle(ratio): // on idle cores it is waits that make runs longer
		m.runLimit *= limitDecrease
	}
	m.runLimit = max(min(m.runLimit, m.concurrencyCeiling()), float64(m.settings.Cores))
}

// coresIdle reports whether some cores are idle, by the gauges or, without them, by the ratio of run
// latency to its baseline.
func (m *Module) coresIdle(ratio float64) bool {
	if m.cpuBusy < 0 && m.runnable < 0 {
		return ratio < (1+contentionRatio)/2
	}
	perCore := m.runnable / float64(m.settings.Cores) // current, while the busy share lags by a second or so
	return m.runnable >= 0 && perCore < 1 ||
		m.cpuBusy >= 0 && m.cpuBusy < idleBusyShare && perCore < maxRunnablePerIdleCore
}
