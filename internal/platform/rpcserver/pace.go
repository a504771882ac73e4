package rpcserver

import (
	"net"
	"sync"
	"time"

	"havencart/internal/decide/clientpace"
	"havencart/internal/socket"
)

const (
	// readsPerMessage is how many reads within a message count as another message, so that a client gains nothing by
	// sending single bytes. A message of the maximum size takes fewer, if its packets are full.
	readsPerMessage = 32
	// hangUpCheckInterval is the time between two checks whether the client has disconnected, while its connection is not
	// read and requests of it are in flight. What begins for them must begin within 0.1 s of the disconnect.
	hangUpCheckInterval = 40 * time.Millisecond
	// violationLinger is how long a connection stays open after its client has violated the protocol and the error
	// response is queued, so that a client that connects again at once cannot do so at full speed.
	violationLinger = 100 * time.Millisecond
)

// pacer adapts the rate at which connections may be read to the lag of the process. It may be used by any goroutine.
type pacer struct {
	start time.Time

	mu         sync.Mutex
	controller clientpace.Controller
}

func newPacer() *pacer { return &pacer{start: time.Now()} }

// now returns the time since the pacer was created.
func (p *pacer) now() time.Duration { return time.Since(p.start) }

// observeLag records that a goroutine ran that much later than it could have.
func (p *pacer) observeLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.ObserveLag(p.now(), lag)
}

// rate returns the current rate in messages per second.
func (p *pacer) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Rate(p.now())
}

// Read implements io.Reader for the buffer of the reading goroutine. It counts reads, of which a client that sends its
// messages in many parts causes many.
func (c *conn) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads >= readsPerMessage {
		c.recordRead()
		if !c.awaitPace() {
			return 0, net.ErrClosed
		}
	}
	return c.arrivals.Read(buffer)
}

// recordRead counts a message that was read, or as many reads as count as one.
func (c *conn) recordRead() {
	c.reads = 0
	rate := c.server.pacer.rate()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.RecordRead(c.server.pacer.now(), rate)
}

// awaitPace waits until the connection may be read again. It returns false if the connection has ended meanwhile.
func (c *conn) awaitPace() (open bool) {
	for {
		pause := c.nextPause()
		if pause <= 0 {
			return true
		}
		if !c.sleep(pause) {
			return false
		}
		c.readableSince = time.Now()
	}
}

// nextPause returns how long the reading goroutine must wait, or 0 if it may read.
func (c *conn) nextPause() time.Duration {
	rate := c.server.pacer.rate()
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := c.pace.Pause(c.server.pacer.now(), rate)
	if pause > 0 && c.pauses == 0 {
		c.logPaced(rate)
	}
	if pause > 0 {
		c.pauses++
		c.server.pauses.Add(1)
	}
	if len(c.inFlight) > 0 {
		pause = min(pause, hangUpCheckInterval)
	}
	return pause
}

// logPaced logs that a connection is not read for a while, for the first time. It requires that c.mu is held.
func (c *conn) logPaced(rate float64) {
	c.server.log.Info().Stringer("client", c.netConn.RemoteAddr()).Uint64("messages", c.messages).Int("in-flight", len(c.inFlight)).
		Float64("rate", rate).Dur("age", c.age()).Msg("client connection read at a limited rate")
}

// sleep waits for a time, and reports whether the connection is still open then. The client may have closed it: what is
// unread then needs no response.
func (c *conn) sleep(pause time.Duration) (open bool) {
	due := time.Now().Add(pause)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
		return false
	}
	c.server.pacer.observeLag(time.Since(due))
	return !socket.PeerHungUp(c.netConn)
}

// linger keeps the connection open for violationLinger, unless it ends before.
func (c *conn) linger() {
	timer := time.NewTimer(violationLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

// receivedAt returns the time from which the timeout of the message that was just read counts. If the connection was not
// read for a while, the message may have arrived at any time since the connection was last seen without unread data.
func (c *conn) receivedAt() time.Time {
	arrivedAfter := c.arrivals.ArrivedAfter()
	if arrivedAfter.IsZero() {
		arrivedAfter = c.acceptedAt
	}
	if c.readableSince.After(arrivedAfter) {
		return arrivedAfter
	}
	return time.Now()
}
