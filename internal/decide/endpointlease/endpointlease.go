// Package endpointlease decides for how long an endpoint list is valid without a new confirmation, and for how long a worker's
// own confirmation is valid in its place.
//
// A list is a snapshot. By the platform's rules a front end counts as notified of what the endpoint service knows
// at certain times, also while the service is out of reach; after that and the grace of a drain, nothing new may begin at a
// worker that drains or was removed. The package is pure: times are durations since the process's start.
package endpointlease

import (
	"math"
	"time"
)

// Unlimited is the end of a lease that never ends.
const Unlimited = time.Duration(math.MaxInt64)

// ruleSlack is by how much the platform extends each of its times.
const ruleSlack = 50 * time.Millisecond

// graceDivisor gives the part of the grace in which new work may begin. The rest is for a process that stands still
// between its last look at the clock and the write.
const graceDivisor = 2

// A worker that says it drains is asked again after firstRecheck, and then after twice as long each time, up to maxRecheck.
const (
	firstRecheck       = time.Second
	maxRecheck         = 8 * time.Second
	maxRecheckDoubling = 3
)

// The bounds of HealthCheckTimeout.
const (
	minHealthCheckTimeout = 50 * time.Millisecond
	maxHealthCheckTimeout = time.Second
)

// Rules are the times after which a front end counts as notified. Without a Silence, lists are valid without end.
type Rules struct {
	Silence time.Duration // after the service fell silent
	Break   time.Duration // after its stream broke off
	Grace   time.Duration // for which new work may begin at a worker after the notice that it drains
}

// HealthCheckTimeout is how long new work waits for a worker's response to a health check: as long as a connect may take,
// within bounds that leave the work time to go elsewhere.
func HealthCheckTimeout(connectTimeout time.Duration) time.Duration {
	return min(maxHealthCheckTimeout, max(minHealthCheckTimeout, connectTimeout))
}

// RecheckDelay is how long a worker is avoided that said for so many times in a row that it drains. It guards against taking
// one for good for what it may have said for another reason, such as too many health checks at a time.
func RecheckDelay(times int) time.Duration {
	return min(maxRecheck, firstRecheck<<min(max(0, times-1), maxRecheckDoubling))
}

// startMargin is for how long after a notice new work may begin.
func (r Rules) startMargin() time.Duration { return (r.Grace + ruleSlack) / graceDivisor }

// AcceptedUntil is until when new work may begin at a worker that accepted some at a time: had it begun to drain right
// after, the notice would not have come before.
func (r Rules) AcceptedUntil(at time.Duration) time.Duration {
	if r.Silence == 0 {
		return Unlimited
	}
	return at + r.startMargin()
}

// Lease is how long the endpoint list is valid. It is a value: a copy goes on by itself.
type Lease struct {
	rules       Rules
	confirmedAt time.Duration // when the list was last known to be what the service has
	notifiedAt  time.Duration // when this front end counts as notified of what came after
}

// New returns the lease on a list that was received at now and not confirmed by the service since: a change of that very
// moment may have been missed, as in a process that starts while the service is out of reach.
func New(rules Rules, now time.Duration) Lease {
	return Lease{rules: rules, confirmedAt: now, notifiedAt: now}
}

// Confirm notes that the list was what the service had at a time.
func (l *Lease) Confirm(asOf time.Duration) {
	l.confirmedAt = max(l.confirmedAt, asOf)
	l.notifiedAt = l.confirmedAt + l.rules.Silence
}

// Interrupt notes that the stream broke off, at any time since the list was last confirmed.
func (l *Lease) Interrupt() { l.notifiedAt = min(l.notifiedAt, l.confirmedAt+l.rules.Break) }

// Request notes that the service was asked at a time for what changed: what it had then counts as notified.
func (l *Lease) Request(at time.Duration) { l.notifiedAt = min(l.notifiedAt, at) }

// ConfirmedAt is when the list was last known to be what the service has.
func (l *Lease) ConfirmedAt() time.Duration { return l.confirmedAt }

// MayHaveRestarted reports whether a worker may have restarted without this front end being told, although by the rules it
// counts as notified. It is the same process if its connection is older than the list's last confirmation.
func (l *Lease) MayHaveRestarted(now, connectedAt time.Duration) bool {
	isSilentForLong := l.rules.Silence > 0 && now > l.confirmedAt+l.rules.Silence
	return isSilentForLong && connectedAt > l.confirmedAt
}

// Until is until when new work may begin at workers that the list has as ready.
func (l *Lease) Until() time.Duration {
	if l.rules.Silence == 0 {
		return Unlimited
	}
	return l.notifiedAt + l.rules.startMargin()
}
