package fleet

import (
	"math"
	"slices"
	"time"
)

// updateSilence sets whether a node's reports are missing.
func (f *Fleet) updateSilence(now time.Duration, n *node) {
	limit := silentAfter
	if n.unconfirmed {
		limit = restartGrace + silentAfter
	}
	switch {
	case now-n.reportedAt <= limit:
		n.silentSince, n.frozen = 0, false
	case n.silentSince == 0:
		n.silentSince = max(now, 1)
	}
}

// updateFreeze freezes the view if so many nodes fell silent together that the fault may be
// the service's own network, and unfreezes it afterwards. The loss of a whole zone, while
// another zone reports, does not count towards a freeze. It returns the lost zones, sorted.
func (f *Fleet) updateFreeze(now time.Duration, names []string) (lost []string) {
	type zone struct{ nodes, reporting, recentlySilent int }
	zones := map[string]*zone{}
	active, silent, recentlySilent, reporting := 0, 0, 0, 0
	for _, name := range names {
		n := f.nodes[name]
		z := zones[n.lastReport.Zone]
		if z == nil {
			z = &zone{}
			zones[n.lastReport.Zone] = z
		}
		z.nodes++
		if n.state == Gone && n.silentSince > 0 && !n.frozen {
			continue // gone before: no evidence of a present fault
		}
		active++
		switch {
		case n.silentSince == 0:
			z.reporting++
			reporting++
		case n.lastReport.Phase != Draining:
			silent++
			if now-n.silentSince <= freezeWindow || n.frozen {
				z.recentlySilent++
				recentlySilent++
			}
		}
	}
	inLostZones, zoneIntact := 0, false // silent nodes in lost zones; some zone reports without gaps
	for _, z := range zones {
		zoneIntact = zoneIntact || z.reporting > 0 && z.recentlySilent == 0
	}
	for name, z := range zones {
		if z.reporting > 0 && z.recentlySilent >= z.reporting && zoneIntact {
			// The zone is being lost; its nodes do not all miss a report at the same time.
			inLostZones += z.recentlySilent
			active -= z.reporting
		}
		if z.reporting == 0 && z.nodes > 1 && reporting > 0 { // another zone reports, so the network of this service works
			lost = append(lost, name)
			inLostZones += z.recentlySilent
		}
	}
	slices.Sort(lost)
	if !f.frozen {
		recentlySilent -= inLostZones
		active -= inLostZones
	}
	switch {
	case !f.frozen && recentlySilent >= freezeMinNodes && float64(recentlySilent) > freezeShare*float64(active):
		f.frozen, f.frozenSince, f.frozenSilent = true, now, recentlySilent
		f.logf("view frozen: %d of %d nodes fell silent together; this service may have lost its network",
			recentlySilent, active)
	case f.frozen && recentlySilent > f.frozenSilent:
		f.frozenSilent = recentlySilent
	case f.frozen && (float64(silent) <= unfreezeShare*float64(f.frozenSilent) ||
		now-f.frozenSince > unfreezeAfter && reporting > 0 && f.receivesReports(now, names)):
		f.frozen = false
		f.logf("view unfrozen: %d nodes report, %d are silent", reporting, silent)
	}
	for _, name := range names {
		n := f.nodes[name]
		n.frozen = f.frozen && n.silentSince > 0 && n.state != Gone
	}
	return lost
}

// receivesReports reports whether some node has reported without a gap: then the network of
// this service works, and the silent nodes are at fault.
func (f *Fleet) receivesReports(now time.Duration, names []string) bool {
	for _, name := range names {
		if n := f.nodes[name]; n.silentSince == 0 && now-n.reportedAt < reportInterval*2 {
			return true
		}
	}
	return false
}

// updateState sets a node's state and its reason.
func (f *Fleet) updateState(now time.Duration, n *node) {
	penalty := n.currentPenalty(now)
	if n.damped = penalty > cutOffThreshold || n.damped && penalty > reuseThreshold; penalty < 0.01 {
		n.penalty = 0
	}
	if share, known := n.errorShare(now); known {
		n.failing = share > failingErrorShare || n.failing && share > recoveredErrorShare
	} else if len(n.proxyErrors) == 0 {
		n.failing = false
	}
	r := &n.lastReport
	state, reason := Healthy, "reports"
	switch {
	case n.silentSince > 0 && !n.frozen && now-n.reportedAt > goneAfter+f.extraSilence(n):
		state, reason = Gone, "silent too long"
	case r.Phase == Draining:
		state, reason = Leaving, "it says that it drains"
	case n.frozen:
		state, reason = n.stateBeforeSilence, "silent, but so are many: kept as it was"
	case n.silentSince > 0:
		state, reason = Silent, "reports are missing"
	case r.Phase == OutOfService || !r.Healthy:
		state, reason = Refusing, "it says that it can take nothing"
	case n.damped:
		state, reason = Damped, "it comes and goes"
	case n.failing:
		state, reason = Failing, "proxies see errors"
	case r.Warm < 0.99:
		state, reason = Warming, "it says that it warms up"
	}
	if n.unconfirmed && state <= Silent {
		state, reason = min(n.state, Silent), "from before a restart of this service, not heard yet"
		if n.state == Gone {
			state = Gone
		}
	}
	if state != n.state {
		if n.lastReport.Name != "" && (state == Damped || n.state == Damped || state == Failing) {
			f.logf("node %s changed state to %v, was %v: %s", r.Name, state, n.state, reason)
		}
		n.state, n.since = state, now
	}
	n.reason = reason
	if n.silentSince == 0 {
		n.stateBeforeSilence = state
	}
}

// extraSilence returns the additional time before a silent node is Gone.
func (f *Fleet) extraSilence(n *node) time.Duration {
	if n.unconfirmed {
		return restartGrace
	}
	return 0
}

// updateWeight moves a node's weight towards its free capacity. The change of a step is
// limited, so that proxies do not all send to the node that has just become idle.
func (f *Fleet) updateWeight(n *node, elapsed time.Duration) {
	r := &n.lastReport
	switch {
	case n.frozen || n.state == Silent: // keep the weight in case the node returns
		return
	case !n.state.Serves():
		n.weight = 0
		return
	}
	target := fullWeight
	if r.Limit > 0 {
		free := max(r.Limit-n.running, 0.1*r.Limit)
		target = fullWeight * free / 10
	}
	target *= 1 - 0.8*min(max(r.Pressure, 0), 1)
	if n.state == Warming {
		target *= max(r.Warm, 0.02)
	}
	if n.state == Failing {
		target *= probeShare
	}
	target = max(target, 1)
	if n.weight == 0 { // slow start
		n.weight = target
		if n.state != Warming && r.Seq <= 1 {
			n.weight = max(target/4, 1)
		}
		return
	}
	if n.state == Failing { // drops at once, and rises again in steps
		n.weight = min(n.weight, target)
	}
	maxFactor := math.Pow(maxWeightFactor, max(elapsed.Seconds()/stepInterval.Seconds(), 0))
	n.weight = min(max(target, n.weight/maxFactor), n.weight*maxFactor)
}
