// Package reconnect decides when a front end connects again: to a worker (Backoff), and to the service from which it
// watches the list of endpoints. It also decides when a silent connection is closed (Keepalive). It is pure: times
// come in and go out as durations since the process's start, randomness comes from a seeded generator or as a number.
package reconnect

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the first wait, and the least wait even while requests need the connection.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the wait after many failures.
	maxBackoff = 5 * time.Second
	// backoffGrowth is the factor of decorrelated jitter: the next wait is drawn from minBackoff to this times the
	// last one.
	backoffGrowth = 3
	// backoffStream selects the generator's stream ("link" in ASCII), so that equal seeds elsewhere draw differently.
	backoffStream = 0x6c696e6b
)

// Backoff spaces the attempts to connect to one worker. Waits grow with each failure and are drawn at random, so that
// front ends that lost a worker together do not reconnect to it together. The rule is "decorrelated jitter" (M.
// Brooker, "Exponential Backoff And Jitter", 2015). It is not safe for concurrent use.
type Backoff struct {
	random     *rand.Rand
	wait       time.Duration // after the last failure, 0 since the last success
	lastFailed time.Duration
	nextDial   time.Duration
}

// NewBackoff returns a Backoff that allows a first attempt at once. Equal seeds give equal waits.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, backoffStream))}
}

// Failed records at now that an attempt failed or an established connection was lost.
func (b *Backoff) Failed(now time.Duration) {
	spread := max(minBackoff, backoffGrowth*b.wait) - minBackoff
	drawn := time.Duration(b.random.Int64N(int64(spread) + 1))
	b.wait = min(maxBackoff, minBackoff+drawn)
	b.lastFailed, b.nextDial = now, now+b.wait
}

// Requested records that a request waits for the connection. The next attempt is then made as soon as a worker that
// came back could be reached, but not earlier than minBackoff after the last failure.
func (b *Backoff) Requested() { b.nextDial = min(b.nextDial, b.lastFailed+minBackoff) }

// Connected records that the connection is established: waits start from the least again.
func (b *Backoff) Connected() { b.wait = 0 }

// NextDial is the time from which the next attempt may be made.
func (b *Backoff) NextDial() time.Duration { return b.nextDial }
