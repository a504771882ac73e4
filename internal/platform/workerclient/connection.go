package workerclient

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// queueItem is an item of a connection's send queue.
type queueItem = workerconn.QueueItem[workerframe.Frame]

// connection is one connection of a client. It exists from before it is dialled until the client removes it. If the
// network connection breaks while the connection still has work, it is dialled again.
type connection struct {
	client *Client
	wake   workerconn.Signal // notified if there is something to write or if the connection may no longer be needed

	slot slot // guarded by the budget's lock, except for slot.granted

	silentConnections int // consecutive network connections on which nothing was received; used by run's goroutine only

	// Guarded by client.mu.
	queue        workerconn.SendQueue[workerframe.Frame]
	healthChecks map[uint64]*workerconn.HealthCheck // health checks without response, by number; limited by the caller
	// receiptChecks holds, for each health check of requestReceipt without response, the frame that a response confirms.
	// There are at most maxReceiptChecks.
	receiptChecks map[uint64]uint64
	connectedAt   time.Duration // time at which netConn was established
	netConn       net.Conn      // nil while not connected
	draining      bool          // accepts nothing new and closes once all its work is finished
	writeLimit    workerconn.WriteLimit
	received      bool // a response was received on netConn
	lastUsed      time.Duration
	recent        recentNumbers
}

// newConnection returns a connection that is not dialled yet. It requires that client.mu is held.
func newConnection(client *Client) *connection {
	return &connection{
		client:        client,
		wake:          workerconn.NewSignal(),
		queue:         workerconn.NewSendQueue[workerframe.Frame](),
		healthChecks:  map[uint64]*workerconn.HealthCheck{},
		receiptChecks: map[uint64]uint64{},
		lastUsed:      client.cfg.Now(),
	}
}

// accepts reports whether a new frame with the given number may be sent on the connection. It requires that client.mu
// is held.
func (c *connection) accepts(number uint64) bool {
	return !c.draining && !c.queue.HasNumber(number) && !c.recent.has(number)
}

// wakeUp records that the connection is used and makes its writer check the queue. It requires that client.mu is held.
func (c *connection) wakeUp() {
	c.lastUsed = c.client.cfg.Now()
	c.wake.Notify()
}

// discardOnClose makes the close of the network connection discard the data in the operating system's send buffer, so
// that an abandoned request does not reach the worker later. It requires that client.mu is held.
func (c *connection) discardOnClose() {
	if c.netConn != nil {
		workerconn.DiscardOnClose(c.netConn)
	}
}

// drainAfterCancel drains the connection after an attempt, a load order or a health check on it was abandoned, if the
// policy in connpool requires it. It requires that client.mu is held.
func (c *connection) drainAfterCancel() {
	c.draining = c.draining || connpool.DrainOnCancel()
}

// errStopped is the reason for the end of a connection whose client was stopped.
var errStopped = errors.New("client stopped")

// run is the connection's goroutine. It dials and serves the connection, and reconnects while the connection has work.
// It ends when the connection is no longer needed, when dialling fails, or when the client is stopped.
//
// If the network connection breaks, the results of the attempts and load orders in flight are reported only after the
// next dial has succeeded or failed. This distinguishes the loss of a connection from the loss of the worker.
func (c *connection) run() {
	if err := c.awaitSlot(); err != nil {
		c.close(err)
		return
	}
	var lost []queueItem // in flight when the previous network connection broke; not reported yet
	var breakReason error
	for {
		netConn, err := c.dial()
		c.notifyLost(lost, err == nil, breakReason)
		if err != nil {
			c.close(err)
			return
		}
		breakReason = c.serve(netConn)
		var outcome breakOutcome
		lost, outcome = c.afterBreak(breakReason)
		if outcome.workerAlive || !outcome.reconnect {
			c.notifyLost(lost, outcome.workerAlive, breakReason)
			lost = nil
		}
		if !outcome.reconnect {
			c.close(breakReason)
			return
		}
	}
}

// errNoSlot is the reason why a connection was not dialled: no other connection released its slot in time.
var errNoSlot = errors.New("no connection became free in time")

