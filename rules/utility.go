package rules

import "cmp"

const retryWorth = 0.4 // worth of a marked retry over a first try: it may be late

// worth is what serving a request earns. A marked retry may be late: its client has waited before.
func (m *Module) worth(r *request) float64 {
	v := m.class(r).Utility
	if r.overdue {
		v *= m.set.OverQuotaUtility
	}
	if r.Retry && m.together != nil {
		v *= m.together.RetryUtility()
	} else if r.Retry {
		v *= retryWorth
	}
	return v
}

// price is what serving a request as a first try earns for each unit of its expected work.
func (m *Module) price(r *request) float64 {
	first := request{Request: r.Request, overdue: r.overdue}
	if first.Retry = false; m.set.UtilityPerWork {
		return m.worth(&first)
	}
	return m.worth(&first) / cmp.Or(r.WorkHint, m.usualRun(r)).Seconds()
}

// value is what serving a held request earns for each unit of work.
func (m *Module) value(r *request) float64 {
	if m.set.UtilityPerWork {
		return m.worth(r)
	}
	return m.worth(r) / max(m.usualRun(r).Seconds(), 0.001)
}
