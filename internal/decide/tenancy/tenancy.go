// Package tenancy decides which requests a front end admits when tenants demand more than there is: those of tenants
// within their shares always, of the others as much as is left. It is pure: times come in as durations since the
// process's start, and there is no randomness.
//
// Each front end decides by what it observes itself. Requests count by the work that they are expected to make,
// since a tenant whose requests take twenty times as long takes twenty times as much. Idle capacity may be borrowed
// without limit while no tenant within its share suffers by it; docs/tenants.md discusses the alternatives, start-time
// fair queueing and deficit round robin among them.
//
// No constant of this package belongs to one installation.
package tenancy

import "time"

// evaluationInterval is the least time between two evaluations of who demands how much.
const evaluationInterval = 100 * time.Millisecond

// ShareBasis is the measure by which shares are held.
type ShareBasis int

const (
	// ByWork measures what a tenant's requests take at the workers.
	ByWork ShareBasis = iota
	// ByRequestCount measures their number: each counts as the same work.
	ByRequestCount
	// NotEnforced means that shares are not held; quotas are.
	NotEnforced
)

// Settings are what the tenants were promised. Tenants are numbered from 0.
type Settings struct {
	Shares []float64 // by tenant, relative to their sum; a tenant of share 0 is promised nothing
	Quotas []float64 // by tenant, requests a second at this front end; 0 or missing is no limit
	Basis  ShareBasis
}

// Verdict is the decision on a request.
type Verdict int

const (
	// Admit means that the request is admitted.
	Admit Verdict = iota
	// OverQuota means that it is rejected because the tenant's quota is used up.
	OverQuota
	// OverShare means that it is rejected because the tenant exceeds its share while others lack theirs.
	OverShare
)

// String returns the reason that a client is given. The texts are part of the protocol.
func (v Verdict) String() string {
	return [...]string{"taken", "its tenant's quota is used up", "its tenant is beyond its share while others lack theirs"}[v]
}

// Limiter is the state of one front end. It belongs to one goroutine, the event loop.
type Limiter struct {
	settings       Settings
	tenants        []tenantState
	active         []int          // tenants that sent requests recently
	firstRequest   time.Duration  // when it was received
	received       decayedSum     // requests of all tenants
	rateMemory     time.Duration  // of the rates of work
	lastEvaluation time.Duration  // 0 before the first request
	workDone       decayedSum     // seconds
	lastOutcome    time.Duration  // last end of a request of a tenant within its share
	recentOutcomes outcomeCounter // of the requests of tenants within their shares
	longOutcomes   outcomeCounter // the same, with a longer memory
	restraint      float64        // of lending, 0 to maxRestraint
}

// New returns a Limiter without observations.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, tenants: make([]tenantState, len(settings.Shares)), rateMemory: minRateMemory}
}

// RequestReceived decides on a request of a tenant that is received at now. Requests of unknown tenants are
// admitted.
func (t *Limiter) RequestReceived(now time.Duration, tenant int) Verdict {
	if tenant >= len(t.tenants) {
		return Admit
	}
	if t.settings.Basis != NotEnforced {
		t.evaluateWhenDue(now)
		t.countRequest(now, tenant)
	}
	switch {
	case !t.withinQuota(now, tenant):
		return OverQuota
	case t.settings.Basis != NotEnforced && !t.tenants[tenant].useCredit():
		return OverShare
	}
	return Admit
}

// countRequest takes a request into the demand of its tenant.
func (t *Limiter) countRequest(now time.Duration, tenant int) {
	t.received.add(now, longOutcomeMemory, 1)
	state := &t.tenants[tenant]
	state.requests.add(now, t.rateMemory, 1)
	if !state.active {
		state.active, state.admitFraction, state.overShare = true, 1, false
		t.active = append(t.active, tenant)
	}
}

// useCredit reports whether the next request is within the admitted fraction, which is spread evenly.
func (s *tenantState) useCredit() bool {
	s.credit += s.admitFraction
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// RequestEnd is how an admitted request ended.
type RequestEnd struct {
	Work            time.Duration // the estimated work of a request of its function, 0 if unknown
	Served          bool
	MissedObjective bool // for want of capacity: rejected, timed out or late
}

// RequestEnded records the end of an admitted request of a tenant at now.
func (t *Limiter) RequestEnded(now time.Duration, tenant int, end RequestEnd) {
	if tenant >= len(t.tenants) || t.settings.Basis == NotEnforced {
		return
	}
	state := &t.tenants[tenant]
	if end.Work > 0 {
		state.work = movingAverage(state.work, end.Work, tenantAverageWindow)
	}
	if end.Served {
		t.workDone.add(now, t.rateMemory, t.workOf(end.Work.Seconds()))
	}
	if state.overShare || now-t.firstRequest < startupPeriod {
		return
	}
	t.lastOutcome = now
	t.recentOutcomes.add(now, recentOutcomeMemory, end.MissedObjective)
	t.longOutcomes.add(now, longOutcomeMemory, end.MissedObjective)
}

func (t *Limiter) evaluateWhenDue(now time.Duration) {
	if t.lastEvaluation == 0 {
		t.firstRequest, t.lastEvaluation = now, now
	}
	if now-t.lastEvaluation >= evaluationInterval {
		t.evaluate(now)
	}
}

// evaluate judges who demands more than a share, whether those who do not suffer, and what the others may have.
//
// It guards against a tenant's burst that takes what others were promised. It could harm where requests of tenants
// within their shares miss their objectives by a fault of their own, say functions slower than the objective: the
// others then get their shares and what these leave, and no more.
func (t *Limiter) evaluate(now time.Duration) {
	if now-t.lastEvaluation > longOutcomeMemory {
		t.restraint = 0 // no request was received meanwhile
	}
	t.lastEvaluation = now
	t.updateRateMemory(now)
	total := t.updateDemands(now)
	t.updateRestraint(t.hasShortage(now))
	over, othersWork := t.findOverShare(total)
	if t.restraint > 0 && len(over) > 0 {
		t.divide(over, othersWork, total.shares, t.workDone.at(now, t.rateMemory))
	}
}

// Restraint is how far lending is held back now, 0 to 2: at 0 all that is demanded is lent, at 1 what tenants within
// their shares leave, at 2 nothing.
func (t *Limiter) Restraint() float64 { return t.restraint }
