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

// connection is one connection of a client, from before it is dialled until the client removes it. If it breaks while
// something waits for it, it is dialled again. The client's lock guards the fields that say so.
type connection struct {
	client *Client
	wake   workerconn.Signal // there is something to write, or the need for the connection may have ended

	slot slot // guarded by the budget's lock

	silentConnections int // made in a row on which nothing was received; used by run's goroutine only

	// Guarded by client.mu.
	queue        workerconn.SendQueue[workerframe.Frame]
	healthChecks map[uint64]*workerconn.HealthCheck // without a response, by number; as many as the caller has at a time
	connectedAt  time.Duration                      // when netConn was made
	netConn      net.Conn                           // nil while there is none
	draining     bool                               // accepts nothing new; closed once nothing is unfinished on it
	writeLimit   workerconn.WriteLimit
	received     bool // a frame was received on netConn
	lastUsed     time.Duration
	recent       recentNumbers
}

// newConnection returns a connection that is not dialled yet. The client's lock is held.
func newConnection(client *Client) *connection {
	return &connection{
		client:       client,
		wake:         workerconn.NewSignal(),
		queue:        workerconn.NewSendQueue[workerframe.Frame](),
		healthChecks: map[uint64]*workerconn.HealthCheck{},
		lastUsed:     client.cfg.Now(),
	}
}

// accepts tells whether something new with a number may be sent on the connection. The client's lock is held.
func (c *connection) accepts(number uint64) bool {
	return !c.draining && !c.queue.HasNumber(number) && !c.recent.has(number)
}

// wakeUp notes that the connection is used, and has its writer look at the queue. The client's lock is held.
func (c *connection) wakeUp() {
	c.lastUsed = c.client.cfg.Now()
	c.wake.Notify()
}

// discardOnClose has the close of the connection, whoever closes it, drop what the operating system still holds of what
// was given up. The client's lock is held.
func (c *connection) discardOnClose() {
	if c.netConn != nil {
		workerconn.DiscardOnClose(c.netConn)
	}
}

// drainAfterCancel has the connection accept nothing new after something was given up on it, if the policy is so. The
// client's lock is held.
func (c *connection) drainAfterCancel() {
	c.draining = c.draining || connpool.DrainOnCancel()
}

// errStopped is why a connection ended as its client was stopped.
var errStopped = errors.New("client stopped")

// run makes the connection, serves it, and makes it again while something waits for it. It is the connection's
// goroutine and ends when the connection is not needed, cannot be made, or the client is stopped.
//
// The end of what was sent on a connection that broke is reported once it is known whether the next one can be made:
// that tells a lost connection from a lost worker.
func (c *connection) run() {
	if err := c.awaitSlot(); err != nil {
		c.close(err)
		return
	}
	var lost []queueItem // sent on the connection before, and not reported yet
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

// errNoSlot is why a connection was not made whose slot another connection did not give up.
var errNoSlot = errors.New("no connection became free in time")

// awaitSlot waits until the connection has its slot of the budget, as long as it may take to connect.
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

// breakOutcome is what follows after a connection ended.
type breakOutcome struct {
	reconnect   bool // make another connection
	workerAlive bool // the worker's process is known to run, without another connection
}

// afterBreak removes what was in flight on a connection that ended, and decides what follows.
func (c *connection) afterBreak(reason error) (lost []queueItem, outcome breakOutcome) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	lost = c.queue.RemoveInFlight()
	c.client.removeFinished(lost)
	if c.received {
		c.silentConnections = 0
	} else {
		c.silentConnections++
	}
	c.netConn = nil
	c.received = false
	outcome.workerAlive = errors.Is(reason, workerframe.ErrMalformed) || errors.Is(reason, workerconn.ErrUnneeded)
	needed := c.queue.Unfinished() > 0 || len(c.healthChecks) > 0 || len(lost) > 0 && !outcome.workerAlive
	mayRetry := c.client.ctx.Err() == nil && connpool.RetryAfterReset(c.silentConnections)
	outcome.reconnect = needed && mayRetry
	c.draining = c.draining || !outcome.reconnect
	if outcome.reconnect {
		c.repeatHealthChecks()
	}
	return lost, outcome
}

// notifyLost reports the end of what was sent on a connection that broke.
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

// close removes the connection from its client, and reports what is still queued as never sent. What is reported of the
// worker depends on the reason: see unsentStatus.
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

// localResourceErrors are the errors of a connect that say that this process or its machine is out of something. They say
// nothing of the worker.
var localResourceErrors = []error{
	errNoSlot,
	syscall.EMFILE, syscall.ENFILE, // descriptors
	syscall.ENOBUFS, syscall.ENOMEM, // memory
	syscall.EADDRNOTAVAIL, // local ports
}

// unsentStatus is how something ends that waited for a connection which ended for a reason. ConnectFailed counts against
// the worker.
func unsentStatus(reason error) scheduler.Status {
	isLocal := func(local error) bool { return errors.Is(reason, local) }
	if slices.ContainsFunc(localResourceErrors, isLocal) {
		return scheduler.NotSent
	}
	return scheduler.ConnectFailed
}

// dial connects to the worker. The caller closes the connection.
func (c *connection) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.client.cfg.ConnectTimeout, KeepAlive: -1}
	netConn, err := dialer.DialContext(c.client.ctx, "tcp", c.client.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.client.cfg.Worker, err)
	}
	return netConn, nil
}

// serve writes and reads until the connection breaks, is not needed, or the client is stopped. It closes the connection
// and returns why it ended.
func (c *connection) serve(netConn net.Conn) error {
	c.client.mu.Lock()
	c.netConn = netConn
	c.connectedAt = c.client.cfg.Now()
	c.client.mu.Unlock()
	write := func(readDone <-chan struct{}) error { return c.write(netConn, readDone) }
	read := func() error { return c.read(netConn) }
	return workerconn.Serve(c.client.ctx, netConn, write, read)
}
