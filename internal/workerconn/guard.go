package workerconn

import (
	"sync/atomic"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/looplag"
)

// LeaseRetryInterval is the interval at which a client checks the send lease again while new work is deferred.
const LeaseRetryInterval = 5 * time.Millisecond

// WriteGuard is shared by an event loop and its worker clients. It keeps the clients from writing new work that the
// loop would no longer allow, by means of two leases, and counts violations. New work means attempts and orders to load
// replicas.
//
// The send lease protects against a stall of the process: when the process resumes, its writers may run before the loop
// has received which workers are draining and which clients have disconnected meanwhile. The loop renews the lease once
// it has received that. Without a valid lease, new work stays queued.
//
// The endpoint lease protects against sending work that was scheduled according to the endpoint list and then waited
// for a connection until the list was no longer valid. Without a valid lease, new work is sent only if its worker has
// confirmed that it accepts new work.
//
// A nil WriteGuard allows all writes and counts nothing. The methods may be called from any goroutine.
type WriteGuard struct {
	renewedAt        atomic.Int64 // last renewal of the send lease, on the clock of the loop and its clients
	endpointLeaseEnd atomic.Int64 // end of the endpoint lease, on the same clock; 0: it never ends
	violations       [execution.NumViolations]atomic.Uint64
}

// RenewSendLease renews the send lease as of now.
func (g *WriteGuard) RenewSendLease(now time.Duration) { g.renewedAt.Store(int64(now)) }

// mayWriteNewWork reports whether the send lease is valid at now.
func (g *WriteGuard) mayWriteNewWork(now time.Duration) bool {
	return g == nil || now-time.Duration(g.renewedAt.Load()) <= looplag.SendLease()
}

// SetEndpointLease sets the end of the endpoint lease. Until then, new work may be sent to workers that are ready
// on the endpoint list.
func (g *WriteGuard) SetEndpointLease(until time.Duration) { g.endpointLeaseEnd.Store(int64(until)) }

// isConfirmed reports whether new work may be sent at now: either the worker itself has confirmed that it accepts new
// work until confirmedUntil, or the endpoint lease is valid.
func (g *WriteGuard) isConfirmed(now, confirmedUntil time.Duration) bool {
	if g == nil || now <= confirmedUntil {
		return true
	}
	until := time.Duration(g.endpointLeaseEnd.Load())
	return until == 0 || now <= until
}

// CountViolation counts one violation.
func (g *WriteGuard) CountViolation(violation execution.Violation) {
	if g != nil {
		g.violations[violation].Add(1)
	}
}

// Violations returns how often each violation was counted, indexed by execution.Violation.
func (g *WriteGuard) Violations() (counts [execution.NumViolations]uint64) {
	for violation := range counts {
		counts[violation] = g.violations[violation].Load()
	}
	return counts
}
