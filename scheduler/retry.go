package scheduler

import "time"

// retryOrFinish decides what becomes of a request whose attempt ended without a response. A request that must
// not execute twice, and may have executed, fails at once.
func (s *Scheduler) retryOrFinish(request *requestRecord, worker *workerRecord, status Status) {
	if status.MayHaveExecuted() {
		request.recordPossibleExecution(worker)
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

// mayExecuteOn is whether the request may be sent to a worker: one that may have executed goes only where the
// repeat is dropped, while its idempotency key is remembered there.
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
		return worker.Zone == request.firstWorker.Zone
	case ScopeCell:
		return worker.Cell == request.firstWorker.Cell
	}
	return false
}

// keyExpires is whether the idempotency key of a request may be forgotten before the next tick.
func (s *Scheduler) keyExpires(request *requestRecord) bool {
	return s.now-request.firstSentAt >= request.class.KeyRetention-tickInterval
}

// rejectOrFail gives a queued request its final answer: a rejection, which the client may retry, where a
// repeat does no harm, else a failure.
func (s *Scheduler) rejectOrFail(request *requestRecord, cause FinishCause) {
	if s.isSafeToReject(request) {
		s.actions.Reject(request.ID, s.settings.MaxRetryAfter, cause)
	} else {
		s.actions.Fail(request.ID, cause)
	}
	s.closeRequest(request)
}

// isSafeToReject is whether another try by the client does no harm, whenever it comes and wherever it goes:
// nothing was executed, or a repeat is harmless, or all workers drop it. These must still know its key when
// the client, who waits as long as it was told, has its try sent at the last moment.
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

// ClientDisconnected takes the news that a client left: no answer is owed, and an attempt in flight is
// wasted.
func (s *Scheduler) ClientDisconnected(now time.Duration, id RequestID) {
	s.now = now
	if request := s.requests[id]; request != nil {
		if request.replica != nil && s.settings.CancelAllowed && !request.streamed {
			s.actions.Cancel(request.ID, request.attempts-1)
		}
		s.closeRequest(request)
	}
}
