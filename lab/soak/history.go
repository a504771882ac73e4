// Package soak runs front ends as separate processes under random, overlapping faults, and checks what clients and
// workers observed against the platform's rules.
//
// Faults are drawn from a seed: signals to front ends; connections to workers that are established late, stall or are
// reset; workers that do not respond, fail or are replaced; an endpoint stream that disconnects; and clients that
// cancel requests or disconnect. The checks use what passes through sockets, the processes' exits, and the totals that
// the processes log.
package soak

import (
	"math"
	"sync"
	"time"
)

// Outcome is the kind of a final response as a client received it.
type Outcome string

// The outcomes of a request.
const (
	Served   Outcome = "served"
	Rejected Outcome = "rejected"
	Failed   Outcome = "failed"
)

// Response is one final response to a request.
type Response struct {
	At          time.Duration // time of receipt
	Outcome     Outcome
	BodyMatches bool // the response was served with the body that a worker returns for this request
}

// Request is a request that a client sent, with its responses. Its times count from the start of the run, as all times
// of a History do.
type Request struct {
	ID               string
	Class            ClassName
	FrontEnd         int
	SentAt           time.Duration // time at which the last byte of the request was written
	Timeout          time.Duration // the client's timeout, counted from SentAt
	AbandonedAt      time.Duration // time at which the client cancelled the request or disconnected; 0 if it did neither
	ConnectionLostAt time.Duration // time at which the connection ended without a response; 0 if it did not
	Responses        []Response
}

// Arrival is an attempt whose frame a worker's proxy received completely from a front end.
type Arrival struct {
	At          time.Duration
	RequestID   string
	Worker      string
	Cell        int
	TTL         time.Duration // time left to the client, as the front end passed it to the worker
	NotExecuted bool          // the worker responded that it did not execute the attempt; set by CheckHistory
}

// LoadOrder is a load order whose frame a worker's proxy received completely from a front end.
type LoadOrder struct {
	At     time.Duration
	Worker string
}

// DrainNotice records that the endpoint stream announced a worker's drain or removal.
type DrainNotice struct {
	Worker string
	At     time.Duration // time from which on all front ends count as notified
}

// Pause is a period in which a front end's process was stopped or did not exist.
type Pause struct {
	FrontEnd int
	From, To time.Duration
	Killed   bool // the process was killed, and its open requests are lost
}

// History collects the observations of a run. It is safe for concurrent use.
type History struct {
	start time.Time

	mu                  sync.Mutex
	requests            map[string]*Request // requests by Request.ID
	arrivals            []*Arrival
	notExecuted         map[executionKey]int // number of responses that a request was not executed
	loadOrders          []LoadOrder
	notices             map[string]*DrainNotice  // first notice of each worker, by its name
	listed              map[string]time.Duration // when front ends were notified of each worker that came up unlisted, by its name
	pauses              []*Pause
	terminations        []*Termination
	immediateViolations []string // violations found during the run, such as a crashed process
}

// NewHistory returns an empty History whose clock starts now.
func NewHistory() *History {
	return &History{start: time.Now(), requests: map[string]*Request{}, notices: map[string]*DrainNotice{}, listed: map[string]time.Duration{}, notExecuted: map[executionKey]int{}}
}

// Now returns the time since the start of the run.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// Sent records a request that a client is about to send.
func (h *History) Sent(request Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.SentAt = h.Now()
	h.requests[request.ID] = &request
}

// CameUpUnlisted records that a worker has come up at the address of another one, before the endpoint stream announces it.
func (h *History) CameUpUnlisted(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed[worker] = neverListed
}

// Listed records from when on front ends count as notified of a worker. It has an effect on workers that came up
// unlisted, once.
func (h *History) Listed(worker string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed[worker] == neverListed {
		h.listed[worker] = at
	}
}

// neverListed is the time at which a worker is listed that the endpoint stream does not announce.
const neverListed = time.Duration(math.MaxInt64)

// Written records that a request was written. Its timeout counts from then on.
func (h *History) Written(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil {
		request.SentAt = h.Now()
	}
}

// ResponseReceived records a final response.
func (h *History) ResponseReceived(id string, outcome Outcome, bodyMatches bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil {
		request.Responses = append(request.Responses, Response{At: h.Now(), Outcome: outcome, BodyMatches: bodyMatches})
	}
}

// Abandoned records that a client has cancelled a request or closed its connection.
func (h *History) Abandoned(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil && request.AbandonedAt == 0 {
		request.AbandonedAt = h.Now()
	}
}

// ConnectionLost records that a request's connection ended before a response.
func (h *History) ConnectionLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.requests[id]; request != nil && request.ConnectionLostAt == 0 {
		request.ConnectionLostAt = h.Now()
	}
}

// AttemptArrived records an attempt that arrives now.
func (h *History) AttemptArrived(arrival Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	arrival.At = h.Now()
	h.arrivals = append(h.arrivals, &arrival)
}

// NotExecuted records that a worker responds that it did not execute an attempt of a request.
func (h *History) NotExecuted(id, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notExecuted[executionKey{id, worker}]++
}

// executionKey identifies the executions of a request at a worker.
type executionKey struct {
	requestID string
	worker    string
}

// LoadOrderArrived records a load order that a worker's proxy receives now.
func (h *History) LoadOrderArrived(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadOrders = append(h.loadOrders, LoadOrder{At: h.Now(), Worker: worker})
}

// DrainAnnounced records that a worker's drain or removal was announced, and that front ends count as notified of it
// from a time on. Only the first call for a worker has an effect.
func (h *History) DrainAnnounced(worker string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.notices[worker] == nil {
		h.notices[worker] = &DrainNotice{Worker: worker, At: at}
	}
}

// Paused records that a front end's process does not run from now on. The caller calls resumed when it runs again.
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

// Termination records that a front end was sent SIGTERM.
type Termination struct {
	FrontEnd int
	At       time.Duration
	Killed   bool // the process had not ended after killAfter, when the platform may kill it
}

// Terminated records that a front end is sent SIGTERM now. The caller calls killed if the front end does not end in
// time and is killed.
func (h *History) Terminated(frontEnd int) (killed func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := &Termination{FrontEnd: frontEnd, At: h.Now()}
	h.terminations = append(h.terminations, end)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		end.Killed = true
	}
}

// never is later than the end of any run.
const never = 24 * time.Hour

// RecordViolation records a violation that is found during the run.
func (h *History) RecordViolation(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.immediateViolations = append(h.immediateViolations, text)
}
