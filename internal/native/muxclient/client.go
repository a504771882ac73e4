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

// controlFrame is a frame that belongs neither to an attempt that waits nor to a load order.
type controlFrame struct {
	kind     muxframe.Type
	streamID uint32
	header   any // a message of muxframe, nil for none
}

type (
	queueItem  = workerconn.QueueItem[controlFrame]
	writeBatch = workerconn.WriteBatch[controlFrame]
)

// Client sends attempts and load orders to one worker. Its methods may be called from any goroutine and never block on
// the network; how attempts and orders end is reported by Events. A goroutine keeps the connection until Stop is
// called.
type Client struct {
	cfg             Config
	events          Events
	cancel          context.CancelFunc
	done            chan struct{}
	writeWake       workerconn.Signal // something waits to be written to the connection
	connectionWaits workerconn.Signal // something waits for a connection

	mu           sync.Mutex // guards what follows
	queue        workerconn.SendQueue[controlFrame]
	started      map[*workerconn.Attempt]*workerconn.Result // responses that have started and not ended, as they started
	healthChecks []*workerconn.HealthCheck                  // that were sent or queued and have no response, oldest first
	lastStreamID uint32                                     // given last
	conn         net.Conn                                   // nil while there is none
	keepalive    *reconnect.Keepalive                       // of conn
	draining     bool                                       // the worker drains: no new work is sent
	closed       bool                                       // the client was stopped
	writeLimit   workerconn.WriteLimit
}

// New returns a Client and starts the goroutine that keeps its connection. The caller ends it by Stop.
func New(cfg Config, events Events) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:             cfg,
		events:          events,
		cancel:          cancel,
		done:            make(chan struct{}),
		writeWake:       workerconn.NewSignal(),
		connectionWaits: workerconn.NewSignal(),
		queue:           workerconn.NewSendQueue[controlFrame](),
		started:         map[*workerconn.Attempt]*workerconn.Result{},
	}
	go c.run(ctx)
	return c
}

// Stop ends the client. What is unfinished ends as on a broken connection.
func (c *Client) Stop() { c.cancel() }

// Done returns a channel that is closed after Stop, when all goroutines have ended and all ends were reported.
func (c *Client) Done() <-chan struct{} { return c.done }

// Send queues an attempt and returns nil; Events reports how it ends. If the attempt cannot be queued, Send returns its
// result at once.
func (c *Client) Send(attempt *workerconn.Attempt) *workerconn.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		attempt.Reject()
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1}
	case c.isFull():
		attempt.Reject()
		return &workerconn.Result{Status: scheduler.ConnectFailed, Reason: "the link's queue is full or closed", QueueDepth: -1}
	}
	c.queue.PushAttempt(c.nextNumber(), attempt)
	c.wakeUp()
	return nil
}

// isFull tells whether nothing more may be queued. The lock is held.
func (c *Client) isFull() bool { return c.closed || c.queue.Queued() >= c.cfg.MaxQueue }

// CancelUnsent removes an attempt that is still queued; its end is then not reported. It returns false if the attempt is
// not queued.
func (c *Client) CancelUnsent(attempt *workerconn.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.CancelUnsent(attempt)
}

// Abandon gives an attempt up: its end is not reported after this, unless it already was. It returns whether the worker
// may have seen the attempt; if the attempt was unfinished, the worker is then told to cancel it.
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
	c.push(controlFrame{kind: muxframe.TypeCancel, streamID: uint32(attempt.Number())})
	return mayHaveBeenSent
}

// Load queues a load order and returns 0; Events reports the response. If the order cannot be queued, Load returns its
// status at once.
func (c *Client) Load(order *workerconn.LoadOrder) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining && order.Load.Replicas > 0:
		order.Reject()
		return scheduler.Overloaded
	case c.isFull():
		order.Reject()
		return scheduler.ConnectFailed
	}
	c.queue.PushLoad(c.nextNumber(), order)
	c.wakeUp()
	return 0
}

// AbandonLoad gives a load order up: its response is not reported after this.
func (c *Client) AbandonLoad(order *workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.AbandonLoad(order)
}

// Unload asks the worker to unload the idle replicas of a function. Whether it does is not reported.
func (c *Client) Unload(function string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(controlFrame{kind: muxframe.TypeUnload, header: muxframe.Unload{Function: function}})
}

// CheckHealth asks the worker for a load report and returns 0; Events reports the response.
func (c *Client) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthChecks = append(c.healthChecks, check)
	c.push(controlFrame{kind: muxframe.TypeHealthCheck})
	return 0
}

// AbandonHealthCheck does nothing: responses are in the order of the checks, and a late one is reported all the same.
func (c *Client) AbandonHealthCheck(*workerconn.HealthCheck) {}

// Drain removes and returns the new work that was not sent, which was never executed, and refuses more until Resume. What
// is being written has until the grace period is over. What was sent goes on.
func (c *Client) Drain(grace time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.queue.IsWritingNewWork() {
		c.writeLimit.Shorten(grace)
	}
	return c.queue.RemoveNewWork()
}

// Resume accepts new work again after Drain.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = false
}

// Busy tells whether attempts or load orders are unfinished, or anything is queued.
func (c *Client) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Queued()+c.queue.Unfinished() > 0
}

// nextNumber returns the next stream ID, which is never 0. The lock is held.
func (c *Client) nextNumber() uint64 {
	c.lastStreamID++
	if c.lastStreamID == 0 {
		c.lastStreamID++
	}
	return uint64(c.lastStreamID)
}

// push queues a control frame. The lock is held.
func (c *Client) push(frame controlFrame) {
	c.queue.Push(frame)
	c.wakeUp()
}

// wakeUp wakes up the goroutine that writes or, without a connection, the one that connects. The lock is held.
func (c *Client) wakeUp() {
	if c.conn == nil {
		c.connectionWaits.Notify()
	} else {
		c.writeWake.Notify()
	}
}
