package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file handles requests that clients send again, with the same identifier, because their connection ended before
// the final response. What was done for the first request decides what happens to the second one, so that no request
// executes twice.

// maxAbandonedRequests is the number of requests without a final response whose execution history is remembered after
// the client's connection has ended. The oldest are forgotten first.
const maxAbandonedRequests = 2048

// abandonedRequest is what remains of a request whose client disconnected before the final response.
type abandonedRequest struct {
	id      string
	record  *execution.Record // nil if the request was never admitted
	waiting *Request          // the same request, sent again, that waits for the end of the attempt in flight; or nil
}

// history returns the execution history of the request, which is empty if it was never admitted.
func (a *abandonedRequest) history() *execution.Record {
	if a.record == nil {
		return &execution.Record{}
	}
	return a.record
}

// abandonedRequests remembers abandoned requests by their identifier.
type abandonedRequests struct {
	byID  map[string]*abandonedRequest
	order []*abandonedRequest // from the oldest; at most maxAbandonedRequests
}

// add remembers a request, in place of an earlier one with the same identifier. A request that was sent again and not
// admitted has no history of its own, so that what is known of the earlier one remains.
func (a *abandonedRequests) add(request *Request) {
	if request.Resent && request.record == nil {
		return
	}
	if a.byID == nil {
		a.byID = map[string]*abandonedRequest{}
	}
	if len(a.order) >= maxAbandonedRequests {
		a.forgetOldest()
	}
	added := &abandonedRequest{id: request.ID, record: request.record}
	a.byID[added.id] = added
	a.order = append(a.order, added)
}

// forgetOldest forgets the oldest request, except that an entry which was replaced leaves the newer one in place.
func (a *abandonedRequests) forgetOldest() {
	oldest := a.order[0]
	a.order[0] = nil
	a.order = a.order[1:]
	if a.byID[oldest.id] == oldest {
		delete(a.byID, oldest.id)
	}
}

// RequestAbandoned is like ClientDisconnected for a request that its client may send again, because the connection ended
// before the final response.
func (f *FrontEnd) RequestAbandoned(now time.Duration, request *Request) {
	if !request.state.isFinal() {
		f.abandoned.add(request)
	}
	f.ClientDisconnected(now, request)
}

// mayAdmitResent decides about a request that was sent again, and reports whether it may be admitted now. If not, it
// has failed, or waits for the attempt that is in flight for it.
func (f *FrontEnd) mayAdmitResent(request *Request) bool {
	abandoned := f.abandoned.byID[request.ID]
	var history *execution.Record
	if abandoned != nil {
		history = abandoned.history()
	}
	switch execution.DecideResend(&f.settings.Scheduler.Classes[request.Class], history) {
	case execution.ResendAdmit:
		return true
	case execution.ResendWait:
		abandoned.waiting = request
	case execution.ResendFail:
		f.counts.ResentAnswered++
		request.complete(FinalResponse{Kind: Failed, Reason: MayHaveExecuted.String()})
	}
	return false
}

// resolveWaiting handles a request that was sent again and waited for an attempt, which has ended now: it gets the
// worker's response, or is decided about again.
func (f *FrontEnd) resolveWaiting(attempt *requestAttempt, result workerconn.Result) {
	abandoned := f.abandoned.byID[attempt.request.ID]
	if abandoned == nil || abandoned.waiting == nil || abandoned.record != attempt.request.record {
		return
	}
	request := abandoned.waiting
	abandoned.waiting = nil
	if request.state != requestSubmitted { // its client has disconnected, too
		return
	}
	if result.Status == scheduler.OK {
		f.counts.ResentAnswered++
		request.complete(FinalResponse{Kind: Served, Response: result.Response, Worker: attempt.worker.Name})
		return
	}
	request.queuedAt = 0 // it was not the event loop that it waited for
	f.admitOrReject(request)
}

// failWaiting fails the requests that were sent again and wait for an attempt, because the front end stops.
func (f *FrontEnd) failWaiting() {
	for _, abandoned := range f.abandoned.order {
		request := abandoned.waiting
		if request == nil || request.state != requestSubmitted {
			continue
		}
		abandoned.waiting = nil
		f.counts.ResentAnswered++
		request.complete(FinalResponse{Kind: Failed, Reason: Aborted.String()})
	}
}