// awaitSlot waits until the budget grants a slot to the connection, for at most the connect timeout.
func (c *connection) awaitSlot() error {
	timeout := time.NewTimer(c.client.cfg.ConnectTimeout)
	defer timeout.Stop()
	select {
	case <-c.slot.granted:
		return nil
	case <-c.client.ctx.Done():
		return errStopped
	case <-timeout.C:
		return errNoSlot
	}
}

// breakOutcome is the decision on how to continue after a network connection has ended.
type breakOutcome struct {
	reconnect   bool // dial again
	workerAlive bool // the worker's process is known to be running, even without a new connection
}

// afterBreak removes and returns the items in flight on a network connection that has ended, and decides how to
// continue.
func (c *connection) afterBreak(reason error) (lost []queueItem, outcome breakOutcome) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	lost = c.queue.RemoveInFlight()
	c.client.removeFinished(lost)
	clear(c.receiptChecks)
	if c.received {
		c.silentConnections = 0
	} else {
		c.silentConnections++
	}
	c.netConn = nil
	c.received = false
	outcome.workerAlive = errors.Is(reason, workerframe.ErrMalformed) || errors.Is(reason, workerconn.ErrIdle)
	needed := c.queue.Unfinished() > 0 || len(c.healthChecks) > 0 || len(lost) > 0 && !outcome.workerAlive
	mayRetry := c.client.ctx.Err() == nil && connpool.RetryAfterReset(c.silentConnections)
	outcome.reconnect = needed && mayRetry
	c.draining = c.draining || !outcome.reconnect
	if outcome.reconnect {
		c.repeatHealthChecks()
	}
	return lost, outcome
}

// notifyLost reports the results of the items that were in flight when a network connection broke.
func (c *connection) notifyLost(lost []queueItem, workerAlive bool, reason error) {
	if len(lost) == 0 {
		return
	}
	status := scheduler.Reset
	if workerAlive {
		status = scheduler.Error
	}
	workerconn.NotifyEnded(c.client.events, lost, status, status, fmt.Sprint(reason))
}

// close removes the connection from its client and reports the results of the items that are still queued, which were
// never sent, and of the health checks without a response. Their status depends on the reason: see unsentStatus.
func (c *connection) close(reason error) {
	c.client.mu.Lock()
	c.client.removeConnection(c)
	unsent := c.queue.RemoveQueued()
	c.client.removeFinished(unsent)
	healthChecks := c.removeHealthChecks()
	c.client.mu.Unlock()
	status := unsentStatus(reason)
	workerconn.NotifyEnded(c.client.events, unsent, status, status, fmt.Sprint(reason))
	c.notifyUnanswered(healthChecks, status)
	if len(unsent) > 0 && status == scheduler.ConnectFailed {
		c.client.events.Disconnected(reason)
	}
}

// localResourceErrors are the connect errors that are caused by a lack of resources in this process or on its machine.
// They do not count against the worker.
var localResourceErrors = []error{
	errNoSlot,
	syscall.EMFILE, syscall.ENFILE, // descriptors
	syscall.ENOBUFS, syscall.ENOMEM, // memory
	syscall.EADDRNOTAVAIL, // local ports
}

// unsentStatus returns the status of unsent items and unanswered health checks of a connection that ended for the given
// reason. The status ConnectFailed counts against the worker, NotSent does not.
func unsentStatus(reason error) scheduler.Status {
	isLocal := func(local error) bool { return errors.Is(reason, local) }
	if slices.ContainsFunc(localResourceErrors, isLocal) {
		return scheduler.NotSent
	}
	return scheduler.ConnectFailed
}

// dial connects to the worker. The caller must close the returned connection.
func (c *connection) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.client.cfg.ConnectTimeout, KeepAlive: -1}
	netConn, err := dialer.DialContext(c.client.ctx, "tcp", c.client.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.client.cfg.Worker, err)
	}
	return netConn, nil
}

// serve writes and reads until the network connection breaks or is no longer needed, or the client is stopped. It
// closes the network connection and returns the reason for its end.
func (c *connection) serve(netConn net.Conn) error {
	c.client.mu.Lock()
	c.netConn = netConn
	c.connectedAt = c.client.cfg.Now()
	c.client.mu.Unlock()
	write := func(readDone <-chan struct{}) error { return c.write(netConn, readDone) }
	read := func() error { return c.read(netConn) }
	return workerconn.Serve(c.client.ctx, netConn, write, read)
}
