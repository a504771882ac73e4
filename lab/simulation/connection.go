package simulation

import (
	"errors"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// Reasons for the end of a connection.
var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
	errTimeout = errors.New("connection timed out")
	errSilent  = errors.New("no sign of life")
)

// connectionState is the state of a front end's connection to a worker.
type connectionState int

const (
	disconnected connectionState = iota
	dialing
	connected
	breaking // the worker has lost the connection, but the front end has not noticed yet
)

// openPaths opens both directions of a new connection.
func (c *workerClient) openPaths() {
	c.closePaths()
	c.toWorker = c.sim.network.NewPath(c.zone, c.workerZone)
	c.fromWorker = c.sim.network.NewPath(c.workerZone, c.zone)
}

// closePaths closes both directions of the current connection and drops the messages in flight.
func (c *workerClient) closePaths() {
	if c.toWorker != nil {
		c.toWorker.Close()
		c.fromWorker.Close()
	}
	c.keepalive = nil
}

// sendToWorker sends a message that calls f at the worker. The message is lost if the connection breaks meanwhile.
func (c *workerClient) sendToWorker(f func()) { c.toWorker.Send(f) }

// sendToFrontEnd sends a message that calls f at the front end. The message is lost if the connection breaks meanwhile.
func (c *workerClient) sendToFrontEnd(f func()) {
	c.fromWorker.Send(func() {
		if c.keepalive != nil {
			c.keepalive.Received(c.sim.clock.Now())
		}
		f()
	})
}

// dial starts to connect to the worker. This takes one round trip for the connection, one for the hello and the
// welcome, and the duration of the handshake. The connect timeout of the settings limits the total time.
func (c *workerClient) dial() {
	if c.state != disconnected || c.stopped {
		return
	}
	c.state = dialing
	c.openPaths()
	cancelTimeout := c.sim.clock.After(c.sim.settings.ConnectTimeout, c.dialTimedOut)
	welcome := func() {
		cancelTimeout()
		c.handshakeDone()
	}
	handshake := func() {
		duration := c.sim.cfg.Handshake + c.sim.handshakeDelay[c.index]
		c.sim.clock.After(duration, func() { c.fromWorker.Send(welcome) })
	}
	c.toWorker.Send(func() {
		c.fromWorker.Send(func() {
			c.toWorker.Send(handshake)
		})
	})
}

func (c *workerClient) dialTimedOut() {
	c.dialEnded()
	c.closePaths()
	if !c.stopped {
		c.failPending(errTimeout)
	}
}

// dialEnded leaves the dialing state, unless the worker client has left it already: a handshake that outlasts the
// timeout of its dial can complete during the next dial.
func (c *workerClient) dialEnded() {
	if c.state == dialing {
		c.state = disconnected
	}
}

// handshakeDone is called when the welcome arrives, or would arrive if the worker were up.
func (c *workerClient) handshakeDone() {
	c.dialEnded()
	if c.stopped {
		return
	}
	if !c.worker.Up() {
		c.closePaths()
		c.failPending(errRefused)
		return
	}
	c.state = connected
	c.backoff.Connected()
	welcome := muxframe.Welcome{
		Version:      muxframe.Version,
		Worker:       c.worker.Config.Name,
		Incarnation:  uint64(c.worker.Incarnation()),
		UptimeMillis: c.worker.Uptime().Milliseconds(),
	}
	c.frontEnd.handleEvent(func(now time.Duration) { c.frontEnd.gateway.WorkerConnected(now, c.id, welcome) })
	c.startKeepalive()
	c.flush()
}

// startKeepalive starts keepalive checks of the connection. They run only while the network between the zones has a
// fault, because without a fault they would always succeed.
func (c *workerClient) startKeepalive() {
	if c.state != connected || c.keepalive != nil {
		return
	}
	if c.sim.network.HasFault(c.zone, c.workerZone) {
		c.keepalive = reconnect.NewKeepalive(c.sim.clock.Now())
		c.checkKeepalive(c.keepalive)
	}
}

