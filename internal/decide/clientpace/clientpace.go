// Package clientpace decides how fast the messages of client connections are read, so that clients that send at full
// speed do not take the processor time that the requests of other clients need. The package does no I/O and reads no
// clock: times are passed in as durations since the start of the process.
//
// Each connection has a Meter, a leaky bucket of the messages that were read. Requests that workers answer empty it again,
// however many there are: their number is bounded by the requests in flight and by the workers. All meters leak at the same rate, which a Controller lowers while goroutines of the process run late.
package clientpace

import (
	"math"
	"time"
)

// Levels of a Meter, as multiples of the requests that a client may have open.
const (
	// burst is the level from which reading pauses.
	burst = 8
	// initialLevel is the level of a new connection. The rest up to burst is little more than a client's open requests, so
	// that a client gains nothing by connecting anew.
	initialLevel = burst - 2
	// resumeLevel is the level at which reading goes on after a pause.
	resumeLevel = burst - 0.25
)

// Rates in messages per second.
const (
	maxRate = 500
	minRate = 50
)

// answeredCredit is by how many messages an answered request lowers the level. In an overload a client is read without
// pauses as long as workers answer one of so many of its requests.
const answeredCredit = 4

const (
	// lagTarget is the acceptable lag of a goroutine.
	lagTarget = 5 * time.Millisecond
	// lagInterval is the time after which the rate is adapted to the worst lag within it.
	lagInterval = 100 * time.Millisecond
	// lagBackoff is the factor of the rate after an interval with a lag above lagTarget.
	lagBackoff = 0.5
	// lagRecovery is the factor of the rate after an interval without one.
	lagRecovery = 1.1
)

// Meter is the leaky bucket of one connection. NewMeter returns that of a new connection.
type Meter struct {
	maxOpen float64       // requests that the client may have open
	started bool          // whether a message was read
	level   float64       // messages, at leakAt
	leakAt  time.Duration // when the level was last lowered by the leak
}

// NewMeter returns the meter of a new connection on which a client may have maxOpen requests open.
func NewMeter(maxOpen int) Meter {
	return Meter{maxOpen: float64(maxOpen), level: initialLevel * float64(maxOpen)}
}

// RecordRead records that a message was read at now, where rate is the result of Controller.Rate.
func (m *Meter) RecordRead(now time.Duration, rate float64) {
	m.leak(now, rate)
	m.level++
}

// RecordAnswered records that a worker answered a request of the connection.
func (m *Meter) RecordAnswered() { m.level = max(0, m.level-answeredCredit) }

// Pause returns for how long the connection must not be read from now on, or 0 if it may be read.
func (m *Meter) Pause(now time.Duration, rate float64) time.Duration {
	m.leak(now, rate)
	if m.level < burst*m.maxOpen {
		return 0
	}
	return time.Duration((m.level - resumeLevel*m.maxOpen) / rate * float64(time.Second))
}

// leak lowers the level by what has leaked until now.
func (m *Meter) leak(now time.Duration, rate float64) {
	if m.started {
		m.level = max(0, m.level-rate*(now-m.leakAt).Seconds())
	}
	m.started, m.leakAt = true, now
}

// Controller determines the rate at which meters leak from the lag of the process, by multiplicative decrease and
// increase. The zero value is ready to use.
type Controller struct {
	started    bool
	rate       float64
	intervalAt time.Duration // start of the current interval
	worstLag   time.Duration // in the current interval
}

// ObserveLag records that a goroutine ran that much later than it could have, at now.
func (c *Controller) ObserveLag(now, lag time.Duration) {
	c.advance(now)
	c.worstLag = max(c.worstLag, lag)
}

// Rate returns the rate at now in messages per second.
func (c *Controller) Rate(now time.Duration) float64 {
	c.advance(now)
	return c.rate
}

// advance ends the intervals that have passed until now.
func (c *Controller) advance(now time.Duration) {
	if !c.started {
		c.started, c.rate, c.intervalAt = true, maxRate, now
	}
	passed := int((now - c.intervalAt) / lagInterval)
	if passed < 1 {
		return
	}
	c.intervalAt += time.Duration(passed) * lagInterval
	if c.worstLag > lagTarget {
		c.rate = max(minRate, lagBackoff*c.rate)
		passed--
	}
	c.worstLag = 0
	c.rate = min(maxRate, c.rate*math.Pow(lagRecovery, float64(passed)))
}
