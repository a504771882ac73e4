package workerconn

import (
	"sync/atomic"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/looplag"
)

// LeaseRetryInterval is after how long a client looks again for the lease while new work is held back.
const LeaseRetryInterval = 5 * time.Millisecond

// Guard is what an event loop and its worker clients share so that nothing is written that the loop would no longer allow:
// the leases on writing new work, and the violations that were counted. New work is attempts and orders to load.
//
// The loop's lease guards against a process that stood still: its writers run again before the loop has received which
// workers drain and which clients left meanwhile. The loop renews the lease when it has; without one, new work stays queued.
//
// The lease on the endpoint list guards against work that waited for its connection while the list, by which it was decided,
// ceased to hold. Without one, new work is not sent unless its worker has confirmed that it accepts some.
//
// A nil Guard holds nothing back and counts nothing. Its methods may be called from any goroutine.
type Guard struct {
	renewedAt      atomic.Int64 // on the clock of the loop and its clients
	endpointsUntil atomic.Int64 // end of the lease on the endpoint list, on the same clock; 0: it never ends
	violations     [execution.Violations]atomic.Uint64
}

// Renew extends the lease from now.
func (g *Guard) Renew(now time.Duration) { g.renewedAt.Store(int64(now)) }

// mayWriteNewWork reports whether the lease holds at now.
func (g *Guard) mayWriteNewWork(now time.Duration) bool {
	return g == nil || now-time.Duration(g.renewedAt.Load()) <= looplag.SendLease()
}

// SetEndpointLease sets until when new work may be sent to workers that the endpoint list has as ready.
func (g *Guard) SetEndpointLease(until time.Duration) { g.endpointsUntil.Store(int64(until)) }

// isConfirmed reports whether new work may begin at now at a worker that itself has confirmed until a time that it accepts
// some: else the endpoint list must confirm it.
func (g *Guard) isConfirmed(now, confirmedUntil time.Duration) bool {
	if g == nil || now <= confirmedUntil {
		return true
	}
	until := time.Duration(g.endpointsUntil.Load())
	return until == 0 || now <= until
}

// Count counts a violation.
func (g *Guard) Count(violation execution.Violation) {
	if g != nil {
		g.violations[violation].Add(1)
	}
}

// Violations returns how often each violation was counted, by Violation.
func (g *Guard) Violations() (counts [execution.Violations]uint64) {
	for violation := range counts {
		counts[violation] = g.violations[violation].Load()
	}
	return counts
}
