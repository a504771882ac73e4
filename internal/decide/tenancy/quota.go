package tenancy

import "time"

// quotaBurst is how many seconds' worth of its quota a tenant may use at once.
const quotaBurst = time.Second

// withinQuota counts one request of the tenant against its quota and reports whether that allowed it. It is the
// generic cell rate algorithm (ITU-T I.371).
func (t *Limiter) withinQuota(now time.Duration, tenant int) bool {
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
