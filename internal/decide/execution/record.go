// Package execution guards the execution of requests: it permits or forbids each attempt, limits the time until which
// the attempt may be written, and checks the final response against the attempts that may have executed. Every front
// end passes all requests through this guard, whichever scheduler it uses, so that neither a fault in a decision nor a
// delay between a decision and its effect can execute a request twice.
//
// The scheduler follows the same rules in its decisions. Anything that the guard forbids is therefore a program fault;
// the front end counts it by its Violation and takes the safe action instead. The package does no I/O and reads no
// clock: times are passed in as durations since the start of the process.
package execution

import (
	"time"

	"havencart/scheduler"
)

// Location is a worker's zone and cell, which determine whether the worker is in the scope of an idempotency key.
type Location struct {
	Zone, Cell string
}

// Record is the execution history of one request. The zero value is not usable; see NewRecord.
type Record struct {
	class           *scheduler.Class
	attempt         attempt // attempt in flight, valid if inFlight
	inFlight        bool
	closed          bool
	mayHaveExecuted bool    // whether an attempt that has ended may have executed
	firstExecution  attempt // first attempt that may have executed, valid if mayHaveExecuted
}

// attempt records the worker and the time of an attempt.
type attempt struct {
	sentAt time.Duration
	worker Location
}

// NewRecord returns the record of a request of the given class that has had no attempt.
func NewRecord(class *scheduler.Class) Record { return Record{class: class} }

// Permit allows one attempt to be written for a limited time.
type Permit struct {
	NotAfter time.Duration // time after which the write may neither start nor continue
}

// Start permits an attempt at a worker, from now until the request's deadline at the latest. If a rule forbids the
// attempt, Start returns the violation and leaves the record unchanged.
//
// A retry of a request that may have executed is permitted only until the retention of its idempotency key ends. This
// protects against a retry that is decided in time but delayed while it waits for a connection, in a queue or in a
// stalled process.
func (r *Record) Start(now, deadline time.Duration, worker Location) (Permit, Violation) {
	switch {
	case r.closed:
		return Permit{}, SendAfterFinalResponse
	case r.inFlight:
		return Permit{}, SecondAttemptInFlight
	}
	permit := Permit{NotAfter: deadline}
	if r.mayHaveExecuted {
		if violation := r.retryViolation(now, worker); violation != NoViolation {
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

// retryViolation returns the rule that forbids a retry of a request that may have executed, or NoViolation.
func (r *Record) retryViolation(now time.Duration, worker Location) Violation {
	switch r.class.Idempotency {
	case scheduler.Idempotent:
		return NoViolation
	case scheduler.NonIdempotent:
		return RetryOfNonIdempotent
	}
	switch {
	case now >= r.keyExpiry():
		return RetryAfterKeyExpired
	case !r.inKeyScope(worker):
		return RetryOutsideKeyScope
	}
	return NoViolation
}

// keyExpiry returns the time from which workers may have forgotten the idempotency key. The retention is counted from
// the first attempt that may have executed.
func (r *Record) keyExpiry() time.Duration { return r.firstExecution.sentAt + r.class.KeyRetention }

// inKeyScope reports whether the worker is in the scope of the idempotency key, so that it does not execute a request
// again that may have executed.
func (r *Record) inKeyScope(worker Location) bool {
	switch r.class.KeyScope {
	case scheduler.ScopeAll:
		return true
	case scheduler.ScopeZone:
		return worker.Zone == r.firstExecution.worker.Zone
	case scheduler.ScopeCell:
		return worker.Cell == r.firstExecution.worker.Cell
	}
	return false
}

// End records the status with which the attempt in flight ended. It does nothing if no attempt is in flight.
func (r *Record) End(status scheduler.Status) {
	if r.inFlight && status.MayHaveExecuted() && !r.mayHaveExecuted {
		r.mayHaveExecuted = true
		r.firstExecution = r.attempt
	}
	r.inFlight = false
}

// MayHaveExecuted reports whether an attempt that has ended may have executed without a response.
func (r *Record) MayHaveExecuted() bool { return r.mayHaveExecuted }

// ExecutionAge returns the time since the first attempt that may have executed was sent, or 0 if no attempt may have.
func (r *Record) ExecutionAge(now time.Duration) time.Duration {
	if !r.mayHaveExecuted {
		return 0
	}
	return now - r.firstExecution.sentAt
}

// MayReject checks whether the final response at now may be a rejection, and returns the violation if it may not. A
// rejection promises the client that sending the request again is safe. A request that may have executed is failed
// instead, unless it is idempotent or its key is still known to all workers.
func (r *Record) MayReject(now time.Duration) Violation {
	switch {
	case r.closed:
		return SecondFinalResponse
	case r.class.Idempotency == scheduler.Idempotent:
		return NoViolation
	case r.inFlight:
		return RejectionWithAttemptInFlight
	case r.mayHaveExecuted && !r.safeToResend(now):
		return RejectionAfterExecution
	}
	return NoViolation
}

// safeToResend reports whether a client may safely send a request again that may have executed: its key must still be
// known to every worker, since the request may reach any of them.
func (r *Record) safeToResend(now time.Duration) bool {
	knownToAllWorkers := r.class.Idempotency == scheduler.IdempotentByKey && r.class.KeyScope == scheduler.ScopeAll
	return knownToAllWorkers && now < r.keyExpiry()
}

// Close records that the final response was given or is no longer needed. No attempt may be sent afterwards.
func (r *Record) Close() { r.closed = true }
