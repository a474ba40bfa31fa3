package rules

import "cmp"

const retryUtilityFactor = 0.4 // worth of a marked retry over a first try: it may be late

// worth is what serving a request earns. A marked retry may be late: its client has waited before.
func (m *Module) utility(r *request) float64 {
	v := m.class(r).Utility
	if r.overQuota {
		v *= m.settings.OverQuotaUtility
	}
	if r.Retry && m.shedder != nil {
		v *= m.shedder.RetryUtility()
	} else if r.Retry {
		v *= retryUtilityFactor
	}
	return v
}

// price is what serving a request as a first try earns for each unit of its expected work.
func (m *Module) firstTryUtility(r *request) float64 {
	first := request{Request: r.Request, overQuota: r.overQuota}
	if first.Retry = false; m.settings.UtilityPerWork {
		return m.utility(&first)
	}
	return m.utility(&first) / cmp.Or(r.WorkHint, m.expectedRun(r)).Seconds()
}

// value is what serving a held request earns for each unit of work.
func (m *Module) weightedUtility(r *request) float64 {
	if m.settings.UtilityPerWork {
		return m.utility(r)
	}
	return m.utility(r) / max(m.expectedRun(r).Seconds(), 0.001)
}
