package scheduler

import (
	"time"

	"havencart/internal/estimate"
)

const (
	maxLoadsInFlight   = 8                      // of this front end
	breakerThreshold   = 3                      // loads failed, none succeeded between, that open it
	minBreakerOpenTime = 100 * time.Millisecond // for so long, doubled by each load that fails then
	maxBreakerOpenTime = 2 * time.Second
)

// allows is whether another load may start: few at once, none while the breaker is open, then one at a time.
func (b *loadBreaker) allows(now time.Duration) bool {
	if b.loadsInFlight >= maxLoadsInFlight {
		return false
	}
	return b.failures < breakerThreshold || now >= b.openUntil && b.loadsInFlight == 0
}

// recordFailure takes a failed load. It guards against a function store that has stopped: a request whose
// load fails at once goes to the next worker at once, and so many fetches keep the store down. It would harm
// where a few workers fail each load that they start: the others' loads wait too.
func (b *loadBreaker) recordFailure(now time.Duration, seed uint64) {
	if b.failures++; b.failures >= breakerThreshold && now >= b.openUntil {
		b.openFor = min(maxBreakerOpenTime, max(minBreakerOpenTime, 2*b.openFor))
		jitter := time.Duration(estimate.Mix(seed, uint64(now)) % uint64(b.openFor))
		b.openUntil = now + b.openFor/2 + jitter
	}
}
