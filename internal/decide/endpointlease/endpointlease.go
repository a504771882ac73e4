// Package endpointlease implements the endpoint lease: for how long a front end may rely on its endpoint list without a
// new confirmation from the endpoint service, and for how long it may rely on a worker's own confirmation instead.
//
// An endpoint list is a snapshot. The platform's rules set times after which a front end counts as notified of a
// change, even if it could not reach the endpoint service. After that time and the drain grace period, no new work may
// start at a worker that is draining or was removed. The package does no I/O and reads no clock: times are durations
// since the start of the process.
package endpointlease

import (
	"math"
	"time"
)

// Unlimited is the expiry time of a lease that never expires.
const Unlimited = time.Duration(math.MaxInt64)

// neverValid is the expiry time of a lease that has not begun. It is before the start of the process.
const neverValid = time.Duration(-1)

// FirstConfirmationWait is how long new work may wait, from the start of the process, for the first confirmation of the
// endpoint list. A service that can be reached confirms a list within a second of each connection, and a connection that
// breaks or moves to another address is replaced meanwhile.
const FirstConfirmationWait = 3 * time.Second

// ruleSlack is the tolerance that the platform adds to each time in its rules.
const ruleSlack = 50 * time.Millisecond

// graceDivisor is the divisor that gives the part (1/2) of the drain grace period in which new work may start. The rest
// covers a stall of the process between its last reading of the clock and the write.
const graceDivisor = 2

// A worker that reports that it is draining is checked again after minRecheckDelay. The delay doubles with each further
// such report, up to maxRecheckDelay.
const (
	minRecheckDelay     = time.Second
	maxRecheckDelay     = 8 * time.Second
	maxRecheckDoublings = 3
)

// Bounds of HealthCheckTimeout.
const (
	minHealthCheckTimeout = 50 * time.Millisecond
	maxHealthCheckTimeout = time.Second
)

// Rules are the platform's times after which a front end counts as notified of a change. If NotifiedAfterSilence is 0,
// endpoint lists never expire.
type Rules struct {
	NotifiedAfterSilence      time.Duration // time from the start of the service's silence until notification
	NotifiedAfterInterruption time.Duration // time from an interruption of the service's stream until notification
	DrainGrace                time.Duration // how long after notification new work may start at a draining worker
}

// HealthCheckTimeout returns how long new work waits for a worker's response to a health check: the connect timeout,
// within bounds that leave enough time to send the work to another worker.
func HealthCheckTimeout(connectTimeout time.Duration) time.Duration {
	return min(maxHealthCheckTimeout, max(minHealthCheckTimeout, connectTimeout))
}

// RecheckDelay returns how long a worker is avoided after it has reported several times in a row that it is draining.
// The delay is bounded because a worker may give that response for another reason, such as too many concurrent health
// checks, and must not be avoided forever.
func RecheckDelay(times int) time.Duration {
	return min(maxRecheckDelay, minRecheckDelay<<min(max(0, times-1), maxRecheckDoublings))
}

// startMargin returns for how long after the notification new work may start.
func (r Rules) startMargin() time.Duration { return (r.DrainGrace + ruleSlack) / graceDivisor }

// AcceptanceValidUntil returns until when new work may start at a worker that accepted work at the given time. Even if
// the worker began to drain immediately afterwards, the notification cannot have preceded that time.
func (r Rules) AcceptanceValidUntil(at time.Duration) time.Duration {
	if r.NotifiedAfterSilence == 0 {
		return Unlimited
	}
	return at + r.startMargin()
}

// Lease tracks how long an endpoint list is valid. It has value semantics: a copy is independent of the original.
type Lease struct {
	rules       Rules
	confirmed   bool          // whether the list was ever confirmed
	confirmedAt time.Duration // last time at which the list was known to match the service's; the start before that
	notifiedAt  time.Duration // time at which this front end counts as notified of any later change
}

// New returns the lease on a list that was received at now and that the service has not confirmed since. It begins with
// the first confirmation: a process that starts while the service is unreachable cannot know how old its list is, and
// may count as notified of changes from long before its start.
func New(rules Rules, now time.Duration) Lease {
	return Lease{rules: rules, confirmedAt: now, notifiedAt: now}
}

// Confirm records that the list matched the service's at the time asOf.
func (l *Lease) Confirm(asOf time.Duration) {
	l.confirmed = true
	l.confirmedAt = max(l.confirmedAt, asOf)
	l.notifiedAt = l.confirmedAt + l.rules.NotifiedAfterSilence
}

// Interrupt records that the stream from the service was interrupted at some time since the last confirmation.
func (l *Lease) Interrupt() {
	l.notifiedAt = min(l.notifiedAt, l.confirmedAt+l.rules.NotifiedAfterInterruption)
}

// RequestUpdate records that changes were requested from the service at the given time. The front end counts as
// notified of all changes that the service had by then.
func (l *Lease) RequestUpdate(at time.Duration) { l.notifiedAt = min(l.notifiedAt, at) }

// ConfirmedAt returns the last time at which the list was known to match the service's.
func (l *Lease) ConfirmedAt() time.Duration { return l.confirmedAt }

// MayHaveRestarted reports whether a worker may have restarted without this front end learning of it, although the
// rules count the front end as notified. A worker whose connection is older than the last confirmation of the list is
// still the same process.
func (l *Lease) MayHaveRestarted(now, connectedAt time.Duration) bool {
	silenceExceeded := l.rules.NotifiedAfterSilence > 0 && now > l.confirmedAt+l.rules.NotifiedAfterSilence
	return silenceExceeded && connectedAt > l.confirmedAt
}

// MayBeOtherProcess reports whether a new process may have come up at a worker's address before a connection was
// established there at the given time, without this front end learning of it from a confirmed list.
func (l *Lease) MayBeOtherProcess(connectedAt time.Duration) bool {
	return l.rules.NotifiedAfterSilence > 0 && connectedAt > l.confirmedAt
}

// ValidUntil returns the time until which new work may start at workers that the list shows as ready.
func (l *Lease) ValidUntil() time.Duration {
	if l.rules.NotifiedAfterSilence == 0 {
		return Unlimited
	}
	if !l.confirmed {
		return neverValid
	}
	return l.notifiedAt + l.rules.startMargin()
}
