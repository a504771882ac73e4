// Package tenancy decides which requests a front end admits when the demand of all tenants exceeds the capacity.
// Requests of tenants within their shares are always admitted; of the other tenants' requests, as many as the remaining
// capacity allows. The package does no I/O and reads no clock: times are passed in as durations since the start of the
// process, and there is no randomness.
//
// Each front end decides by its own observations. Requests are weighted by their expected work, since a tenant whose
// requests take twenty times as long uses twenty times as much capacity. Idle capacity may be borrowed without limit as
// long as no tenant within its share lacks capacity as a result; docs/tenants.md discusses alternatives such as
// start-time fair queueing and deficit round robin.
//
// No constant of this package is specific to one installation.
package tenancy

import "time"

// evaluationInterval is the minimum time between two evaluations of the tenants' demands.
const evaluationInterval = 100 * time.Millisecond

// ShareBasis is the measure by which shares are enforced.
type ShareBasis int

const (
	// ByWork measures the work of a tenant's requests at the workers.
	ByWork ShareBasis = iota
	// ByRequestCount measures the number of a tenant's requests; each request counts as the same amount of work.
	ByRequestCount
	// NotEnforced means that shares are not enforced. Quotas still are.
	NotEnforced
)

// Settings are the shares and quotas of the tenants. Tenants are numbered from 0.
type Settings struct {
	Shares []float64 // shares by tenant, relative to their sum; a share of 0 guarantees nothing
	Quotas []float64 // quotas by tenant, in requests per second at this front end; 0 or missing means no limit
	Basis  ShareBasis
}

// Verdict is the admission decision on a request.
type Verdict int

const (
	// Admit means that the request is admitted.
	Admit Verdict = iota
	// OverQuota means that the request is rejected because its tenant's quota is used up.
	OverQuota
	// OverShare means that the request is rejected because its tenant exceeds its share while others cannot use theirs.
	OverShare
)

// String returns the reason that is given to the client. The texts are part of the protocol.
func (v Verdict) String() string {
	return [...]string{"taken", "its tenant's quota is used up", "its tenant is beyond its share while others lack theirs"}[v]
}

// Limiter enforces the shares and quotas at one front end. It belongs to a single goroutine, the event loop.
type Limiter struct {
	settings           Settings
	tenants            []tenantState
	active             []int          // tenants that sent requests recently
	firstRequest       time.Duration  // time of the first request
	received           decayedSum     // decayed number of requests of all tenants
	rateMemory         time.Duration  // time constant of the decayed work rates
	lastEvaluation     time.Duration  // time of the last evaluation, 0 before the first request
	workDone           decayedSum     // decayed work of served requests, in seconds
	lastOutcome        time.Duration  // last time at which a request of a tenant within its share ended
	recentOutcomes     outcomeCounter // outcomes of tenants within their shares, with recentOutcomeMemory
	longOutcomes       outcomeCounter // outcomes of tenants within their shares, with longOutcomeMemory
	lendingRestriction float64        // 0 to maxRestriction; see LendingRestriction
}

// New returns a Limiter without observations.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, tenants: make([]tenantState, len(settings.Shares)), rateMemory: minRateMemory}
}

// RequestReceived decides on a request of a tenant that was received at now. Requests of unknown tenants are admitted.
func (l *Limiter) RequestReceived(now time.Duration, tenant int) Verdict {
	if tenant >= len(l.tenants) {
		return Admit
	}
	if l.settings.Basis != NotEnforced {
		l.evaluateWhenDue(now)
		l.countRequest(now, tenant)
	}
	switch {
	case !l.consumeQuota(now, tenant):
		return OverQuota
	case l.settings.Basis != NotEnforced && !l.tenants[tenant].useCredit():
		return OverShare
	}
	return Admit
}

// countRequest adds a request to the demand of its tenant.
func (l *Limiter) countRequest(now time.Duration, tenant int) {
	l.received.add(now, longOutcomeMemory, 1)
	state := &l.tenants[tenant]
	state.requests.add(now, l.rateMemory, 1)
	if !state.active {
		state.active, state.admitFraction, state.overShare = true, 1, false
		l.active = append(l.active, tenant)
	}
}

// useCredit reports whether the tenant's next request is admitted. Admissions are spread evenly over the requests, at
// the rate of the admitted fraction.
func (s *tenantState) useCredit() bool {
	s.credit += s.admitFraction
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// RequestEnd is the outcome of an admitted request.
type RequestEnd struct {
	Work            time.Duration // estimated work of one request of the function, 0 if unknown
	Served          bool
	MissedObjective bool // whether the request was rejected, timed out or late for lack of capacity
}

// RequestEnded records that an admitted request of a tenant ended at now.
func (l *Limiter) RequestEnded(now time.Duration, tenant int, end RequestEnd) {
	if tenant >= len(l.tenants) || l.settings.Basis == NotEnforced {
		return
	}
	state := &l.tenants[tenant]
	if end.Work > 0 {
		state.work = movingAverage(state.work, end.Work, tenantAverageWindow)
	}
	if end.Served {
		l.workDone.add(now, l.rateMemory, l.workOf(end.Work.Seconds()))
	}
	if state.overShare || now-l.firstRequest < startupPeriod {
		return
	}
	l.lastOutcome = now
	l.recentOutcomes.add(now, recentOutcomeMemory, end.MissedObjective)
	l.longOutcomes.add(now, longOutcomeMemory, end.MissedObjective)
}

func (l *Limiter) evaluateWhenDue(now time.Duration) {
	if l.lastEvaluation == 0 {
		l.firstRequest, l.lastEvaluation = now, now
	}
	if now-l.lastEvaluation >= evaluationInterval {
		l.evaluate(now)
	}
}

// evaluate determines which tenants demand more than their shares, whether the remaining tenants lack capacity, and how
// much the tenants over their shares are allocated.
//
// It keeps a burst of one tenant from using the capacity promised to others. Its drawback appears where requests of
// tenants within their shares miss their objectives for a reason of their own, such as functions slower than the
// objective: the other tenants are then limited to their shares and the capacity left unused.
func (l *Limiter) evaluate(now time.Duration) {
	if now-l.lastEvaluation > longOutcomeMemory {
		l.lendingRestriction = 0 // no request was received since the last evaluation
	}
	l.lastEvaluation = now
	l.updateRateMemory(now)
	total := l.updateDemands(now)
	l.updateLendingRestriction(l.hasShortage(now))
	over, othersWork := l.findOverShare(total)
	if l.lendingRestriction > 0 && len(over) > 0 {
		l.allocate(over, othersWork, total.shares, l.workDone.at(now, l.rateMemory))
	}
}

// LendingRestriction returns how far lending of capacity is restricted, from 0 to 2. At 0 all demand is admitted, at 1
// only the capacity left by tenants within their shares is lent, and at 2 no capacity is lent.
func (l *Limiter) LendingRestriction() float64 { return l.lendingRestriction }
