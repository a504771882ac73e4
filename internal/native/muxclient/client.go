package muxclient

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// controlFrame is a queued frame that carries neither an attempt nor a load order, such as a cancellation or a ping.
type controlFrame struct {
	frameType muxframe.Type
	streamID  uint32
	header    any // a message type of muxframe, or nil for an empty header
}

type (
	queueItem  = workerconn.QueueItem[controlFrame]
	writeBatch = workerconn.WriteBatch[controlFrame]
)

// Client sends attempts and load orders to one worker. Its methods are safe for concurrent use and never block on the
// network. The results of attempts and load orders are reported through Events. A goroutine of the Client connects to
// the worker, and reconnects after a failure, until Stop is called.
type Client struct {
	cfg           Config
	events        Events
	cancel        context.CancelFunc
	done          chan struct{}
	writeSignal   workerconn.Signal // notified when there is something to write to the connection
	connectSignal workerconn.Signal // notified when there is something to send and no connection

	mu           sync.Mutex // guards the fields below
	queue        workerconn.SendQueue[controlFrame]
	started      map[*workerconn.Attempt]*workerconn.Result // results of responses that have started and not ended
	healthChecks []*workerconn.HealthCheck                  // checks without a response, sent or queued, oldest first
	lastStreamID uint32                                     // most recently issued stream ID
	conn         net.Conn                                   // nil while there is no connection
	keepalive    *reconnect.Keepalive                       // keepalive state of conn
	pings        []uint64                                   // for each ping without a pong, oldest first: the frame that the pong confirms
	draining     bool                                       // Drain was called: no new work is sent
	closed       bool                                       // the client was stopped: nothing more is queued
	writeLimit   workerconn.WriteLimit
}

// New returns a Client and starts the goroutine that maintains its connection. The caller must call Stop to end it.
func New(cfg Config, events Events) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:           cfg,
		events:        events,
		cancel:        cancel,
		done:          make(chan struct{}),
		writeSignal:   workerconn.NewSignal(),
		connectSignal: workerconn.NewSignal(),
		queue:         workerconn.NewSendQueue[controlFrame](),
		started:       map[*workerconn.Attempt]*workerconn.Result{},
	}
	go c.run(ctx)
	return c
}

// Stop stops the client. Attempts, load orders and health checks without a result end as if the connection had broken.
func (c *Client) Stop() { c.cancel() }

// Done returns a channel that is closed after Stop, when all goroutines of the client have ended and all results have
// been reported.
func (c *Client) Done() <-chan struct{} { return c.done }

// Send queues an attempt and returns nil; its result is reported through Events. If the attempt cannot be queued, Send
// returns its result instead.
func (c *Client) Send(attempt *workerconn.Attempt) *workerconn.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		attempt.MarkRejected()
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1}
	case c.isClosedOrFull():
		attempt.MarkRejected()
		return &workerconn.Result{Status: scheduler.ConnectFailed, Reason: "the link's queue is full or closed", QueueDepth: -1}
	}
	c.queue.PushAttempt(c.nextStreamID(), attempt)
	c.notifyWork()
	return nil
}

// isClosedOrFull reports whether no further attempts and load orders may be queued. The caller must hold the lock.
func (c *Client) isClosedOrFull() bool { return c.closed || c.queue.Queued() >= c.cfg.MaxQueue }

// CancelUnsent removes an attempt that is still queued and returns true; its result is then not reported. It returns
// false if the attempt is not queued.
func (c *Client) CancelUnsent(attempt *workerconn.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.CancelUnsent(attempt)
}