func (c *workerClient) checkKeepalive(keepalive *reconnect.Keepalive) {
	if c.keepalive != keepalive || c.stopped {
		return
	}
	verdict, next := keepalive.Check(c.sim.clock.Now())
	switch {
	case verdict == reconnect.Dead:
		c.connectionEnded(errSilent)
		return
	case verdict == reconnect.Ping:
		c.sendToWorker(func() { c.sendToFrontEnd(func() {}) })
	case !c.sim.network.HasFault(c.zone, c.workerZone):
		c.keepalive = nil
		return
	}
	c.sim.clock.After(next-c.sim.clock.Now(), func() { c.checkKeepalive(keepalive) })
}

// breakAtWorker breaks the connection at the worker. The front end notices it after the network's delay, or when a
// keepalive check fails.
func (c *workerClient) breakAtWorker() {
	if c.state != connected || c.stopped {
		return
	}
	c.state = breaking
	keepalive := c.keepalive
	c.openPaths()
	c.keepalive = keepalive
	c.fromWorker.Send(func() { c.connectionEnded(errReset) })
}

// discardConnection closes the connection at once, so that nothing that is on its way reaches the worker. The front end
// is notified afterwards, because it may be the caller.
func (c *workerClient) discardConnection() {
	path := c.toWorker
	path.Close()
	c.sim.clock.After(0, func() {
		if c.toWorker == path && c.state == connected && !c.stopped {
			c.connectionEnded(workerconn.ErrNotReceived)
		}
	})
}

// connectionEnded is called when the front end notices the end of the connection.
func (c *workerClient) connectionEnded(reason error) {
	c.state = disconnected
	c.closePaths()
	c.failPending(reason)
}

// requestDial schedules a dial because a message is waiting for the connection. It does nothing if the client is
// connected or dialing.
func (c *workerClient) requestDial() {
	if c.state == connected || c.state == dialing {
		return
	}
	c.backoff.Requested()
	c.scheduleDial()
}

// scheduleDial sets the timer for the next dial. It replaces the previous timer, so that there is only one timer,
// however many requests are waiting for the connection.
func (c *workerClient) scheduleDial() {
	if c.cancelDial != nil {
		c.cancelDial()
	}
	c.cancelDial = c.sim.clock.After(c.backoff.NextDial()-c.sim.clock.Now(), c.dial)
}

// failPending fails all attempts and load orders that were in flight or waiting for the connection, and schedules the
// next dial.
func (c *workerClient) failPending(reason error) {
	c.backoff.Failed(c.sim.clock.Now())
	unsent, attempts, loadOrders := c.unsent, c.attempts, c.loadOrders
	c.unsent, c.attempts, c.loadOrders = nil, nil, nil
	c.received = nil
	c.unreported = append(c.unreported, attempts...)
	c.frontEnd.handleEvent(func(now time.Duration) {
		gateway := c.frontEnd.gateway
		for _, m := range unsent {
			switch {
			case m.attempt != nil:
				gateway.AttemptEnded(now, m.attempt, failedResult(scheduler.ConnectFailed, reason))
			case m.loadOrder != nil:
				gateway.LoadEnded(now, m.loadOrder, scheduler.ConnectFailed, 0)
			}
		}
		for _, a := range attempts {
			c.markReported(a)
			gateway.AttemptEnded(now, a, failedResult(scheduler.Reset, reason))
		}
		for _, o := range loadOrders {
			gateway.LoadEnded(now, o, scheduler.Reset, 0)
		}
		gateway.WorkerDisconnected(now, c.id, reason)
	})
	c.scheduleDial()
}

func failedResult(status scheduler.Status, reason error) workerconn.Result {
	return workerconn.Result{Status: status, Reason: reason.Error(), QueueDepth: unknownQueueDepth}
}
