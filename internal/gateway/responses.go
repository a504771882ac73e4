package gateway

import (
	"cmp"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// Reject implements scheduler.Actions: it gives the final response that promises that a retry does no harm.
func (f *FrontEnd) Reject(id scheduler.RequestID, retryAfter time.Duration, cause scheduler.FinishCause) {
	request := f.requests[id]
	if request == nil {
		return
	}
	if request.state == requestDisconnected {
		return
	}
	request.finishCause = cause
	if violation := request.record.MayReject(f.now); violation != execution.NoViolation {
		f.violated(violation, request)
		f.Fail(id, cause) // promises nothing
		return
	}
	reason := NoWorkerInTime.String()
	if request.lastReason != "" {
		reason += "; last: " + request.lastReason
	}
	f.respond(request, FinalResponse{Kind: Rejected, Reason: reason, RetryAfter: retryAfter})
}

// Fail implements scheduler.Actions: it gives the final response that promises nothing.
func (f *FrontEnd) Fail(id scheduler.RequestID, cause scheduler.FinishCause) {
	if request := f.requests[id]; request != nil {
		if request.state == requestCompleted {
			f.violated(execution.SecondFinalResponse, request)
			return
		}
		request.finishCause = cause
		f.respond(request, FinalResponse{Kind: Failed, Reason: request.lastReason, TimedOut: timedOut(request.lastStatus)})
	}
}

// timedOut reports whether no response was received in time for an attempt that ended with status.
func timedOut(status scheduler.Status) bool {
	return status == scheduler.Timeout || status == scheduler.Cancelled
}

// respond gives an admitted request its final response, and counts and logs it. It does nothing where none is owed.
func (f *FrontEnd) respond(request *Request, response FinalResponse) {
	if !request.complete(response) {
		return
	}
	if request.expired {
		response.Kind = Failed // as its client was told
	}
	f.recordTenantUse(request, response.Kind)
	switch response.Kind {
	case Served:
		f.counts.Served++
	case Rejected:
		f.counts.Rejected++
	case Failed:
		f.counts.Failed++
	}
	f.trace.responded(f.now, request, response)
	f.forget(request)
}

// recordTenantUse reports to the tenancy how an admitted request ended.
func (f *FrontEnd) recordTenantUse(request *Request, kind ResponseKind) {
	end := tenancy.RequestEnd{Served: kind == Served, MissedObjective: true}
	if request.attempts > 0 {
		end.Work = cmp.Or(request.runTime, request.function.cost.Estimate())
	}
	switch kind {
	case Served:
		objective := f.settings.Scheduler.Classes[request.Class].LatencyObjective
		end.MissedObjective = f.now-request.StartedAt > objective
	case Failed:
		// Other failures are the function's or the worker's, and no sign of a tenant that gets too little.
		end.MissedObjective = timedOut(request.lastStatus)
	}
	f.tenancy.RequestEnded(f.now, request.Tenant, end)
}

// ClientDisconnected ends what a request's client no longer waits for. It may come at any time: before the request
// itself, as the event loop takes events before requests; and after the final response, where one that is still
// streamed is given up. Where the scheduler may not cancel an attempt, one that was not sent is still taken back.
func (f *FrontEnd) ClientDisconnected(now time.Duration, request *Request) {
	f.now = now
	wasInFlight := request.state == requestInFlight
	if request.enter(requestDisconnected) {
		f.counts.Disconnected++
		f.trace.disconnected(now, request)
	}
	if wasInFlight {
		f.scheduler.ClientDisconnected(now, request.id)
	}
	f.runDeferred()
	if request.current != nil {
		f.dropAttempt(request.current)
	}
	f.forget(request)
	f.runDeferred()
}

// dropAttempt ends an attempt whose client disconnected, where it streams a response or was not sent yet.
func (f *FrontEnd) dropAttempt(attempt *requestAttempt) {
	if attempt.state == attemptStreaming {
		f.abandonAttempt(attempt, scheduler.Cancelled, attemptDisconnected)
		return
	}
	if attempt.request.state == requestDisconnected && attempt.worker.cancelUnsent(attempt) {
		f.endAttempt(attempt, abandonedResult(scheduler.NotSent, attemptDisconnected))
	}
}

// forget drops a request once nothing of it is in flight.
func (f *FrontEnd) forget(request *Request) {
	if request.state.isFinal() && request.current == nil {
		delete(f.requests, request.id)
		f.requestTimers.remove(&request.timer)
	}
}
