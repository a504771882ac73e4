// Package reconnect decides when a front end reconnects to a worker (Backoff) and to the service whose endpoint list it
// watches. It also decides when a silent connection is closed (Keepalive). The package does no I/O and reads no clock:
// times are passed in and returned as durations since the start of the process, and randomness comes from a seeded
// generator or is passed in as a number.
package reconnect

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the first delay, and the minimum delay even if requests are waiting for the connection.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the upper bound of the delay.
	maxBackoff = 5 * time.Second
	// backoffGrowth is the growth factor of decorrelated jitter: the next delay is drawn between minBackoff and
	// backoffGrowth times the last delay.
	backoffGrowth = 3
	// backoffStream is the stream number of the random generator ("link" in ASCII). It keeps the sequence independent of
	// other generators with the same seed.
	backoffStream = 0x6c696e6b
)

// Backoff computes the delays between attempts to connect to one worker. The delays grow with each failure and are
// drawn at random, so that front ends that lose a worker at the same time do not reconnect to it at the same time. The
// algorithm is "decorrelated jitter" (M. Brooker, "Exponential Backoff And Jitter", 2015). A Backoff is not safe for
// concurrent use.
type Backoff struct {
	random     *rand.Rand
	delay      time.Duration // delay after the last failure, reset to 0 by a success
	lastFailed time.Duration
	nextDial   time.Duration
}

// NewBackoff returns a Backoff that allows the first attempt immediately. Equal seeds give equal delays.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, backoffStream))}
}

// Failed records that an attempt failed or an established connection was lost at now.
func (b *Backoff) Failed(now time.Duration) {
	spread := max(minBackoff, backoffGrowth*b.delay) - minBackoff
	drawn := time.Duration(b.random.Int64N(int64(spread) + 1))
	b.delay = min(maxBackoff, minBackoff+drawn)
	b.lastFailed, b.nextDial = now, now+b.delay
}

// Requested records that a request is waiting for the connection. The next attempt is then allowed minBackoff after the
// last failure, so that a worker that has recovered is reached soon.
func (b *Backoff) Requested() { b.nextDial = min(b.nextDial, b.lastFailed+minBackoff) }

// Connected records that the connection is established, which resets the delay.
func (b *Backoff) Connected() { b.delay = 0 }

// NextDial returns the time from which the next attempt is allowed.
func (b *Backoff) NextDial() time.Duration { return b.nextDial }
