package scheduler

import (
	"time"

	"havencart/internal/estimate"
)

const (
	maxLoadsInFlight   = 8                      // loads that this front end may have in flight
	breakerThreshold   = 3                      // consecutive load failures that open the breaker
	minBreakerOpenTime = 100 * time.Millisecond // first open period; doubles with each further failure
	maxBreakerOpenTime = 2 * time.Second
)

// allows reports whether another load may start. At most maxLoadsInFlight loads run at a time; none starts
// while the breaker is open, and afterwards one at a time until a load succeeds.
func (b *loadBreaker) allows(now time.Duration) bool {
	if b.loadsInFlight >= maxLoadsInFlight {
		return false
	}
	return b.failures < breakerThreshold || now >= b.openUntil && b.loadsInFlight == 0
}

// recordFailure records a failed load and may open the breaker. It guards against an outage of the function
// store: a request whose load fails is immediately sent to the next worker, and the resulting stream of
// fetches keeps the store from recovering. It does harm if only a few workers fail all of their loads,
// because loads on healthy workers are delayed too.
func (b *loadBreaker) recordFailure(now time.Duration, seed uint64) {
	if b.failures++; b.failures >= breakerThreshold && now >= b.openUntil {
		b.openFor = min(maxBreakerOpenTime, max(minBreakerOpenTime, 2*b.openFor))
		jitter := time.Duration(estimate.HashPair(seed, uint64(now)) % uint64(b.openFor))
		b.openUntil = now + b.openFor/2 + jitter
	}
}
