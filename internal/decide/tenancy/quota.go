package tenancy

import "time"

// quotaBurst is the period whose whole quota a tenant may use in a single burst.
const quotaBurst = time.Second

// consumeQuota reports whether the tenant's quota allows another request, and if so counts the request against it. It
// implements the generic cell rate algorithm (ITU-T I.371).
func (t *Limiter) consumeQuota(now time.Duration, tenant int) bool {
	if !t.hasQuota(tenant) {
		return true
	}
	state := &t.tenants[tenant]
	increment := time.Duration(float64(time.Second) / t.settings.Quotas[tenant])
	if state.theoreticalArrival > now+max(0, quotaBurst-increment) {
		return false
	}
	state.theoreticalArrival = max(state.theoreticalArrival, now) + increment
	return true
}

func (t *Limiter) hasQuota(tenant int) bool {
	return tenant < len(t.settings.Quotas) && t.settings.Quotas[tenant] > 0
}