// Abandon ends an attempt without reporting its result, unless the result has already been reported. It returns whether
// the worker may have seen the attempt. If the attempt was in flight, a cancellation is sent. If moreover its permit has
// ended and the worker is not known to have received it, the connection is closed, so that it does not arrive later.
func (c *Client) Abandon(attempt *workerconn.Attempt) (mayHaveBeenSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasInFlight, mayHaveBeenSent := c.queue.Abandon(attempt)
	if !wasInFlight {
		return mayHaveBeenSent
	}
	if response := c.started[attempt]; response != nil {
		delete(c.started, attempt)
		response.Response.Stream.End(fmt.Errorf("%w: abandoned by the front end", workerconn.ErrIncomplete))
	}
	c.push(controlFrame{frameType: muxframe.TypeCancel, streamID: uint32(attempt.Number())})
	if now := c.cfg.Now(); attempt.PermitEnded(now) && !c.queue.IsReceived(attempt) {
		c.queue.AwaitReceipt(attempt, now) // makes the writer close the connection
		c.writeLimit.Shorten(0)
	}
	return mayHaveBeenSent
}

// IsReceived reports whether the worker is known to have received an attempt, so that the attempt cannot arrive later.
// An attempt that has ended counts as received.
func (c *Client) IsReceived(attempt *workerconn.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.InFlightAttempt(attempt.Number()) != attempt || c.queue.IsReceived(attempt)
}

// Load queues a load order and returns 0; its result is reported through Events. If the order cannot be queued, Load
// returns its status instead.
func (c *Client) Load(order *workerconn.LoadOrder) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining && order.Load.Replicas > 0:
		order.MarkRejected()
		return scheduler.Overloaded
	case c.isClosedOrFull():
		order.MarkRejected()
		return scheduler.ConnectFailed
	}
	c.queue.PushLoad(c.nextStreamID(), order)
	c.notifyWork()
	return 0
}

// AbandonLoad ends a load order without reporting its result.
func (c *Client) AbandonLoad(order *workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.AbandonLoad(order)
}

// Unload asks the worker to unload the idle replicas of a function. The worker does not respond to it.
func (c *Client) Unload(function string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(controlFrame{frameType: muxframe.TypeUnload, header: muxframe.Unload{Function: function}})
}

// CheckHealth queues a health check and returns 0; the response is reported through Events.
func (c *Client) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthChecks = append(c.healthChecks, check)
	c.push(controlFrame{frameType: muxframe.TypeHealthCheck})
	return 0
}

// AbandonHealthCheck does nothing. Health reports have no stream ID and are matched to the checks in their order, so a
// late response must still be received and reported.
func (c *Client) AbandonHealthCheck(*workerconn.HealthCheck) {}

// Drain removes and returns the attempts and load orders that were not sent, which were therefore never executed, and
// rejects new ones until Resume is called. A write in progress may take until the end of the grace period. Attempts and
// load orders that were sent are not affected, and neither are residency queries.
func (c *Client) Drain(grace time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.queue.IsWritingNewWork() {
		c.writeLimit.Shorten(grace)
	}
	return c.queue.RemoveNewWork()
}

// Resume makes the client accept new attempts and load orders again after Drain.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = false
}

// Busy reports whether any attempt or load order has no result yet, or any frame is queued.
func (c *Client) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Queued()+c.queue.Unfinished() > 0
}

// nextStreamID returns a new stream ID, which is never 0. The caller must hold the lock.
func (c *Client) nextStreamID() uint64 {
	c.lastStreamID++
	if c.lastStreamID == 0 {
		c.lastStreamID++
	}
	return uint64(c.lastStreamID)
}

// maxPings is the number of pings without a pong above which no other is sent. An attempt that is not confirmed is
// treated as one that may arrive later.
const maxPings = 64

// ping queues a ping, unless too many have no pong. Its pong confirms that the worker has read everything written so
// far. Pongs come in the order of the pings. The caller must hold the lock.
func (c *Client) ping() {
	if len(c.pings) >= maxPings {
		return
	}
	c.pings = append(c.pings, c.queue.LastWritten())
	c.push(controlFrame{frameType: muxframe.TypePing})
}

// push queues a control frame. The caller must hold the lock.
func (c *Client) push(frame controlFrame) {
	c.queue.Push(frame)
	c.notifyWork()
}

// notifyWork wakes up the goroutine that writes to the connection or, if there is no connection, the goroutine that
// connects. The caller must hold the lock.
func (c *Client) notifyWork() {
	if c.conn == nil {
		c.connectSignal.Notify()
	} else {
		c.writeSignal.Notify()
	}
}
