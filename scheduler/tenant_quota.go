package scheduler

const (
	quotaWindow     = 300 // requests by which the share of a tenant is judged, all tenants counted
	quotaMinSamples = 100 // of them that it takes to judge
	quotaTolerance  = 1.2 // times its share that a tenant may use
)

// exceeds counts a request and reports whether it is over the quota of its tenant: of the requests of a
// tenant that uses more than quotaTolerance times its share of this front end, as many as are too many.
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
