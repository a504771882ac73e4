package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// Request is one request of one client. The exported fields are set by the connection that received it and stay as
// they are from Submit on; the others belong to the FrontEnd that received it.
type Request struct {
	ID             string // the client's name for it, for records; where empty, one is made
	Class          int    // index into Settings.Classes
	Tenant         int    // index into Settings.Tenants
	IdempotencyKey string // empty: none
	Replica        muxframe.ReplicaSpec
	WorkEstimate   time.Duration // rough execution time, 0 if unknown
	Body           []byte
	Timeout        time.Duration // until the client gives up, counted from StartedAt
	StartedAt      time.Duration // when the client began, on the event loop's clock
	ArrivedAfter   time.Duration // see looplag.StallTracker.EarliestArrival

	queuedAt    time.Duration // when it entered the event loop's queue; 0: it waited in none
	response    chan FinalResponse
	deliver     func(FinalResponse)
	delivery    delivery
	expiry      *time.Timer // see EventLoop.expireAfter; nil: it does not expire
	expired     bool        // the expiry gave its final response
	state       requestState
	id          scheduler.RequestID
	deadline    time.Duration    // when the final response is due
	attempts    int              // sent so far
	current     *requestAttempt  // the attempt in flight, or nil
	timer       timer            // for a final response past the deadline
	record      execution.Record // what was done for it; set when it is admitted
	function    *function
	runTime     time.Duration // execution time, where the worker reported it
	lastStatus  scheduler.Status
	finishCause scheduler.FinishCause // why the scheduler answered it; 0: it did not
	lastReason  string
}

// requestState is where a request stands in its life. See Request.enter for the transitions.
type requestState uint8

const (
	requestSubmitted    requestState = iota // with its client's connection, or in the event loop's queue
	requestInFlight                         // admitted: one final response is owed
	requestCompleted                        // final: the response was given
	requestDisconnected                     // final: its client disconnected before the response
)

// isFinal reports whether nothing is owed to the client any longer.
func (s requestState) isFinal() bool { return s == requestCompleted || s == requestDisconnected }

// enter moves the request to its next state and reports whether it did. The state only moves forward, and a final
// state is entered once: whichever comes first of the response and the client's disconnect.
func (r *Request) enter(next requestState) bool {
	if r.state.isFinal() || next <= r.state {
		return false
	}
	r.state = next
	if next.isFinal() {
		r.record.Close()
		r.stopExpiry()
	}
	return true
}

// stopExpiry ends the expiry of a request that needs none any longer. One that has begun ends by itself.
func (r *Request) stopExpiry() {
	if r.expiry != nil {
		r.expiry.Stop()
	}
}

// NewRequest returns a request whose final response is received from Response.
func NewRequest() *Request {
	r := &Request{response: make(chan FinalResponse, 1)}
	r.deliver = func(response FinalResponse) { r.response <- response }
	return r
}

// NewRequestWithCallback returns a request whose final response is given to deliver, once: within the handling of an event,
// or by the goroutine of its expiry. It must neither block nor call the FrontEnd.
func NewRequestWithCallback(deliver func(FinalResponse)) *Request { return &Request{deliver: deliver} }

// Response returns the channel that receives the final response, once; nil after NewRequestWithCallback.
func (r *Request) Response() <-chan FinalResponse { return r.response }

// complete gives the final response, unless the request has expired, and reports whether it was still owed by the owner of
// the request. All final responses but those of the expiry go through here.
func (r *Request) complete(response FinalResponse) bool {
	if !r.enter(requestCompleted) {
		return false
	}
	if !r.delivery.finish() {
		r.expired = true
		return true
	}
	response.Attempts = r.attempts
	r.deliver(response)
	return true
}
