package gateway

import (
	"cmp"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// Reject implements scheduler.Actions. It gives the final response Rejected, which promises that a retry is safe. If
// the execution rules do not permit that promise, it fails the request instead.
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
		f.recordViolation(violation, request)
		f.Fail(id, cause) // makes no promise about retries
		return
	}
	reason := NoWorkerInTime.String()
	if request.lastReason != "" {
		reason += "; last: " + request.lastReason
	}
	f.respond(request, FinalResponse{Kind: Rejected, Reason: reason, RetryAfter: retryAfter})
}

// Fail implements scheduler.Actions: it gives the final response Failed, which does not promise that a retry is safe.
func (f *FrontEnd) Fail(id scheduler.RequestID, cause scheduler.FinishCause) {
	if request := f.requests[id]; request != nil {
		if request.state == requestCompleted {
			f.recordViolation(execution.SecondFinalResponse, request)
			return
		}
		request.finishCause = cause
		f.respond(request, FinalResponse{Kind: Failed, Reason: request.lastReason, TimedOut: timedOut(request.lastStatus)})
	}
}

// timedOut reports whether an attempt that ended with status received no response in time.
func timedOut(status scheduler.Status) bool {
	return status == scheduler.Timeout || status == scheduler.Cancelled
}

// respond gives an admitted request its final response, counts it and logs it. It does nothing if the request is
// already in a final state.
func (f *FrontEnd) respond(request *Request, response FinalResponse) {
	if !request.complete(response) {
		return
	}
	if request.expired {
		response.Kind = Failed // the response that the expiry timer gave to the client
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
	f.removeIfDone(request)
}

// recordTenantUse reports to the tenancy limiter how an admitted request ended.
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
		// Other failures are caused by the function or the worker and do not show that the tenant gets too little
		// capacity.
		end.MissedObjective = timedOut(request.lastStatus)
	}
	f.tenancy.RequestEnded(f.now, request.Tenant, end)
}

// ClientDisconnected ends the work for a request whose client has disconnected. It may be called at any time: even
// before RequestReceived, because the event loop handles events before requests, and after the final response, in
// which case a response that is still being streamed is abandoned. An attempt that was not sent is cancelled even if
// the scheduler is not allowed to cancel attempts.
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
	f.removeIfDone(request)
	f.runDeferred()
}

// dropAttempt ends an attempt after the request's client has disconnected, if the response is being streamed or the
// attempt was not sent.
func (f *FrontEnd) dropAttempt(attempt *requestAttempt) {
	if attempt.state == attemptStreaming {
		f.abandonAttempt(attempt, scheduler.Cancelled, attemptDisconnected)
		return
	}
	if attempt.request.state == requestDisconnected && attempt.worker.cancelUnsent(attempt) {
		f.endAttempt(attempt, abandonedResult(scheduler.NotSent, attemptDisconnected))
	}
}

// removeIfDone removes a request that is in a final state and has no attempt in flight. It does nothing if the request
// was removed before or was never admitted.
func (f *FrontEnd) removeIfDone(request *Request) {
	if !request.state.isFinal() || request.current != nil || f.requests[request.id] != request {
		return
	}
	delete(f.requests, request.id)
	f.requestTimers.remove(&request.timer)
	f.functions.release(f.now, request.function)
	request.releaseMemory()
}
