package rules

import "cmp"

// retryUtilityFactor is the utility of a marked retry relative to a first try: its client has waited
// before, so the answer may come too late.
const retryUtilityFactor = 0.4

// utility is what answering a request in time earns.
func (m *Module) utility(r *request) float64 {
	u := m.class(r).Utility
	if r.overQuota {
		u *= m.settings.OverQuotaUtility
	}
	if r.Retry && m.shedder != nil {
		u *= m.shedder.RetryUtility()
	} else if r.Retry {
		u *= retryUtilityFactor
	}
	return u
}

// firstTryUtility is the cost-weighted utility that a request would have as a first try, by its own
// work hint where it has one.
func (m *Module) firstTryUtility(r *request) float64 {
	first := request{Request: r.Request, overQuota: r.overQuota}
	if first.Retry = false; m.settings.UtilityPerWork {
		return m.utility(&first)
	}
	return m.utility(&first) / cmp.Or(r.WorkHint, m.expectedRun(r)).Seconds()
}

// weightedUtility is the cost-weighted utility of a request: its utility per second of expected run time.
func (m *Module) weightedUtility(r *request) float64 {
	if m.settings.UtilityPerWork {
		return m.utility(r)
	}
	return m.utility(r) / max(m.expectedRun(r).Seconds(), 0.001)
}
