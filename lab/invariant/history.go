// Package invariant checks the guarantees of front ends against an event history of what emulated workers and clients
// observed on their sockets. It uses no internal state of a front end.
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

// Request is a request that a client sent, with the responses that it received. A client's retry of a request is a
// Request of its own.
type Request struct {
	ID, Class, Tenant string
	IdempotencyKey    string
	FrontEnd          string
	SentAt            time.Duration
	Timeout           time.Duration // client's timeout, counted from SentAt
	Responses         []Response
	Disconnected      bool // the client closed the connection before a response
	ConnectionLost    bool // the connection ended without a response
}

// Response is one final response that a client received.
type Response struct {
	At       time.Duration
	Outcome  string // served, refused or failed
	Complete bool   // the whole body was received
}

// Attempt is one attempt that a worker received, and how the worker responded.
type Attempt struct {
	At             time.Duration
	Worker, Cell   string
	Incarnation    int // incarnation of the worker that received the attempt
	FrontEnd       string
	RequestID      string
	Class          string
	IdempotencyKey string
	Number         int
	Work           time.Duration
	Outcome        model.Outcome // zero until the worker responds
	Executions     int           // number of times that the attempt took effect

	// The worker's overload limit when it received the attempt. All three are zero if the worker was warm.
	Capacity              float64 // cores of speed 1
	OverloadMultiple      float64
	OverloadWindowSeconds float64
}

// LoadOrder is a load order that a worker received. A residency query is recorded as an order for no replicas.
type LoadOrder struct {
	At                         time.Duration
	Worker, FrontEnd, Function string
	Replicas                   int
}

// EndpointUpdate is an endpoint list that a front end received, reduced to the state of each worker.
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

// FrontEndStall is a period during which a front end's event loop was stalled.
type FrontEndStall struct {
	FrontEnd string
	From, To time.Duration
}

// covers reports whether the given time lies within the stall, bounds included.
func (s FrontEndStall) covers(at time.Duration) bool { return s.From <= at && at <= s.To }

// History collects what workers, clients and the test itself observe. It is safe for concurrent use. The zero History
// is not usable; NewHistory and NewHistoryAt create one.
type History struct {
	start time.Time // wall time at which clock returns 0
	clock func() time.Duration

	mu              sync.Mutex
	requests        []*Request
	attempts        []*Attempt
	pending         map[*model.Request]*Attempt // attempts without a response
	loadOrders      []LoadOrder
	endpointUpdates []EndpointUpdate
	crashes         []WorkerCrash
	kills           []FrontEndKill
	stalls          []FrontEndStall
}

// NewHistory returns an empty History whose clock starts now.
func NewHistory() *History {
	start := time.Now()
	return NewHistoryAt(start, func() time.Duration { return time.Since(start) })
}

// NewHistoryAt returns an empty History that uses the given clock, which returns 0 at start.
func NewHistoryAt(start time.Time, clock func() time.Duration) *History {
	return &History{start: start, clock: clock, pending: map[*model.Request]*Attempt{}}
}

// Now returns the time on the History's clock.
func (h *History) Now() time.Duration { return h.clock() }

// Elapsed converts a wall time to the History's clock.
func (h *History) Elapsed(t time.Time) time.Duration { return t.Sub(h.start) }

// RequestSent records a request that its client is about to send, with the current time as SentAt.
func (h *History) RequestSent(r Request) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.SentAt = h.Now()
	h.requests = append(h.requests, &r)
	return &r
}

// ResponseReceived records a response that a client received.
func (h *History) ResponseReceived(r *Request, outcome string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Responses = append(r.Responses, Response{h.Now(), outcome, complete})
}

// RequestEnded records that a request ended without a response, because its client disconnected or else because the
// connection was lost.
func (h *History) RequestEnded(r *Request, disconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Disconnected, r.ConnectionLost = disconnected, !disconnected
}

// EndpointsUpdated records an endpoint list that a front end received.
func (h *History) EndpointsUpdated(u EndpointUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpointUpdates = append(h.endpointUpdates, u)
}

// FrontEndKilled records that a front end is killed now. The requests that it held need no response; their clients must
// retry them.
func (h *History) FrontEndKilled(frontEnd string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kills = append(h.kills, FrontEndKill{frontEnd, h.Now()})
}

// FrontEndStalled records that a front end's event loop stalls for d from now on and cannot respond before the end.
func (h *History) FrontEndStalled(frontEnd string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalls = append(h.stalls, FrontEndStall{frontEnd, h.Now(), h.Now() + d})
}

// RequestReceived implements model.Observer. It records an attempt that a worker received.
func (h *History) RequestReceived(w *model.Worker, r *model.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := &Attempt{
		At: h.Now(), Worker: w.Config.Name, Cell: w.Config.Cell, Incarnation: w.Incarnation(), FrontEnd: r.FrontEnd,
		RequestID: r.ID, Class: r.Class, IdempotencyKey: r.IdempotencyKey, Number: r.Attempt, Work: r.Work,
	}
	if w.Cold() {
		a.Capacity, a.OverloadMultiple = w.Capacity(), w.Config.OverloadMultiple
		a.OverloadWindowSeconds = w.Config.OverloadWindow.Seconds()
	}
	h.attempts = append(h.attempts, a)
	h.pending[r] = a
}

// ResponseSent implements model.Observer. It records the outcome of an attempt.
func (h *History) ResponseSent(_ *model.Worker, r *model.Request, o model.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.pending[r]; a != nil {
		a.Outcome = o
		delete(h.pending, r)
	}
}

// RequestExecuted implements model.Observer. It records that an attempt took effect.
func (h *History) RequestExecuted(_ *model.Worker, r *model.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.pending[r]; a != nil {
		a.Executions++
	}
}

// LoadOrderReceived implements model.Observer. It records a load order or a residency query.
func (h *History) LoadOrderReceived(w *model.Worker, frontEnd, function string, replicas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadOrders = append(h.loadOrders, LoadOrder{h.Now(), w.Config.Name, frontEnd, function, replicas})
}

// WorkerCrashed implements model.Observer. It records the crash of a worker from overload.
func (h *History) WorkerCrashed(w *model.Worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, WorkerCrash{h.Now(), w.Config.Name})
}

// AttemptCount returns the number of attempts of a request that workers have received so far.
func (h *History) AttemptCount(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.RequestID == id {
			n++
		}
	}
	return n
}

// ExecutionCount returns the number of executions with the given idempotency key at all workers so far.
func (h *History) ExecutionCount(key string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.IdempotencyKey == key {
			n += a.Executions
		}
	}
	return n
}
