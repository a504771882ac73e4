package scheduler

import "time"

// retryOrFinish queues a request again, or gives it a final response, after an attempt that ended without a
// response for the client. A non-idempotent request that may have executed fails immediately.
func (s *Scheduler) retryOrFinish(request *requestRecord, status Status) {
	if status.MayHaveExecuted() {
		request.recordPossibleExecution()
		if request.class.Idempotency == NonIdempotent {
			s.rejectOrFail(request, MayNotExecuteTwice)
			return
		}
	}
	switch {
	case request.boundToKeyScope() && s.now-request.firstSentAt >= request.class.KeyRetention:
		s.rejectOrFail(request, KeyExpired)
	case request.attempts >= s.settings.MaxAttempts:
		s.rejectOrFail(request, AttemptsExhausted)
	case s.missesDeadline(request, 0):
		s.rejectOrFail(request, DeadlineTooClose)
	default:
		s.activate(request.function)
		request.function.queue = append([]*requestRecord{request}, request.function.queue...)
	}
}

// mayExecuteOn reports whether a request may be sent to a worker. A request that may have executed is sent
// only to workers that would drop the repeat, and only while they retain its idempotency key.
func (s *Scheduler) mayExecuteOn(request *requestRecord, worker *workerRecord) bool {
	if !request.mayHaveExecuted || request.class.Idempotency == Idempotent {
		return true
	}
	if request.class.Idempotency == NonIdempotent || s.keyExpires(request) {
		return false
	}
	switch request.class.KeyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return worker.Zone == request.firstLocation.zone
	case ScopeCell:
		return worker.Cell == request.firstLocation.cell
	}
	return false
}

// keyExpires reports whether the idempotency key of a request may expire before the next tick.
func (s *Scheduler) keyExpires(request *requestRecord) bool {
	return s.now-request.firstSentAt >= request.class.KeyRetention-tickInterval
}

// rejectOrFail gives a request its final response: a rejection, which the client may retry, if a repeat does
// no harm, and a failure otherwise.
func (s *Scheduler) rejectOrFail(request *requestRecord, cause FinishCause) {
	if s.isSafeToReject(request) {
		s.actions.Reject(request.ID, s.settings.MaxRetryAfter, cause)
	} else {
		s.actions.Fail(request.ID, cause)
	}
	s.closeRequest(request)
}

// isSafeToReject reports whether a retry by the client does no harm, at any time and through any front end:
// nothing was executed, a repeat is harmless, or all workers drop it. In the last case the key must still be
// retained if the client waits as long as advised and the retry is sent just before it times out.
func (s *Scheduler) isSafeToReject(request *requestRecord) bool {
	class := request.class
	if !request.mayHaveExecuted || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NonIdempotent || class.KeyScope != ScopeAll {
		return false
	}
	latestRetrySend := s.now + s.settings.MaxRetryAfter + class.Timeout
	return latestRetrySend < request.firstSentAt+class.KeyRetention
}

// ClientDisconnected handles the disconnect of a request's client: no response is owed any longer, and an
// attempt in flight is cancelled if that is allowed and its response has not begun.
func (s *Scheduler) ClientDisconnected(now time.Duration, id RequestID) {
	s.now = now
	if request := s.requests[id]; request != nil {
		if request.replica != nil && s.settings.CancelAllowed && !request.streamed {
			s.actions.Cancel(request.ID, request.attempts-1)
		}
		s.closeRequest(request)
	}
}
