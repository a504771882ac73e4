package tenancy

import "time"

// quotaBurst is the period whose whole quota a tenant may use in a single burst.
const quotaBurst = time.Second

// consumeQuota reports whether the tenant's quota allows another request, and if so counts the request against it. It
// implements the generic cell rate algorithm (ITU-T I.371).
func (l *Limiter) consumeQuota(now time.Duration, tenant int) bool {
	if !l.hasQuota(tenant) {
		return true
	}
	state := &l.tenants[tenant]
	increment := time.Duration(float64(time.Second) / l.settings.Quotas[tenant])
	if state.theoreticalArrival > now+max(0, quotaBurst-increment) {
		return false
	}
	state.theoreticalArrival = max(state.theoreticalArrival, now) + increment
	return true
}

func (l *Limiter) hasQuota(tenant int) bool {
	return tenant < len(l.settings.Quotas) && l.settings.Quotas[tenant] > 0
}
