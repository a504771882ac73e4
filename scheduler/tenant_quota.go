package scheduler

const (
	quotaWindow     = 300 // span of the share estimate, in requests of all tenants
	quotaMinSamples = 100 // requests needed before a share is judged
	quotaTolerance  = 1.2 // multiple of its share that a tenant may use
)

// exceeds counts a request and reports whether it is over its tenant's quota. If the tenant uses more than
// quotaTolerance times its share of this front end's requests, the excess requests are reported as over
// quota. The quota argument is that share, from 0 to 1.
func (q *tenantQuotas) exceeds(tenant int, quota float64) bool {
	share := q.countRequest(tenant)
	if allowed := quotaTolerance * quota; share > allowed {
		q.overage[tenant] += 1 - allowed/share
	}
	if q.overage[tenant] < 1 {
		return false
	}
	q.overage[tenant]--
	return true
}
