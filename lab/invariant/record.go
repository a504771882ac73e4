// Package invariant judges the five rules from what the stand-ins and the test clients saw on their sockets. It
// takes nothing from inside a front end.
package invariant

import (
	"sync"
	"time"

	"havencart/lab/model"
	"havencart/scheduler"
)

// Ask is one try of a client's call, and what came of it.
type Ask struct {
	ID, Class, Tenant, Key, FrontEnd string
	Sent                             time.Duration
	Patience                         time.Duration
	Answers                          []Reply
	Left                             bool // the client closed before an answer
	Lost                             bool // the connection ended without an answer
}

// Reply is one final answer that a client saw.
type Reply struct {
	At      time.Duration
	Outcome string // served, refused, failed
	Whole   bool   // its body came to its end
}

// Receipt is one attempt that a worker received, and how it was answered.
type Receipt struct {
	At                          time.Duration
	Worker, Cell                string
	Life                        int
	FrontEnd, ID, Class, Key    string
	Attempt                     int
	Work                        time.Duration
	Capacity                    float64 // of the worker at that time; 0 where it is warm
	Answered                    model.Outcome
	Ran                         int // times that its effect took place
	TipMultiple, TipWindowInSec float64
}

// Order is one order to load that a worker received.
type Order struct {
	At                         time.Duration
	Worker, FrontEnd, Function string
	Copies                     int
}

// Notice is a list of workers that reached a front end.
type Notice struct {
	At       time.Duration
	FrontEnd string
	States   map[string]scheduler.WorkerState
}

// Fall is a worker that fell over.
type Fall struct {
	At     time.Duration
	Worker string
}

// Kill is the time in which a front end did not run.
type Kill struct {
	FrontEnd string
	At       time.Duration
}

// Stall is a time in which a front end stood still.
type Stall struct {
	FrontEnd string
	From, To time.Duration
}

// Book gathers what was seen. It may be used by many goroutines; the zero Book is not usable.
type Book struct {
	start time.Time // wall time at 0
	clock func() time.Duration

	mu       sync.Mutex
	asks     []*Ask
	receipts []*Receipt
	open     map[*model.Request]*Receipt
	orders   []Order
	notices  []Notice
	falls    []Fall
	kills    []Kill
	stalls   []Stall
}

// NewBook returns an empty Book whose time begins now.
func NewBook() *Book {
	start := time.Now()
	return NewBookOn(start, func() time.Duration { return time.Since(start) })
}

// NewBookOn returns an empty Book on a clock that shows 0 at start.
func NewBookOn(start time.Time, clock func() time.Duration) *Book {
	return &Book{start: start, clock: clock, open: map[*model.Request]*Receipt{}}
}

// Now is the Book's time.
func (b *Book) Now() time.Duration { return b.clock() }

// At is a wall time on the Book's clock.
func (b *Book) At(t time.Time) time.Duration { return t.Sub(b.start) }

// Ask notes a call as its client sends it.
func (b *Book) Ask(a Ask) *Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Sent = b.Now()
	b.asks = append(b.asks, &a)
	return &a
}

// Reply notes an answer that a client saw.
func (b *Book) Reply(a *Ask, outcome string, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Answers = append(a.Answers, Reply{b.Now(), outcome, whole})
}

// End notes that a client left, or lost its connection.
func (b *Book) End(a *Ask, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Left, a.Lost = left, !left
}

// Notice notes a list that reached a front end.
func (b *Book) Notice(n Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices = append(b.notices, n)
}

// Kill notes that a front end was killed: what it held is its clients' to repeat.
func (b *Book) Kill(frontEnd string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kills = append(b.kills, Kill{frontEnd, b.Now()})
}

// Stall notes that a front end stands still from now for d: it cannot answer before it goes on.
func (b *Book) Stall(frontEnd string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalls = append(b.stalls, Stall{frontEnd, b.Now(), b.Now() + d})
}

// Received implements model.Observer, as do the methods that follow.
func (b *Book) RequestReceived(w *model.Worker, c *model.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Receipt{At: b.Now(), Worker: w.Config.Name, Cell: w.Config.Cell, Life: w.Incarnation(), FrontEnd: c.FrontEnd,
		ID: c.ID, Class: c.Class, Key: c.IdempotencyKey, Attempt: c.Attempt, Work: c.Work}
	if w.Cold() {
		r.Capacity, r.TipMultiple = w.Capacity(), w.Config.OverloadMultiple
		r.TipWindowInSec = w.Config.OverloadWindow.Seconds()
	}
	b.receipts = append(b.receipts, r)
	b.open[c] = r
}

// Answered notes how an attempt was answered.
func (b *Book) ResponseSent(_ *model.Worker, c *model.Request, o model.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.open[c]; r != nil {
		r.Answered = o
		delete(b.open, c)
	}
}

// Ran notes an effect.
func (b *Book) RequestExecuted(_ *model.Worker, c *model.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.open[c]; r != nil {
		r.Ran++
	}
}

// Ordered notes an order to load.
func (b *Book) LoadOrderReceived(w *model.Worker, frontEnd, function string, copies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, Order{b.Now(), w.Config.Name, frontEnd, function, copies})
}

// Fell notes a worker that fell over.
func (b *Book) WorkerCrashed(w *model.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.falls = append(b.falls, Fall{b.Now(), w.Config.Name})
}

// Attempts is the number of attempts of a call that workers received so far.
func (b *Book) Attempts(id string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.receipts {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Effects counts the effects that a key had at all workers.
func (b *Book) Effects(key string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.receipts {
		if r.Key == key {
			n += r.Ran
		}
	}
	return n
}
