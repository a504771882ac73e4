package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/loadshed"
	"havencart/internal/memorybudget"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// Request is a client's request. The exported fields are set by the connection that received the request and, apart
// from ID, IdempotencyKey and StartedAt, do not change after Submit. The other fields belong to the event loop and
// its FrontEnd.
type Request struct {
	ID             string // chosen by the client and used in logs; generated if empty
	Class          int    // index into Settings.Classes
	Tenant         int    // index into Settings.Tenants
	IdempotencyKey string // generated if empty and the class requires a key
	Replica        muxframe.ReplicaSpec
	WorkEstimate   time.Duration // approximate execution time; 0 if unknown
	Body           []byte
	Timeout        time.Duration     // time from StartedAt until the client gives up
	StartedAt      time.Duration     // when the client sent the request, on the event loop's clock
	ArrivedAfter   time.Duration     // lower bound of the arrival time; see looplag.StallTracker.EarliestArrival
	Priority       loadshed.Priority // decides which requests are shed first
	Resent         bool              // sent again with the same ID, as its connection ended before the final response

	// memory is the reservation for the request and its body. It is released when no attempt refers to the body any more.
	memory *memorybudget.Reservation

	queuedAt    time.Duration // when the request entered the event loop's queue; 0 if it was not queued
	response    chan FinalResponse
	deliver     func(FinalResponse)
	delivery    delivery
	expiry      *time.Timer // see EventLoop.expireAfter; nil if the request does not expire
	expired     bool        // whether the expiry timer gave the final response
	state       requestState
	id          scheduler.RequestID
	deadline    time.Duration     // when the final response is due
	attempts    int               // number of attempts so far
	current     *requestAttempt   // the attempt in flight, or nil
	timer       timer             // gives the final response past the deadline; see setRequestTimer
	record      *execution.Record // execution history of the attempts; nil before the admission
	function    *function
	runTime     time.Duration // execution time as reported by the worker; 0 if it was not
	lastStatus  scheduler.Status
	finishCause scheduler.FinishCause // why the scheduler ended the request; 0 if it did not
	lastReason  string
}

// requestState is the state of a request. See Request.enter for the transitions.
type requestState uint8

const (
	requestSubmitted    requestState = iota // owned by the client's connection, or in the event loop's queue
	requestInFlight                         // admitted, without a final response
	requestCompleted                        // final state: the final response was given
	requestDisconnected                     // final state: the client disconnected before the final response
)

// isFinal reports whether s is a final state, in which the client gets no further response.
func (s requestState) isFinal() bool { return s == requestCompleted || s == requestDisconnected }

// enter moves the request to the state next and reports whether the state changed. The state only moves forward. Only
// one final state is entered: that of the final response or of the client's disconnect, whichever comes first.
func (r *Request) enter(next requestState) bool {
	if r.state.isFinal() || next <= r.state {
		return false
	}
	r.state = next
	if next.isFinal() {
		if r.record != nil {
			r.record.Close()
		} else {
			r.Body = nil // it was not admitted, so no attempt follows
			r.memory.ReleaseRejected()
		}
		r.stopExpiry()
	}
	return true
}

// stopExpiry stops the request's expiry timer. It does not affect an expiry that is already running.
func (r *Request) stopExpiry() {
	if r.expiry != nil {
		r.expiry.Stop()
	}
}

// NewRequest returns a request whose final response is sent to the channel that Response returns.
func NewRequest() *Request {
	r := &Request{response: make(chan FinalResponse, 1)}
	r.deliver = func(response FinalResponse) { r.response <- response }
	return r
}

// NewRequestWithCallback returns a request whose final response is passed to deliver. deliver is called at most once:
// by the goroutine that submits the request, by the event loop while it handles an event, or by the goroutine of the
// expiry timer. It must not block and must not call the FrontEnd.
func NewRequestWithCallback(deliver func(FinalResponse)) *Request { return &Request{deliver: deliver} }

// Response returns the channel that receives the single final response. It is nil for a request that was created with
// NewRequestWithCallback.
func (r *Request) Response() <-chan FinalResponse { return r.response }

// releaseMemory releases the body of an admitted request and its reservation. Calls after the first have no effect.
func (r *Request) releaseMemory() {
	r.Body = nil
	r.memory.Release()
}

// complete enters the state requestCompleted and delivers the final response, unless the expiry timer has already
// done so. It reports whether the state changed. All final responses except those of the expiry timer are given by
// this method.
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
