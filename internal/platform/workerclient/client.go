// Package workerclient is the client of one worker of the users' platform, which calls its workers executors. It keeps as
// many connections as are needed, each with many requests, in the platform's binary frames (internal/platform/workerframe).
//
// How attempts end is decided as in internal/native/muxclient, whose package comment has the table. In addition:
//
//	event                                                          status   why
//	a connection breaks, and another one can be made at once       Error    only the connection is lost; it may have executed
//	a connection breaks, and the worker refuses the next one       Reset    the worker's process is gone; it may have executed
//	a response cannot be read                                      Error    it may have executed
//	the worker responds that the request had ended already         NotSent  it was not executed
//	this process is out of what a connection needs                 NotSent  it says nothing of the worker
package workerclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// randomStream is the second word of the seed of a client's random numbers.
const randomStream = 0x65786563

// Config is the configuration of a Client. All fields but Guard are required.
type Config struct {
	Worker               string // name in the list of workers
	Address              string // host:port
	ConnectTimeout       time.Duration
	StreamsPerConnection int                  // attempts and load orders that a connection carries at a time
	IdleTimeout          time.Duration        // after which the worker closes an idle connection
	MaxQueue             int                  // attempts and load orders that may be unfinished; more are not sent
	MaxResponse          int                  // bytes of a response's body; a longer one breaks its connection
	LoadReportFields     []string             // names of the values of a load report
	Budget               *ConnectionBudget    // shared by the clients of all workers
	Guard                *workerconn.Guard    // shared with the event loop; nil: nothing is held back
	Seed                 uint64               // of the numbers of load orders and health checks
	Now                  func() time.Duration // monotonic clock
}

// Client sends attempts and load orders to one worker. Its methods may be called from any goroutine and never block on
// the network; how attempts and orders end is reported by Events. Each connection has a goroutine that runs until the
// connection is no longer needed or Stop is called.
type Client struct {
	cfg    Config
	events workerconn.Events
	tasks  sync.WaitGroup // the goroutines of the connections
	done   chan struct{}

	mu sync.Mutex // guards what follows and the connections' fields

	connections []*connection

	// Made when they are first needed: of many workers most are never sent anything.
	ctx      context.Context // done once the client is stopped
	cancel   context.CancelFunc
	rng      *rand.Rand
	attempts map[*workerconn.Attempt]*connection // unfinished; together with loads bounded by MaxQueue
	loads    map[*workerconn.LoadOrder]*connection

	draining bool // the worker drains: no new work is sent
	closed   bool // the client was stopped
}

// New returns a Client without connections, which are made on demand. The caller ends it by Stop.
func New(cfg Config, events workerconn.Events) *Client {
	return &Client{cfg: cfg, events: events, done: make(chan struct{})}
}

// start makes what the connections need. The lock is held.
func (c *Client) ensureInitialized() {
	if c.cancel != nil {
		return
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.attempts = map[*workerconn.Attempt]*connection{}
	c.loads = map[*workerconn.LoadOrder]*connection{}
}

// randomNumber returns the number of a load order or a health check. The lock is held.
func (c *Client) randomNumber() uint64 {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.cfg.Seed, randomStream))
	}
	return c.rng.Uint64()
}

// Stop ends the client, which refuses new work from then on. What is unfinished ends as on a broken connection.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.cancel == nil { // no connection was ever made
		close(c.done)
		return
	}
	c.cancel()
	go c.awaitConnections() // ends with the last connection, which the cancel ends
}

// awaitConnections closes done once all connections have ended.
func (c *Client) awaitConnections() {
	c.tasks.Wait()
	close(c.done)
}

// Done returns a channel that is closed after Stop, when all goroutines have ended and all ends were reported.
func (c *Client) Done() <-chan struct{} { return c.done }

// Send queues an attempt and returns nil; Events reports how it ends. If the attempt cannot be queued, Send returns its
// result at once.
func (c *Client) Send(attempt *workerconn.Attempt) *workerconn.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, err := parseNumber(attempt.Request.ID)
	if err != nil {
		return notSent(err.Error())
	}
	if c.draining {
		return notSent("the worker drains")
	}
	conn := c.selectConnection(number)
	if conn == nil {
		return notSent("no connection has room")
	}
	c.attempts[attempt] = conn
	conn.queue.PushAttempt(number, attempt)
	conn.wakeUp()
	return nil
}

