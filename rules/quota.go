package rules

import "time"

const (
	tenantAlpha = 0.01            // weight of a request in its tenant's part of arrivals
	tenantOver  = 1.2             // times its share that may come here: chance moves a hundred so far
	quotaSpan   = 5 * time.Second // of a quota is saved at most: one node sees uneven traffic
	quotaSaved  = 12.0            // requests are, where that is less: chance alone moves so few
)

// allowance is what is left of this node's part of a tenant's quota, in requests, and its part of arrivals.
type allowance struct {
	left, sent float64
	at         time.Duration
}

// overShare reports whether a request's tenant sends more than this node's part of its quota, and more of
// what comes here than its share: a node that hot keys or few callers fill sees all of them beyond. What
// the quota yields with time goes to first tries as they come, whatever becomes of them: who sends far more
// would else have the next one in its place.
func (m *Module) overShare(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(m.quota) {
		return false
	}
	total := 0.0
	for i := range m.quota {
		if q := &m.quota[i]; !r.Retry {
			q.sent -= tenantAlpha * q.sent
		}
		total += m.quota[i].sent
	}
	q, t := &m.quota[r.Tenant], m.set.Tenants[r.Tenant]
	rate := t.QuotaPerSecond / float64(max(m.set.Nodes, 1))
	q.left = min(q.left+rate*(m.now-q.at).Seconds(), max(rate*quotaSpan.Seconds(), quotaSaved))
	q.at = m.now
	if !r.Retry {
		q.sent += tenantAlpha
		total += tenantAlpha
	}
	if r.Retry || rate > 0 && q.left < 1 {
		return rate > 0 && q.left < 1 && q.sent > tenantOver*t.Share*total
	}
	q.left--
	return false
}
