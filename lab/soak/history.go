// Package soak runs front ends as processes of their own under random faults that overlap, and judges what clients and
// workers saw by the platform's rules. Faults are drawn from a seed: signals to front ends, connections to workers that
// come up late, stall or are reset, workers that are silent, failing or replaced, an endpoint stream that breaks off, and
// clients that cancel or leave. What is judged is taken from sockets and from the processes' exits, and from the totals
// that they log.
package soak

import (
	"sync"
	"time"
)

// Outcome is the kind of a final response as a client received it.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Rejected Outcome = "rejected"
	Failed   Outcome = "failed"
)

// Response is one final response to a request.
type Response struct {
	At      time.Duration
	Outcome Outcome
	Echoed  bool // a served response had the body that a worker made for this request
}

// Request is what a client sent, and what became of it.
type Request struct {
	ID       string
	Class    ClassName
	FrontEnd int
	SentAt   time.Duration
	Wait     time.Duration
	GivenUp  time.Duration // when the client cancelled it or closed its connection; 0: it did not
	Lost     time.Duration // when its connection ended without a response; 0: it did not
	Answers  []Response
}

// Arrival is a frame of an attempt that came whole from a front end.
type Arrival struct {
	At        time.Duration
	RequestID string
	Worker    string
	Cell      int
	TTL       time.Duration
	NotRun    bool // the worker answered that it did not execute it; set by Judge
}

// LoadOrder is an order to load that came whole from a front end.
type LoadOrder struct {
	At     time.Duration
	Worker string
}

// Notice is that the endpoint stream told that a worker drains or was removed.
type Notice struct {
	Worker string
	At     time.Duration // by when every front end counts as notified
}

// Pause is a time in which a front end's process was stopped, or did not run.
type Pause struct {
	FrontEnd int
	From, To time.Duration
	Killed   bool // it was killed: what it held is lost
}

// History collects what is seen during a run. Its methods may be called from any goroutine.
type History struct {
	start time.Time

	mu       sync.Mutex
	requests map[string]*Request
	arrivals []*Arrival
	notRun   map[executionKey]int // how often a worker answered that it did not execute a request
	orders   []LoadOrder
	notices  map[string]*Notice
	pauses   []*Pause
	ends     []*Termination
	faults   []string // violations that are seen at once, as a process that crashed
}

// NewHistory returns an empty History whose clock starts now.
func NewHistory() *History {
	return &History{start: time.Now(), requests: map[string]*Request{}, notices: map[string]*Notice{}, notRun: map[executionKey]int{}}
}

// Now is the time since the start.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// Sent notes a request that a client is about to send.
func (h *History) Sent(request Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.SentAt = h.Now()
	h.requests[request.ID] = &request
}

// Written notes that a request was written: its time counts from its last byte.
func (h *History) Written(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil {
		request.SentAt = h.Now()
	}
}

// Answered notes a final response.
func (h *History) Answered(id string, outcome Outcome, echoed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil {
		request.Answers = append(request.Answers, Response{At: h.Now(), Outcome: outcome, Echoed: echoed})
	}
}

// GivenUp notes that a client cancels a request or closes its connection.
func (h *History) GivenUp(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil && request.GivenUp == 0 {
		request.GivenUp = h.Now()
	}
}

// ConnectionLost notes that a request's connection ended without a response.
func (h *History) ConnectionLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil && request.Lost == 0 {
		request.Lost = h.Now()
	}
}

// Arrived notes an attempt.
func (h *History) Arrived(arrival Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	arrival.At = h.Now()
	h.arrivals = append(h.arrivals, &arrival)
}

// NotRun notes that a worker answers that it did not execute an attempt.
func (h *History) NotRun(id, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun[executionKey{id, worker}]++
}

// executionKey names the executions of a request at a worker.
type executionKey struct {
	requestID string
	worker    string
}

// OrderedToLoad notes an order to load.
func (h *History) OrderedToLoad(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, LoadOrder{At: h.Now(), Worker: worker})
}

// Notified notes that front ends count as notified, from a time on, that a worker drains or was removed.
func (h *History) Notified(worker string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.notices[worker] == nil {
		h.notices[worker] = &Notice{Worker: worker, At: at}
	}
}

// Paused notes that a front end's process does not run from now on. The function that it returns notes that it runs again.
func (h *History) Paused(frontEnd int, killed bool) (resumed func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := &Pause{FrontEnd: frontEnd, From: h.Now(), To: never, Killed: killed}
	h.pauses = append(h.pauses, pause)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		pause.To = h.Now()
	}
}

// Termination is that a front end was told to end.
type Termination struct {
	FrontEnd int
	At       time.Duration
	Killed   bool // it had not ended when the platform may kill it
}

// Terminated notes that a front end is told to end now. The function that it returns notes that it has not, and is killed.
func (h *History) Terminated(frontEnd int) (killed func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := &Termination{FrontEnd: frontEnd, At: h.Now()}
	h.ends = append(h.ends, end)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		end.Killed = true
	}
}

// never is after the end of every run.
const never = 24 * time.Hour

// Fault notes a violation that is seen at once.
func (h *History) Fault(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, text)
}
