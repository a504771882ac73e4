package tenancy

import (
	"math"
	"time"
)

// decayedSum is an exponentially decayed sum: an amount added at time s contributes amount * exp(-(now-s)/memory) to
// the sum at now.
type decayedSum struct {
	value   float64
	updated time.Duration
}

// at decays the sum to now and returns it. Times must not decrease.
func (s *decayedSum) at(now, memory time.Duration) float64 {
	s.value *= math.Exp(-float64(now-s.updated) / float64(memory))
	s.updated = now
	return s.value
}

// add decays the sum to now and adds amount.
func (s *decayedSum) add(now, memory time.Duration, amount float64) {
	s.value = s.at(now, memory) + amount
}

// outcomeCounter keeps decayed counts of all ended requests and of those that missed their objective.
type outcomeCounter struct{ all, missed decayedSum }

// add counts one request; missedObjective tells whether it missed its objective for lack of capacity.
func (c *outcomeCounter) add(now, memory time.Duration, missedObjective bool) {
	c.all.add(now, memory, 1)
	if missedObjective {
		c.missed.add(now, memory, 1)
	}
}

// at returns the decayed counts at now.
func (c *outcomeCounter) at(now, memory time.Duration) (all, missed float64) {
	return c.all.at(now, memory), c.missed.at(now, memory)
}
