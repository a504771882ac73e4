// Package workerclient is the way to one executor, as the users' platform calls its workers: as many connections as are
// wanted, each with many calls, in the platform's binary frames. It keeps its books with workerlink's Outbox, and
// what the ends of attempts say is as told there. Beyond that:
//
//	a connection breaks, and another can be had at once     Error          only the connection broke; it may have run
//	a connection breaks, and the worker refuses the next    Reset          its process is gone; it may have run
//	an answer cannot be read                                Error          it may have run
//	the executor says that the call was over                Moot           it never ran
package workerclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// Config is what a Link needs to know.
type Config struct {
	Worker               string // name in the list of workers
	Address              string // host:port
	ConnectTimeout       time.Duration
	StreamsPerConnection int               // calls that a connection carries at a time
	IdleTimeout          time.Duration     // after which the worker closes an idle connection
	MaxQueue             int               // attempts and orders that may be open; more end as never sent
	MaxResponse          int               // bytes of an answer's body; a longer one breaks its connection
	LoadReportFields     []string          // names of the values of a load report
	Budget               *ConnectionBudget // of connections, shared with other links
	Seed                 uint64
	Now                  func() time.Duration // monotonic
}

// Budget bounds the connections of all links together. When it is used up, calls share connections.
type ConnectionBudget struct {
	most int
	used atomic.Int64
}

// NewBudget returns a Budget of so many connections.
func NewConnectionBudget(most int) *ConnectionBudget { return &ConnectionBudget{most: most} }

// Used is how many there are.
func (b *ConnectionBudget) Used() int { return int(b.used.Load()) }

// spare says whether a worker with own connections may have one more.
func (b *ConnectionBudget) spare(own int) bool { return connpool.MayOpen(own, b.Used(), b.most) }

// Link is the way to one worker. Its methods never block on the network.
type Client struct {
	cfg    Config
	events workerconn.Events
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	strands  []*strand
	attempts map[*workerconn.Attempt]*strand // not ended; bounded by MaxQueue, as are the orders
	orders   map[*workerconn.LoadOrder]*strand
	draining bool
	closed   bool
}

// New returns a link without connections: they are made as calls want them.
func New(cfg Config, events workerconn.Events) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Client{cfg: cfg, events: events, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0x65786563)),
		attempts: map[*workerconn.Attempt]*strand{}, orders: map[*workerconn.LoadOrder]*strand{}}
	context.AfterFunc(ctx, func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.tasks.Wait()
		close(l.done)
	})
	return l
}

// Stop ends the link. What was under way ends as on a broken connection; Done tells when all is told.
func (l *Client) Stop() { l.cancel() }

// Done is closed when the link's goroutines have ended, after Stop.
func (l *Client) Done() <-chan struct{} { return l.done }

// Send writes a as soon as it can and returns nil; its end is told by Events. What cannot be taken on returns
// its end at once.
func (l *Client) Send(a *workerconn.Attempt) *workerconn.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, err := callNumber(a.Request.ID)
	if err != nil {
		return &workerconn.Result{Status: scheduler.NotSent, Reason: err.Error(), QueueDepth: -1}
	}
	if l.draining {
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1}
	}
	s := l.place(number)
	if s == nil {
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "no connection has room", QueueDepth: -1}
	}
	l.attempts[a] = s
	s.box.PushAttempt(number, a)
	s.wake()
	return nil
}

// place finds the connection for what has a number, nil if there is none; the lock is held. A number goes on no
// connection on which it was before and may be answered still.
func (l *Client) place(number uint64) *strand {
	if l.closed || len(l.attempts)+len(l.orders) >= l.cfg.MaxQueue {
		return nil
	}
	all := make([]connpool.Connection, len(l.strands))
	for i, s := range l.strands {
		all[i] = connpool.Connection{InFlight: s.box.Open(), Draining: s.retired || s.box.Has(number) || s.was(number), LastUsed: s.used}
	}
	switch i := connpool.Select(all, l.cfg.StreamsPerConnection, l.cfg.Budget.spare(len(all))); i {
	case connpool.NoConnection:
		return nil
	case connpool.OpenConnection:
		s := newStrand(l)
		l.strands = append(l.strands, s)
		l.cfg.Budget.used.Add(1)
		l.tasks.Go(s.run)
		return s
	default:
		return l.strands[i]
	}
}

