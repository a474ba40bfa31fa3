package rules

import "time"

const (
	tenantShareWeight    = 0.01            // weight of a request in its tenant's share of arrivals
	tenantShareTolerance = 1.2             // factor on its share: random variation over 100 requests
	quotaBurstTime       = 5 * time.Second // of unused quota can be saved up: traffic at one node is uneven
	minQuotaBurst        = 12.0            // requests that can be saved up at least: random bursts are as large
)

// tenantUsage is the quota that a tenant has left at this node, and its share of the arrivals.
type tenantUsage struct {
	remaining    float64       // requests left of this node's part of the quota
	arrivalShare float64       // smoothed share of arrivals; the shares need not add up to 1
	updatedAt    time.Duration // remaining is as of then
}

// exceedsQuota reports whether a request's tenant sends more than this node's part of its quota and also
// more than its share of the arrivals here: a node that gets many requests because of hot keys or few
// callers sees every tenant beyond its quota. First tries use up the quota on arrival, whatever becomes
// of them: if a refusal gave it back, the next request of the same excessive tenant would take it.
func (m *Module) exceedsQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(m.tenantUsage) {
		return false
	}
	total := 0.0
	for i := range m.tenantUsage {
		if u := &m.tenantUsage[i]; !r.Retry {
			u.arrivalShare -= tenantShareWeight * u.arrivalShare
		}
		total += m.tenantUsage[i].arrivalShare
	}
	u, t := &m.tenantUsage[r.Tenant], m.settings.Tenants[r.Tenant]
	rate := t.QuotaPerSecond / float64(max(m.settings.Nodes, 1))
	u.remaining = min(u.remaining+rate*(m.now-u.updatedAt).Seconds(),
		max(rate*quotaBurstTime.Seconds(), minQuotaBurst))
	u.updatedAt = m.now
	if !r.Retry {
		u.arrivalShare += tenantShareWeight
		total += tenantShareWeight
	}
	if r.Retry || rate > 0 && u.remaining < 1 {
		return rate > 0 && u.remaining < 1 && u.arrivalShare > tenantShareTolerance*t.Share*total
	}
	u.remaining--
	return false
}
