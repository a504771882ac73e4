package scheduler

const (
	quotaWindow     = 300 // span of the share estimate, in requests of all tenants
	quotaMinSamples = 100 // requests needed before a share is judged
	quotaTolerance  = 1.2 // multiple of its share that a tenant may use
)

// exceeds counts a request and reports whether it is over its tenant's quota. If the tenant sends more than
// quotaTolerance times its guaranteed share, from 0 to 1, of this front end's requests, the excess requests
// are reported as over quota.
func (q *tenantQuotas) exceeds(tenant int, guaranteedShare float64) bool {
	usedShare := q.countRequest(tenant)
	if allowed := quotaTolerance * guaranteedShare; usedShare > allowed {
		q.overage[tenant] += 1 - allowed/usedShare
	}
	if q.overage[tenant] < 1 {
		return false
	}
	q.overage[tenant]--
	return true
}
