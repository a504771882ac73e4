package tenancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRateMemory is the memory of the rates of work where the front end receives many requests.
	minRateMemory = 3 * time.Second
	// maxRateMemory is the same where it receives few.
	maxRateMemory = 30 * time.Second
	// rateSampleSize is how many requests that memory should hold.
	rateSampleSize = 100.0
	// idleThreshold is the decayed number of requests below which a tenant counts as idle.
	idleThreshold = 0.01
	// defaultWork is the work of a request before any was measured.
	defaultWork = 100 * time.Millisecond
	// overShareFactor is how many times what the others demand for their shares a tenant must demand for its own to
	// be over its share.
	overShareFactor = 1.5
	// demandDeviations is how many standard deviations of chance in a tenant's number of requests are left out of
	// its demand when it is judged.
	demandDeviations = 2.0
	// minShare stands in for a share of 0.
	minShare = 1e-9
	// minRequestCount stands in for a count of 0 as a divisor.
	minRequestCount = 1e-9
	// maxLendingFactor is how many times the unused work is lent at no restraint. The factor falls exponentially to 1
	// at strictRestraint.
	maxLendingFactor = 8.0
)

// tenantState is what a Limiter knows of one tenant.
type tenantState struct {
	requests           decayedSum    // received
	demand             float64       // decayed work of those requests, in seconds, by what requests take now
	work               float64       // moving average of the work of one request, in seconds
	active             bool          // it is in Limiter.active: it sent requests recently
	overShare          bool          // it demands more than its share
	admitFraction      float64       // part of its requests that is admitted
	credit             float64       // sum of admitFraction since the last admission; a request is admitted at 1
	theoreticalArrival time.Duration // of its quota's generic cell rate algorithm
}

// demands are sums over several tenants.
type demands struct {
	work   float64 // demand in seconds
	shares float64
}

// workOf is what a request counts for whose work is that many seconds, 0 if unknown.
func (t *Limiter) workOf(work float64) float64 {
	if t.settings.Basis == ByRequestCount {
		return defaultWork.Seconds()
	}
	return cmp.Or(work, defaultWork.Seconds())
}

// updateRateMemory adapts the memory of the rates to how many requests arrive.
func (t *Limiter) updateRateMemory(now time.Duration) {
	counted := min(longOutcomeMemory, now-t.firstRequest+evaluationInterval)
	rate := t.received.at(now, longOutcomeMemory) / counted.Seconds()
	wanted := time.Duration(rateSampleSize / max(rate, 1) * float64(time.Second))
	t.rateMemory = min(maxRateMemory, max(minRateMemory, wanted))
}

// updateDemands drops tenants that are idle by now from the active ones, and returns the sums over the others.
func (t *Limiter) updateDemands(now time.Duration) demands {
	var total demands
	t.active = slices.DeleteFunc(t.active, func(tenant int) bool {
		state := &t.tenants[tenant]
		requests := state.requests.at(now, t.rateMemory)
		if requests < idleThreshold {
			state.active, state.overShare = false, false
			return true
		}
		state.demand = requests * t.workOf(state.work)
		total.work += state.demand
		total.shares += t.settings.Shares[tenant]
		return false
	})
	total.shares = max(total.shares, minShare)
	return total
}

// findOverShare marks the tenants that demand more, for their shares, than the others do on average, and admits all
// requests of everyone for the time being. The tenant with the largest demand for its share is judged first; once it
// is over, its demand no longer counts for the others, so that two large ones do not make each other look modest.
//
// It returns the tenants over their shares, largest demand first, and the work that the others demand, in seconds.
func (t *Limiter) findOverShare(total demands) (over []int, othersWork float64) {
	slices.SortFunc(t.active, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.relativeDemand(b), t.relativeDemand(a)), cmp.Compare(a, b))
	})
	rest := total
	for i, tenant := range t.active {
		state, share := &t.tenants[tenant], t.settings.Shares[tenant]
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

// relativeDemand is a tenant's demand divided by its share.
func (t *Limiter) relativeDemand(tenant int) float64 {
	return t.tenants[tenant].demand / max(t.settings.Shares[tenant], minShare)
}

// exceedsShare reports whether the tenant certainly demands more for its share than the others do for theirs.
func (s *tenantState) exceedsShare(share float64, others demands) bool {
	return s.certainDemand()*others.shares > overShareFactor*others.work*max(share, minShare)
}

// certainDemand is the tenant's demand less what may be chance in its number of requests. It guards against judging
// a tenant by two requests that happened to arrive together, where a front end receives few of each tenant.
func (s *tenantState) certainDemand() float64 {
	return s.demand * max(0, 1-demandDeviations/math.Sqrt(max(s.requests.value, minRequestCount)))
}

// divide gives the work that is being done, less what the others demand, to the tenants over their shares, by
// weighted max-min fairness (D. Bertsekas, R. Gallager, "Data Networks", 6.5): the smallest demand for its share
// first. None gets less than its share of the work done.
//
// The work done stands for what can be done. They are equal while the workers are fully used; where less is done,
// more and more is lent until someone within a share suffers by it.
func (t *Limiter) divide(over []int, othersWork, totalShares, workDone float64) {
	shares := 0.0
	for _, tenant := range over {
		shares += t.settings.Shares[tenant]
	}
	available := t.lendable(workDone*shares/totalShares, workDone-othersWork)
	for _, tenant := range slices.Backward(over) {
		state, part := &t.tenants[tenant], 0.0
		if shares > 0 {
			part = available * t.settings.Shares[tenant] / shares
		}
		granted := min(state.demand, part)
		available, shares = available-granted, shares-t.settings.Shares[tenant]
		state.admitFraction = granted / state.demand
	}
}

// lendable is the work, in seconds, for all tenants over their shares together: promised is the sum of their shares,
// unused is what the others leave. Restraint moves it from a multiple of unused down to promised.
func (t *Limiter) lendable(promised, unused float64) float64 {
	available := max(promised, unused)
	if t.restraint < strictRestraint {
		return available * math.Pow(maxLendingFactor, strictRestraint-t.restraint)
	}
	return available - (t.restraint-strictRestraint)*(available-promised)
}
