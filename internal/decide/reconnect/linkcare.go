// Package reconnect decides when a front end dials a worker again and when a silent connection is given up.
// It is pure: times come in and go out as durations since the process's start, chance from a seeded generator.
package reconnect

import (
	"math/rand/v2"
	"time"
)

const (
	redialLeast = 50 * time.Millisecond // first wait, and the least even where calls wait
	redialMost  = 5 * time.Second
	redialRise  = 3 // decorrelated jitter: the next wait is drawn from the least to this times the last
	pingAfter   = time.Second
	deadAfter   = 4 * time.Second
)

// Redial spaces the attempts to connect to one worker: waits grow with each failure and are drawn at random,
// so that front ends which lost a worker together do not come back to it together. The rule is "decorrelated
// jitter" (M. Brooker, "Exponential Backoff And Jitter", 2015).
type Backoff struct {
	rng    *rand.Rand
	wait   time.Duration
	failed time.Duration
	next   time.Duration
}

// NewRedial returns a Redial that may dial at once.
func NewBackoff(seed uint64) *Backoff { return &Backoff{rng: rand.New(rand.NewPCG(seed, 0x6c696e6b))} }

// Failed takes a failed attempt, or a connection lost, at now.
func (r *Backoff) Failed(now time.Duration) {
	span := max(redialLeast, redialRise*r.wait) - redialLeast
	r.wait = min(redialMost, redialLeast+time.Duration(r.rng.Int64N(int64(span)+1)))
	r.failed, r.next = now, now+r.wait
}

// Wanted takes the news that a call waits for the connection. It is then dialled as soon as a worker that came
// back could be reached, not before: an attempt each redialLeast.
func (r *Backoff) Requested() { r.next = min(r.next, r.failed+redialLeast) }

// Up takes the news that a connection stands.
func (r *Backoff) Connected() { r.wait = 0 }

// Next is the time from which the next attempt may be made.
func (r *Backoff) NextDial() time.Duration { return r.next }

// Verdict says what to do with a connection.
type Verdict int

// The verdicts.
const (
	Wait Verdict = iota // nothing until the time told
	Ping                // ask for a sign of life
	Dead                // close it: the other side is gone, or the path to it
)

// Pulse judges one connection by when it was last heard from. It guards against connections that are half
// open: the peer's machine died or a path was cut, and nothing ever says so.
type Keepalive struct {
	heard, pinged time.Duration
}

// NewPulse returns the Pulse of a connection that was set up at now.
func NewKeepalive(now time.Duration) *Keepalive {
	return &Keepalive{heard: now, pinged: now - pingAfter}
}

// Heard takes the news that the peer sent something at now.
func (p *Keepalive) Received(now time.Duration) { p.heard = max(p.heard, now) }

// Check says what to do at now, and when to check again.
func (p *Keepalive) Check(now time.Duration) (Verdict, time.Duration) {
	switch {
	case now-p.heard >= deadAfter:
		return Dead, now
	case now-p.heard >= pingAfter && now-p.pinged >= pingAfter:
		p.pinged = now
		return Ping, min(now+pingAfter, p.heard+deadAfter)
	}
	return Wait, min(max(p.heard, p.pinged)+pingAfter, p.heard+deadAfter)
}

// WriteLimit is how long one write may stand still before the connection is given up.
func WriteTimeout() time.Duration { return deadAfter }