// notSent is the result of an attempt that was not queued.
func notSent(reason string) *workerconn.Result {
	return &workerconn.Result{Status: scheduler.NotSent, Reason: reason, QueueDepth: -1}
}

// removeFinished removes attempts and load orders that have ended. The lock is held.
func (c *Client) removeFinished(items []queueItem) {
	for _, item := range items {
		delete(c.attempts, item.Attempt)
		delete(c.loads, item.Load)
	}
}

// CancelUnsent removes an attempt that is still queued; its end is then not reported. It returns false if the attempt is
// not queued.
func (c *Client) CancelUnsent(attempt *workerconn.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.attempts[attempt]
	if conn == nil || !conn.queue.CancelUnsent(attempt) {
		return false
	}
	delete(c.attempts, attempt)
	conn.wakeUp()
	return true
}

// Abandon gives an attempt up: its end is not reported after this, unless it already was. It returns whether the worker
// may have seen the attempt; if the attempt was unfinished, the worker is then told to cancel it.
func (c *Client) Abandon(attempt *workerconn.Attempt) (mayHaveBeenSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.attempts[attempt]
	if conn == nil {
		return attempt.MayHaveBeenSent() // its end was reported
	}
	delete(c.attempts, attempt)
	if conn.queue.IsSending(attempt) {
		conn.writeLimit.Shorten(connpool.CancelledWriteTimeout())
	}
	wasInFlight, mayHaveBeenSent := conn.queue.Abandon(attempt)
	if wasInFlight {
		conn.discardOnClose()
		conn.drainAfterCancel()
		conn.queue.Push(workerframe.Frame{Code: workerframe.Cancel, ID: attempt.Number()})
	}
	conn.wakeUp()
	return mayHaveBeenSent
}

// Load queues a load order and returns 0; Events reports the response. If the order cannot be queued, Load returns its
// status at once.
func (c *Client) Load(order *workerconn.LoadOrder) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && order.Load.Replicas > 0 {
		return scheduler.Overloaded
	}
	number := c.randomNumber()
	conn := c.selectConnection(number)
	if conn == nil {
		return scheduler.NotSent
	}
	c.loads[order] = conn
	conn.queue.PushLoad(number, order)
	conn.wakeUp()
	return 0
}

// AbandonLoad gives a load order up: its response is not reported after this.
func (c *Client) AbandonLoad(order *workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.loads[order]
	if conn == nil {
		return
	}
	delete(c.loads, order)
	conn.queue.AbandonLoad(order)
	conn.drainAfterCancel()
	conn.wakeUp()
}

// Unload asks the worker to unload the idle replicas of a function. Whether it does is not reported.
func (c *Client) Unload(function string) {
	id, err := parseNumber(function)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.selectConnection(c.randomNumber()); conn != nil {
		conn.queue.Push(workerframe.Frame{Code: workerframe.Unload, ID: id})
		conn.wakeUp()
	}
}

// Drain removes and returns the new work that was not sent, which was never executed, and refuses more until Resume. What
// is being written has half of the grace period, which counts from when the worker announced that it drains, not from
// this call. What was sent goes on.
func (c *Client) Drain(grace time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for _, conn := range c.connections {
		if conn.queue.IsWritingNewWork() {
			conn.writeLimit.Shorten(grace / 2)
		}
		unsentAttempts, unsentOrders := conn.queue.RemoveNewWork()
		attempts = append(attempts, unsentAttempts...)
		orders = append(orders, unsentOrders...)
		conn.wakeUp()
	}
	for _, attempt := range attempts {
		delete(c.attempts, attempt)
	}
	for _, order := range orders {
		delete(c.loads, order)
	}
	return attempts, orders
}

// Resume accepts new work again after Drain.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = false
}

// Busy tells whether attempts or load orders are unfinished, queued ones included.
func (c *Client) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)+len(c.loads) > 0
}