// leave takes a connection out; the lock is held.
func (l *Client) leave(s *strand) {
	for i := range l.strands {
		if l.strands[i] == s {
			l.strands = append(l.strands[:i], l.strands[i+1:]...)
			l.cfg.Budget.used.Add(-1)
			return
		}
	}
}

// forget drops what has ended; the lock is held.
func (l *Client) forget(items []workerconn.QueueItem) {
	for _, i := range items {
		delete(l.attempts, i.Attempt)
		delete(l.orders, i.Load)
	}
}

// Withdraw takes back an attempt that has not begun to leave, and says whether it did: its end is then not told.
func (l *Client) CancelUnsent(a *workerconn.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.attempts[a]
	if s == nil || !s.box.CancelUnsent(a) {
		return false
	}
	delete(l.attempts, a)
	s.wake()
	return true
}

// Abandon gives an attempt up: its end is not told after this, unless it already was. It returns whether the
// worker may have seen it; if so it is told that nobody waits.
func (l *Client) Abandon(a *workerconn.Attempt) (mayHaveLeft bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.attempts[a]
	if s == nil {
		return a.MayHaveBeenSent() // its end was told
	}
	delete(l.attempts, a)
	if s.box.Leaving(a) && s.conn != nil {
		_ = s.conn.SetWriteDeadline(time.Now().Add(connpool.CancelledWriteTimeout())) // fails on a closed connection only
	}
	underWay, mayHaveLeft := s.box.Abandon(a)
	if underWay {
		s.retired, s.givenUp = s.retired || connpool.DrainOnCancel(), true
		s.box.Push(workerframe.Frame{Code: workerframe.Cancel, ID: workerconn.QueueItem{Attempt: a}.Number()})
	}
	s.wake()
	return mayHaveLeft
}

// Load gives an order and returns 0; its answer is told by Events. What cannot be taken on returns its status
// at once.
func (l *Client) Load(o *workerconn.LoadOrder) scheduler.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && o.Load.Replicas > 0 {
		return scheduler.Overloaded
	}
	number := l.rng.Uint64()
	s := l.place(number)
	if s == nil {
		return scheduler.NotSent
	}
	l.orders[o] = s
	s.box.PushLoad(number, o)
	s.wake()
	return 0
}

// AbandonOrder gives an order up: its answer is not told after this.
func (l *Client) AbandonLoad(o *workerconn.LoadOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.orders[o]; s != nil {
		delete(l.orders, o)
		s.box.AbandonLoad(o)
		s.retired = s.retired || connpool.DrainOnCancel()
		s.wake()
	}
}

// Unload asks the worker to unload the idle copies of a function. Nothing tells whether it did.
func (l *Client) Unload(function string) {
	if id, err := callNumber(function); err == nil {
		l.frame(workerframe.Frame{Code: workerframe.Unload, ID: id})
	}
}

// Probe asks the worker for its load; the answer is told by Events.
func (l *Client) CheckHealth() {
	if !l.frame(workerframe.Frame{Code: workerframe.LoadReport}) {
		go l.events.HealthChecked(scheduler.NotSent, nil) // not within the caller's turn
	}
}

// frame sends one that is neither an attempt nor an order.
func (l *Client) frame(f workerframe.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.rng.Uint64()
	s := l.place(number)
	if s == nil {
		return false
	}
	if f.Code == workerframe.LoadReport {
		f.ID = number
		s.probes[number] = true
	}
	s.box.Push(f)
	s.wake()
	return true
}

// Drain takes back all new work that has not left, returns it, and takes on none from now: none of it ran.
// What is being written has until the grace is half over, as it counts from when the drain was told, not from here.
// What has left goes on. Resume ends it.
func (l *Client) Drain(grace time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, s := range l.strands {
		if s.conn != nil && s.box.Writing() {
			_ = s.conn.SetWriteDeadline(time.Now().Add(grace / 2)) // fails on a closed connection only, whose writes fail too
		}
		a, o := s.box.TakeBack()
		attempts, orders = append(attempts, a...), append(orders, o...)
		s.wake()
	}
	for _, a := range attempts {
		delete(l.attempts, a)
	}
	for _, o := range orders {
		delete(l.orders, o)
	}
	return attempts, orders
}

// Resume lets new work through again.
func (l *Client) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
}

// Busy says whether attempts or orders are under way, with all that waits here.
func (l *Client) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts)+len(l.orders) > 0
}
