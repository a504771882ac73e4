package tenancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRateMemory is the minimum time constant of the decayed work rates, used at high request rates.
	minRateMemory = 3 * time.Second
	// maxRateMemory is the maximum time constant of the decayed work rates, used at low request rates.
	maxRateMemory = 30 * time.Second
	// rateSampleSize is the number of requests that the work rates should cover.
	rateSampleSize = 100.0
	// idleThreshold is the decayed number of requests below which a tenant counts as idle.
	idleThreshold = 0.01
	// defaultWork is the assumed work of a request before any work was measured.
	defaultWork = 100 * time.Millisecond
	// overShareFactor is the ratio of a tenant's demand per share to that of the other tenants above which the tenant is
	// over its share.
	overShareFactor = 1.5
	// demandDeviations is the number of standard deviations of the tenant's request count by which its demand is reduced
	// before it is compared with its share.
	demandDeviations = 2.0
	// minShare replaces a share of 0 in divisions.
	minShare = 1e-9
	// minRequestCount replaces a request count of 0 in divisions.
	minRequestCount = 1e-9
	// maxLendingFactor is the multiple of the unused work that is lent at a lending restriction of 0. The factor falls
	// exponentially to 1 at strictRestriction.
	maxLendingFactor = 8.0
)

// tenantState is the Limiter's state for one tenant.
type tenantState struct {
	requests           decayedSum    // decayed number of received requests
	demand             float64       // decayed work of the received requests at the current work per request, in seconds
	work               float64       // moving average of the work per request, in seconds
	active             bool          // whether the tenant sent requests recently and is in Limiter.active
	overShare          bool          // whether the tenant demands more than its share
	admitFraction      float64       // fraction of the tenant's requests that is admitted, 0 to 1
	credit             float64       // accumulated admitFraction; each admitted request takes 1
	theoreticalArrival time.Duration // theoretical arrival time in the generic cell rate algorithm of the quota
}

// demands holds sums over several tenants.
type demands struct {
	work   float64 // sum of the demands, in seconds
	shares float64
}

// workOf returns the work, in seconds, that a request is counted with. The parameter is its estimated work in seconds,
// 0 if unknown.
func (l *Limiter) workOf(work float64) float64 {
	if l.settings.Basis == ByRequestCount {
		return defaultWork.Seconds()
	}
	return cmp.Or(work, defaultWork.Seconds())
}

// updateRateMemory adapts the time constant of the work rates to the request rate.
func (l *Limiter) updateRateMemory(now time.Duration) {
	counted := min(longOutcomeMemory, now-l.firstRequest+evaluationInterval)
	rate := l.received.at(now, longOutcomeMemory) / counted.Seconds()
	wanted := time.Duration(rateSampleSize / max(rate, 1) * float64(time.Second))
	l.rateMemory = min(maxRateMemory, max(minRateMemory, wanted))
}

// updateDemands updates the demand of each active tenant, removes idle tenants from the active ones, and returns the
// sums over the remaining tenants.
func (l *Limiter) updateDemands(now time.Duration) demands {
	var total demands
	l.active = slices.DeleteFunc(l.active, func(tenant int) bool {
		state := &l.tenants[tenant]
		requests := state.requests.at(now, l.rateMemory)
		if requests < idleThreshold {
			state.active, state.overShare = false, false
			return true
		}
		state.demand = requests * l.workOf(state.work)
		total.work += state.demand
		total.shares += l.settings.Shares[tenant]
		return false
	})
	total.shares = max(total.shares, minShare)
	return total
}

// findOverShare marks the tenants whose demand per share clearly exceeds that of the other tenants, and resets the
// admitted fraction of every active tenant to 1. Tenants are examined in descending order of demand per share. A tenant
// found to be over its share is excluded from the demand that the next ones are compared with; otherwise two tenants
// with large demands would hide each other.
//
// It returns the tenants over their shares in that order, and the total demand of the others in seconds.
func (l *Limiter) findOverShare(total demands) (over []int, othersWork float64) {
	slices.SortFunc(l.active, func(a, b int) int {
		return cmp.Or(cmp.Compare(l.relativeDemand(b), l.relativeDemand(a)), cmp.Compare(a, b))
	})
	rest := total
	for i, tenant := range l.active {
		state, share := &l.tenants[tenant], l.settings.Shares[tenant]
		others := demands{work: rest.work - state.demand, shares: rest.shares - share}
		largerAreAllOver := len(over) == i
		state.admitFraction = 1
		state.overShare = largerAreAllOver && state.exceedsShare(share, others)
		if state.overShare {
			over = append(over, tenant)
			rest = others
		}
	}
	return over, rest.work
}

// relativeDemand returns a tenant's demand divided by its share.
func (l *Limiter) relativeDemand(tenant int) float64 {
	return l.tenants[tenant].demand / max(l.settings.Shares[tenant], minShare)
}

// exceedsShare reports whether the tenant's demand per share exceeds that of the others by more than overShareFactor,
// with an allowance for random variation in its number of requests.
func (s *tenantState) exceedsShare(share float64, others demands) bool {
	return s.demandLowerBound()*others.shares > overShareFactor*others.work*max(share, minShare)
}

// demandLowerBound returns the tenant's demand reduced by the random variation of its number of requests. Without the
// reduction, two requests that happen to arrive together could put a tenant over its share at a front end that receives
// few requests per tenant.
func (s *tenantState) demandLowerBound() float64 {
	return s.demand * max(0, 1-demandDeviations/math.Sqrt(max(s.requests.value, minRequestCount)))
}

// allocate distributes the work being done, less the demand of the others, among the tenants over their shares by
// weighted max-min fairness (D. Bertsekas, R. Gallager, "Data Networks", 6.5), in ascending order of demand per share.
// No tenant is allocated less than its share of the work done, unless it demands less.
//
// The work done serves as the estimate of the capacity. The two are equal while the workers are fully utilized; below
// full utilization, lending increases until a tenant within its share lacks capacity.
func (l *Limiter) allocate(over []int, othersWork, totalShares, workDone float64) {
	shares := 0.0
	for _, tenant := range over {
		shares += l.settings.Shares[tenant]
	}
	available := l.lendableWork(workDone*shares/totalShares, workDone-othersWork)
	for _, tenant := range slices.Backward(over) {
		state, part := &l.tenants[tenant], 0.0
		if shares > 0 {
			part = available * l.settings.Shares[tenant] / shares
		}
		granted := min(state.demand, part)
		available, shares = available-granted, shares-l.settings.Shares[tenant]
		state.admitFraction = granted / state.demand
	}
}

// lendableWork returns the work, in seconds, that is available to all tenants over their shares together. The parameter
// promised is the work that corresponds to their shares, and unused is the work that the other tenants leave. As the
// restriction grows, the result falls from a multiple of the larger of the two down to promised.
func (l *Limiter) lendableWork(promised, unused float64) float64 {
	available := max(promised, unused)
	if l.lendingRestriction < strictRestriction {
		return available * math.Pow(maxLendingFactor, strictRestriction-l.lendingRestriction)
	}
	return available - (l.lendingRestriction-strictRestriction)*(available-promised)
}
