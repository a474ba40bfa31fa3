package rules

import "time"

const (
	tenantShareWeight    = 0.01            // weight of a request in its tenant's part of arrivals
	tenantShareTolerance = 1.2             // times its share that may come here: chance moves a hundred so far
	quotaBurstTime       = 5 * time.Second // of a quota is saved at most: one node sees uneven traffic
	minQuotaBurst        = 12.0            // requests are, where that is less: chance alone moves so few
)

// allowance is what is left of this node's part of a tenant's quota, in requests, and its part of arrivals.
type tenantUsage struct {
	remaining, arrivalShare float64
	updatedAt               time.Duration
}

// overShare reports whether a request's tenant sends more than this node's part of its quota, and more of
// what comes here than its share: a node that hot keys or few callers fill sees all of them beyond. What
// the quota yields with time goes to first tries as they come, whatever becomes of them: who sends far more
// would else have the next one in its place.
func (m *Module) exceedsQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(m.tenantUsage) {
		return false
	}
	total := 0.0
	for i := range m.tenantUsage {
		if q := &m.tenantUsage[i]; !r.Retry {
			q.arrivalShare -= tenantShareWeight * q.arrivalShare
		}
		total += m.tenantUsage[i].arrivalShare
	}
	q, t := &m.tenantUsage[r.Tenant], m.settings.Tenants[r.Tenant]
	rate := t.QuotaPerSecond / float64(max(m.settings.Nodes, 1))
	q.remaining = min(q.remaining+rate*(m.now-q.updatedAt).Seconds(), max(rate*quotaBurstTime.Seconds(), minQuotaBurst))
	q.updatedAt = m.now
	if !r.Retry {
		q.arrivalShare += tenantShareWeight
		total += tenantShareWeight
	}
	if r.Retry || rate > 0 && q.remaining < 1 {
		return rate > 0 && q.remaining < 1 && q.arrivalShare > tenantShareTolerance*t.Share*total
	}
	q.remaining--
	return false
}
