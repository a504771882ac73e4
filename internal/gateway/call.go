// Package gateway is one front end: a loop that owns a control.Controller, tells it what happens on the
// connections of clients and workers, and carries out what it decides. It is in two parts. Front is the state
// machine of the calls: it is told events with their time, one at a time, and does no I/O, so that it runs in
// real time, in tests and in virtual time alike. Loop is the goroutine that owns a Front.
package gateway

import (
	"time"

	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// Kind is the kind of a final answer.
type ResponseKind int

// The kinds of final answers.
const (
	Served   ResponseKind = iota + 1 // a worker's answer
	Rejected                         // with a promise: the call did not run, or repeating it does no harm
	Failed                           // no promise: it may have run
)

// String is the kind as clients read it.
func (k ResponseKind) String() string { return [...]string{"none", "served", "refused", "failed"}[k] }

// Final is the one final answer of a call.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     string              // for people
	RetryAfter time.Duration       // advice with Refused; 0 is none
	TimedOut   bool                // with Failed: nothing was heard in time
	Response   *muxclient.Response // with Served
	Worker     string              // with Served
	Attempts   int
}

// Call is one call of one client. The exported fields are the client edge's and stay as they are from Submit
// on; the others belong to the Front that took it.
type Request struct {
	ID             string // the client's name for it, for records; empty: one is made
	Class          int
	Tenant         int
	IdempotencyKey string
	Replica        muxframe.ReplicaSpec
	WorkEstimate   time.Duration // rough work, 0 if not told
	Body           []byte
	Timeout        time.Duration // until the client gives up, counted from Since
	StartedAt      time.Duration // when the client began, on the loop's clock

	queuedAt   time.Duration // when it came into the loop's queue; 0: it waited in none
	response   chan FinalResponse
	deliver  func(FinalResponse)
	state    requestState
	id       scheduler.RequestID
	deadline time.Duration // final answer due
	attempts int
	current      *attempt
	timer    timer         // for an answer that is overdue
	mayHaveExecuted      bool          // an attempt may have run
	function       *function     // that it calls
	runTime     time.Duration // that its run took, where the worker told it
	lastStatus     scheduler.Status
	lastReason      string
}

// callState is where a call stands. It moves forward only; answered and left are entered once.
type requestState uint8

const (
	requestSubmitted    requestState = iota // with the client edge
	requestInFlight                   // taken: one final answer is owed
	requestCompleted                  // the final answer was given
	requestDisconnected                      // the client left before it
)

// NewCall returns a call whose final answer comes on Answer.
func NewRequest() *Request {
	request := &Request{response: make(chan FinalResponse, 1)}
	request.deliver = func(f FinalResponse) { request.response <- f }
	return request
}

// NewCallTo returns a call whose final answer is given to deliver, within the Front's turn.
func NewRequestTo(deliver func(FinalResponse)) *Request { return &Request{deliver: deliver} }

// Answer gives the final answer, once.
func (request *Request) Response() <-chan FinalResponse { return request.response }

// settle gives the final answer, if none was given and the client is there. All final answers go through here.
func (request *Request) complete(f FinalResponse) bool {
	if request.state >= requestCompleted {
		return false
	}
	request.state = requestCompleted
	f.Attempts = request.attempts
	request.deliver(f)
	return true
}

// mayHaveRun notes how an attempt ended, for what may be promised.
func (request *Request) recordStatus(s scheduler.Status) {
	switch s {
	case scheduler.Error, scheduler.Timeout, scheduler.Reset, scheduler.Cancelled:
		request.mayHaveExecuted = true
	}
}
