// Package execution is the guard on what may execute: it permits or forbids each attempt of a request, says until when the
// attempt may be written, and checks the final response against what may have executed. Every front end has all its
// requests pass it, whichever scheduler decides about them, so that a fault in a decision, or a delay between a decision
// and its effect, cannot execute a request twice.
//
// The scheduler keeps the same rules in its decisions. What the guard forbids is therefore a fault of the program; the
// front end counts it by its Violation and does what is safe. The package is pure: times come in as durations since the
// process's start.
package execution

import (
	"time"

	"havencart/scheduler"
)

// Location is where a worker stands, as far as the scope of an idempotency key depends on it.
type Location struct {
	Zone, Cell string
}

// Record is what was done for one request. The zero value is not usable; see NewRecord.
type Record struct {
	class     *scheduler.Class
	attempt   attempt // the one in flight
	inFlight  bool
	closed    bool
	executed  bool    // an attempt that ended may have executed
	execution attempt // the first one that may have, valid if executed
}

// attempt is where and when an attempt was sent.
type attempt struct {
	sentAt time.Duration
	worker Location
}

// NewRecord returns the record of a request of a class for which nothing was done.
func NewRecord(class *scheduler.Class) Record { return Record{class: class} }

// Permit allows one attempt to be written until a time.
type Permit struct {
	NotAfter time.Duration // its write may neither begin nor go on after this
}

// Start permits an attempt at a worker from now until the request's deadline at most, or says which rule forbids it; then
// the record is as it was. A retry of what may have executed is permitted only until its key may be forgotten: that
// guards against one that is decided in time and waits for a connection, in a queue, or in a process that stands still.
func (r *Record) Start(now, deadline time.Duration, worker Location) (Permit, Violation) {
	switch {
	case r.closed:
		return Permit{}, SendAfterFinalResponse
	case r.inFlight:
		return Permit{}, SecondAttemptInFlight
	}
	permit := Permit{NotAfter: deadline}
	if r.executed {
		if violation := r.forbidsRetry(now, worker); violation != NoViolation {
			return Permit{}, violation
		}
		if r.class.Idempotency == scheduler.IdempotentByKey {
			permit.NotAfter = min(deadline, r.keyExpiry())
		}
	}
	r.inFlight = true
	r.attempt = attempt{sentAt: now, worker: worker}
	return permit, NoViolation
}

// forbidsRetry is the rule that forbids another attempt of a request that may have executed, or NoViolation.
func (r *Record) forbidsRetry(now time.Duration, worker Location) Violation {
	switch r.class.Idempotency {
	case scheduler.Idempotent:
		return NoViolation
	case scheduler.NonIdempotent:
		return RetryOfNonIdempotent
	}
	switch {
	case now >= r.keyExpiry():
		return RetryAfterKeyExpired
	case !r.inScope(worker):
		return RetryOutsideKeyScope
	}
	return NoViolation
}

// keyExpiry is when workers may have forgotten the idempotency key, counted from the first attempt that may have
// executed.
func (r *Record) keyExpiry() time.Duration { return r.execution.sentAt + r.class.KeyRetention }

// inScope reports whether a worker drops the repeat of what may have executed.
func (r *Record) inScope(worker Location) bool {
	switch r.class.KeyScope {
	case scheduler.ScopeAll:
		return true
	case scheduler.ScopeZone:
		return worker.Zone == r.execution.worker.Zone
	case scheduler.ScopeCell:
		return worker.Cell == r.execution.worker.Cell
	}
	return false
}

// End notes how the attempt in flight ended. It does nothing if there is none.
func (r *Record) End(status scheduler.Status) {
	if r.inFlight && status.MayHaveExecuted() && !r.executed {
		r.executed = true
		r.execution = r.attempt
	}
	r.inFlight = false
}

// MayHaveExecuted reports whether an attempt that ended may have executed without a response.
func (r *Record) MayHaveExecuted() bool { return r.executed }

// ExecutionAge is how long ago the first attempt was sent that may have executed, 0 if none may.
func (r *Record) ExecutionAge(now time.Duration) time.Duration {
	if !r.executed {
		return 0
	}
	return now - r.execution.sentAt
}

// MayReject checks whether the final response at now may be a rejection, which promises the client that another try does
// no harm. A request that may have executed is failed instead, unless a try anywhere is dropped or harmless.
func (r *Record) MayReject(now time.Duration) Violation {
	switch {
	case r.closed:
		return SecondFinalResponse
	case r.class.Idempotency == scheduler.Idempotent:
		return NoViolation
	case r.inFlight:
		return RejectionWithAttemptInFlight
	case r.executed && !r.mayPromise(now):
		return RejectionAfterExecution
	}
	return NoViolation
}

// mayPromise reports whether a client may be told that another try of what may have executed does no harm: wherever
// the try goes, its key must still be known there.
func (r *Record) mayPromise(now time.Duration) bool {
	isKnownEverywhere := r.class.Idempotency == scheduler.IdempotentByKey && r.class.KeyScope == scheduler.ScopeAll
	return isKnownEverywhere && now < r.keyExpiry()
}

// Close notes that the final response was given, or that none is owed any longer: nothing may be sent after it.
func (r *Record) Close() { r.closed = true }
