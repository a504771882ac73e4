// Package workerclient is the client of one worker of the users' platform, which calls its workers executors. A client
// opens connections on demand and sends many requests over each of them, encoded in the platform's binary frames (see
// internal/platform/workerframe).
//
// The status with which an attempt ends is determined as in internal/native/muxclient; see the table in the comment of
// that package. In addition:
//
//	event                                                   status   reason
//	a connection breaks, and the client can reconnect       Error    the worker is up; the attempt may have executed
//	a connection breaks, and the client cannot reconnect    Reset    the worker is down; the attempt may have executed
//	a response is malformed                                 Error    the attempt may have executed
//	the worker responds that the request had already ended  NotSent  the attempt was not executed
//	this process lacks a resource for a new connection      NotSent  the worker is not the cause
package workerclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// randomStream is the second seed word of a client's random number generator. The first one is Config.Seed.
const randomStream = 0x65786563

// Config is the configuration of a Client. All fields except ResponseMemory, HealthChecksAllowed and Guard are required.
type Config struct {
	Worker               string // worker's name in the endpoint list
	Address              string // host:port
	ConnectTimeout       time.Duration
	StreamsPerConnection int                    // maximum unfinished attempts and load orders on a connection
	IdleTimeout          time.Duration          // time after which the worker closes an idle connection
	MaxQueue             int                    // maximum unfinished attempts and load orders; more are not sent
	MaxResponse          int                    // maximum bytes of a response's body; exceeding it breaks the connection
	LoadReportFields     []string               // names of the values to read from load reports
	HealthChecksAllowed  bool                   // the client itself may send health checks
	Budget               *ConnectionBudget      // shared by the clients of all workers
	ResponseMemory       *memorybudget.Budget   // for the responses that Events has not handled; nil: no limit
	Guard                *workerconn.WriteGuard // shared with the event loop; if nil, no new work is held back
	Seed                 uint64                 // seed of the random numbers of load orders and health checks
	Now                  func() time.Duration   // monotonic clock
}

// Client sends attempts and load orders to one worker. Its methods are safe for concurrent use and do not block on the
// network. The results of attempts and load orders are reported through workerconn.Events. Each connection has a
// goroutine that runs until the connection is no longer needed or Stop is called.
type Client struct {
	cfg    Config
	events workerconn.Events
	tasks  sync.WaitGroup // goroutines of the connections
	done   chan struct{}  // closed after Stop once the goroutines have ended

	responseMemory *memorybudget.Account

	mu sync.Mutex // guards the fields below, and fields of the connections as noted there

	connections []*connection

	// The following fields are initialized on first use, because a front end sends nothing to most of its many workers.
	ctx      context.Context // done once Stop is called
	cancel   context.CancelFunc
	rng      *rand.Rand
	attempts map[*workerconn.Attempt]*connection   // unfinished attempts; at most MaxQueue together with loads
	loads    map[*workerconn.LoadOrder]*connection // unfinished load orders

	draining bool // the worker is draining, so no new work is sent
	closed   bool // Stop was called
}

// New returns a Client that opens connections on demand. The caller must call Stop when the client is no longer needed.
func New(cfg Config, events workerconn.Events) *Client {
	return &Client{cfg: cfg, events: events, done: make(chan struct{}), responseMemory: cfg.ResponseMemory.NewAccount()}
}

// ensureInitialized initializes the fields that connections need. It requires that c.mu is held.
func (c *Client) ensureInitialized() {
	if c.cancel != nil {
		return
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.attempts = map[*workerconn.Attempt]*connection{}
	c.loads = map[*workerconn.LoadOrder]*connection{}
}

// randomNumber returns a number for a load order or a health check. It requires that c.mu is held.
func (c *Client) randomNumber() uint64 {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.cfg.Seed, randomStream))
	}
	return c.rng.Uint64()
}

// Stop stops the client, which then rejects new work. Unfinished attempts, load orders and health checks end as on a
// broken connection.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.cancel == nil { // no connection was ever opened
		close(c.done)
		return
	}
	c.cancel()
	go c.awaitConnections() // ends soon, because the cancellation ends all connections
}

// awaitConnections closes done once all connections have ended.
func (c *Client) awaitConnections() {
	c.tasks.Wait()
	close(c.done)
}

// Done returns a channel that is closed after Stop, once all goroutines have ended and all results have been reported.
func (c *Client) Done() <-chan struct{} { return c.done }

// Send queues an attempt and returns nil; its result is reported through Events. If the attempt cannot be queued, Send
// returns its result at once, and Events reports nothing.
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

// notSent returns the result of an attempt that was not queued.
func notSent(reason string) *workerconn.Result {
	return &workerconn.Result{Status: scheduler.NotSent, Reason: reason, QueueDepth: -1}
}

// removeFinished removes finished attempts and load orders from the unfinished ones. It requires that c.mu is held.
func (c *Client) removeFinished(items []queueItem) {
	for _, item := range items {
		delete(c.attempts, item.Attempt)
		delete(c.loads, item.Load)
	}
}

// CancelUnsent removes an attempt from the queue and reports whether it did so. It returns false if the attempt is not
// queued any more. The result of a removed attempt is not reported through Events.
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

// Abandon abandons an attempt: after the call, its result is no longer reported through Events. The result may have
// been reported before. Abandon returns whether the worker may have received the attempt. If the attempt is in flight,
// a cancellation is queued for the worker.
func (c *Client) Abandon(attempt *workerconn.Attempt) (mayHaveBeenSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.attempts[attempt]
	if conn == nil {
		return attempt.MayHaveBeenSent() // the result has already been reported
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
		conn.awaitReceipt(attempt)
	}
	conn.wakeUp()
	return mayHaveBeenSent
}

// IsReceived reports whether the worker is known to have received an attempt, so that the attempt cannot arrive later.
// An attempt that has ended counts as received.
func (c *Client) IsReceived(attempt *workerconn.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.attempts[attempt]
	return conn == nil || conn.queue.IsReceived(attempt)
}

// Load queues a load order and returns 0; the result is reported through Events. If the order cannot be queued, Load
// returns its status at once, and Events reports nothing.
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

// AbandonLoad abandons a load order: after the call, its result is no longer reported through Events.
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

// Unload requests that the worker unloads the idle replicas of a function. The outcome is not reported.
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

// Drain removes and returns the new work that is still unsent, that is, attempts and orders to load replicas, and
// rejects further new work until Resume is called. The worker has not executed any of the returned work. New work that
// is being written must be written within half of the grace period; the grace period starts when the worker announces
// that it drains, not with this call, hence the margin. Attempts and load orders that were already sent continue.
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

// Resume makes the client accept new work again after Drain.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = false
}

// Busy reports whether any attempt or load order is unfinished, including queued ones.
func (c *Client) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)+len(c.loads) > 0
}
