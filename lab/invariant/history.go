// Package invariant checks the guarantees that front ends give, from the history of what emulated workers and clients saw
// on their sockets. It takes nothing from inside a front end.
package invariant

import (
	"sync"
	"time"

	"havencart/lab/model"
	"havencart/scheduler"
)

// Outcomes of a final response, as front ends send them to clients.
const (
	OutcomeServed   = "served"
	OutcomeRejected = "refused"
)

// Request is one attempt of a client's request, and its responses.
type Request struct {
	ID, Class, Tenant string
	IdempotencyKey    string
	FrontEnd          string
	SentAt            time.Duration
	Timeout           time.Duration // of the client
	Responses         []Response
	Disconnected      bool // the client closed the connection before a response
	ConnectionLost    bool // the connection ended without a response
}

// Response is one final response that a client received.
type Response struct {
	At       time.Duration
	Outcome  string // served, refused, failed
	Complete bool   // its body was received to the end
}

// Attempt is one attempt that a worker received, and how the worker responded.
type Attempt struct {
	At             time.Duration
	Worker, Cell   string
	Incarnation    int // of the worker
	FrontEnd       string
	RequestID      string
	Class          string
	IdempotencyKey string
	Number         int
	Work           time.Duration
	Outcome        model.Outcome // 0 while there is no response
	Executions     int           // times that its effect took place

	// Of the worker at that time, while it was cold.
	Capacity              float64 // 0: it was warm
	OverloadMultiple      float64
	OverloadWindowSeconds float64
}

// LoadOrder is one load order that a worker received, or a residency query: an order for no replicas.
type LoadOrder struct {
	At                         time.Duration
	Worker, FrontEnd, Function string
	Replicas                   int
}

// EndpointUpdate is a list of workers that a front end received.
type EndpointUpdate struct {
	At       time.Duration
	FrontEnd string
	States   map[string]scheduler.WorkerState
}

// WorkerCrash is the crash of a worker from overload.
type WorkerCrash struct {
	At     time.Duration
	Worker string
}

// FrontEndKill is the time at which a front end was killed.
type FrontEndKill struct {
	FrontEnd string
	At       time.Duration
}

// FrontEndStall is a time in which a front end's event loop stalled.
type FrontEndStall struct {
	FrontEnd string
	From, To time.Duration
}

// covers reports whether a time is within the stall.
func (s FrontEndStall) covers(at time.Duration) bool { return s.From <= at && at <= s.To }

// History collects what workers, clients and the test itself observe. It may be used by several goroutines; the zero
// History is not usable.
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

// NewHistory returns an empty History whose time starts now.
func NewHistory() *History {
	start := time.Now()
	return NewHistoryAt(start, func() time.Duration { return time.Since(start) })
}

// NewHistoryAt returns an empty History on a clock that is 0 at start.
func NewHistoryAt(start time.Time, clock func() time.Duration) *History {
	return &History{start: start, clock: clock, pending: map[*model.Request]*Attempt{}}
}

// Now is the time on the History's clock.
func (h *History) Now() time.Duration { return h.clock() }

// Elapsed converts a wall time to the History's clock.
func (h *History) Elapsed(t time.Time) time.Duration { return t.Sub(h.start) }

// RequestSent records a request as its client sends it, now.
func (h *History) RequestSent(a Request) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.SentAt = h.Now()
	h.requests = append(h.requests, &a)
	return &a
}

// ResponseReceived records a response that a client received.
func (h *History) ResponseReceived(a *Request, outcome string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Responses = append(a.Responses, Response{h.Now(), outcome, complete})
}

// RequestEnded records that a client disconnected, or else that it lost its connection.
func (h *History) RequestEnded(a *Request, disconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Disconnected, a.ConnectionLost = disconnected, !disconnected
}

// EndpointsUpdated records a list of workers that a front end received.
func (h *History) EndpointsUpdated(n EndpointUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpointUpdates = append(h.endpointUpdates, n)
}

// FrontEndKilled records that a front end was killed now: its clients must retry what it held.
func (h *History) FrontEndKilled(frontEnd string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kills = append(h.kills, FrontEndKill{frontEnd, h.Now()})
}

// FrontEndStalled records that a front end's event loop stalls from now for d: it cannot respond before the end.
func (h *History) FrontEndStalled(frontEnd string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalls = append(h.stalls, FrontEndStall{frontEnd, h.Now(), h.Now() + d})
}

// RequestReceived implements model.Observer, as do the methods below.
func (h *History) RequestReceived(w *model.Worker, c *model.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &Attempt{
		At: h.Now(), Worker: w.Config.Name, Cell: w.Config.Cell, Incarnation: w.Incarnation(), FrontEnd: c.FrontEnd,
		RequestID: c.ID, Class: c.Class, IdempotencyKey: c.IdempotencyKey, Number: c.Attempt, Work: c.Work,
	}
	if w.Cold() {
		r.Capacity, r.OverloadMultiple = w.Capacity(), w.Config.OverloadMultiple
		r.OverloadWindowSeconds = w.Config.OverloadWindow.Seconds()
	}
	h.attempts = append(h.attempts, r)
	h.pending[c] = r
}

// ResponseSent records the outcome of an attempt.
func (h *History) ResponseSent(_ *model.Worker, c *model.Request, o model.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.pending[c]; r != nil {
		r.Outcome = o
		delete(h.pending, c)
	}
}

// RequestExecuted records that an attempt's effect took place.
func (h *History) RequestExecuted(_ *model.Worker, c *model.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.pending[c]; r != nil {
		r.Executions++
	}
}

// LoadOrderReceived records a load order or a residency query.
func (h *History) LoadOrderReceived(w *model.Worker, frontEnd, function string, replicas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadOrders = append(h.loadOrders, LoadOrder{h.Now(), w.Config.Name, frontEnd, function, replicas})
}

// WorkerCrashed records a crash from overload.
func (h *History) WorkerCrashed(w *model.Worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, WorkerCrash{h.Now(), w.Config.Name})
}

// AttemptCount is the number of attempts of a request that workers received so far.
func (h *History) AttemptCount(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.attempts {
		if r.RequestID == id {
			n++
		}
	}
	return n
}

// ExecutionCount is the number of executions with an idempotency key at all workers so far.
func (h *History) ExecutionCount(key string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.attempts {
		if r.IdempotencyKey == key {
			n += r.Executions
		}
	}
	return n
}
