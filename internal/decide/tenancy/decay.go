package tenancy

import (
	"math"
	"time"
)

// decayedSum is an exponentially decayed sum: what was added at time s counts exp(-(now-s)/memory) of itself at now.
type decayedSum struct {
	value   float64
	updated time.Duration
}

// at decays the sum to now and returns it. Times must not go back.
func (s *decayedSum) at(now, memory time.Duration) float64 {
	s.value *= math.Exp(-float64(now-s.updated) / float64(memory))
	s.updated = now
	return s.value
}

// add decays the sum to now and adds amount.
func (s *decayedSum) add(now, memory time.Duration, amount float64) {
	s.value = s.at(now, memory) + amount
}

// outcomeCounter counts how requests ended, decayed.
type outcomeCounter struct{ all, missed decayedSum }

// add counts one request; missedObjective says that it failed for want of capacity.
func (c *outcomeCounter) add(now, memory time.Duration, missedObjective bool) {
	c.all.add(now, memory, 1)
	if missedObjective {
		c.missed.add(now, memory, 1)
	}
}

// at returns the counts at now.
func (c *outcomeCounter) at(now, memory time.Duration) (all, missed float64) {
	return c.all.at(now, memory), c.missed.at(now, memory)
}
