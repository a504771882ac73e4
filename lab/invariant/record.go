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
type Request struct {
	ID, Class, Tenant, IdempotencyKey, FrontEnd string
	SentAt                                      time.Duration
	Timeout                                     time.Duration
	Responses                                   []Response
	Disconnected                                bool // the client closed before an answer
	ConnectionLost                              bool // the connection ended without an answer
}

// Reply is one final answer that a client saw.
type Response struct {
	At       time.Duration
	Outcome  string // served, refused, failed
	Complete bool   // its body came to its end
}

// Receipt is one attempt that a worker received, and how it was answered.
type Attempt struct {
	At                                         time.Duration
	Worker, Cell                               string
	Incarnation                                int
	FrontEnd, RequestID, Class, IdempotencyKey string
	Number                                     int
	Work                                       time.Duration
	Capacity                                   float64 // of the worker at that time; 0 where it is warm
	Outcome                                    model.Outcome
	Executions                                 int // times that its effect took place
	OverloadMultiple, OverloadWindowSeconds    float64
}

// Order is one order to load that a worker received.
type LoadOrder struct {
	At                         time.Duration
	Worker, FrontEnd, Function string
	Replicas                   int
}

// Notice is a list of workers that reached a front end.
type EndpointUpdate struct {
	At       time.Duration
	FrontEnd string
	States   map[string]scheduler.WorkerState
}

// Fall is a worker that fell over.
type WorkerCrash struct {
	At     time.Duration
	Worker string
}

// Kill is the time in which a front end did not run.
type FrontEndKill struct {
	FrontEnd string
	At       time.Duration
}

// Stall is a time in which a front end stood still.
type FrontEndStall struct {
	FrontEnd string
	From, To time.Duration
}

// Book gathers what was seen. It may be used by many goroutines; the zero Book is not usable.
type History struct {
	start time.Time // wall time at 0
	clock func() time.Duration

	mu              sync.Mutex
	requests        []*Request
	attempts        []*Attempt
	pending         map[*model.Request]*Attempt
	loadOrders      []LoadOrder
	endpointUpdates []EndpointUpdate
	crashes         []WorkerCrash
	kills           []FrontEndKill
	stalls          []FrontEndStall
}

// NewBook returns an empty Book whose time begins now.
func NewBook() *History {
	start := time.Now()
	return NewHistoryAt(start, func() time.Duration { return time.Since(start) })
}

// NewBookOn returns an empty Book on a clock that shows 0 at start.
func NewHistoryAt(start time.Time, clock func() time.Duration) *History {
	return &History{start: start, clock: clock, pending: map[*model.Request]*Attempt{}}
}

// Now is the Book's time.
func (b *History) Now() time.Duration { return b.clock() }

// At is a wall time on the Book's clock.
func (b *History) Elapsed(t time.Time) time.Duration { return t.Sub(b.start) }

// Ask notes a call as its client sends it.
func (b *History) RequestSent(a Request) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.SentAt = b.Now()
	b.requests = append(b.requests, &a)
	return &a
}

// Reply notes an answer that a client saw.
func (b *History) ResponseReceived(a *Request, outcome string, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Responses = append(a.Responses, Response{b.Now(), outcome, whole})
}

// End notes that a client left, or lost its connection.
func (b *History) RequestEnded(a *Request, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Disconnected, a.ConnectionLost = left, !left
}

// Notice notes a list that reached a front end.
func (b *History) EndpointsUpdated(n EndpointUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpointUpdates = append(b.endpointUpdates, n)
}

// Kill notes that a front end was killed: what it held is its clients' to repeat.
func (b *History) FrontEndKilled(frontEnd string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kills = append(b.kills, FrontEndKill{frontEnd, b.Now()})
}

// Stall notes that a front end stands still from now for d: it cannot answer before it goes on.
func (b *History) FrontEndStalled(frontEnd string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalls = append(b.stalls, FrontEndStall{frontEnd, b.Now(), b.Now() + d})
}

// Received implements model.Observer, as do the methods that follow.
func (b *History) RequestReceived(w *model.Worker, c *model.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Attempt{
		At: b.Now(), Worker: w.Config.Name, Cell: w.Config.Cell, Incarnation: w.Incarnation(), FrontEnd: c.FrontEnd,
		RequestID: c.ID, Class: c.Class, IdempotencyKey: c.IdempotencyKey, Number: c.Attempt, Work: c.Work,
	}
	if w.Cold() {
		r.Capacity, r.OverloadMultiple = w.Capacity(), w.Config.OverloadMultiple
		r.OverloadWindowSeconds = w.Config.OverloadWindow.Seconds()
	}
	b.attempts = append(b.attempts, r)
	b.pending[c] = r
}

// Answered notes how an attempt was answered.
func (b *History) ResponseSent(_ *model.Worker, c *model.Request, o model.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.pending[c]; r != nil {
		r.Outcome = o
		delete(b.pending, c)
	}
}

// Ran notes an effect.
func (b *History) RequestExecuted(_ *model.Worker, c *model.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.pending[c]; r != nil {
		r.Executions++
	}
}

// Ordered notes an order to load.
func (b *History) LoadOrderReceived(w *model.Worker, frontEnd, function string, copies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOrders = append(b.loadOrders, LoadOrder{b.Now(), w.Config.Name, frontEnd, function, copies})
}

// Fell notes a worker that fell over.
func (b *History) WorkerCrashed(w *model.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes = append(b.crashes, WorkerCrash{b.Now(), w.Config.Name})
}

// Attempts is the number of attempts of a call that workers received so far.
func (b *History) AttemptCount(id string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.attempts {
		if r.RequestID == id {
			n++
		}
	}
	return n
}

// Effects counts the effects that a key had at all workers.
func (b *History) ExecutionCount(key string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.attempts {
		if r.IdempotencyKey == key {
			n += r.Executions
		}
	}
	return n
}
