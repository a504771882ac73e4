package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// unknownQueueDepth is the queue depth in the result of an attempt for which the worker reported none.
const unknownQueueDepth = -1

// requestAttempt is one attempt to execute a request on one worker.
type requestAttempt struct {
	workerconn.Attempt
	request *Request
	number  int     // index among the request's attempts, from 0
	worker  *worker // nil if the scheduler chose an unknown worker
	sentAt  time.Duration
	timer   timer // response timeout, or the end of the permit to send if that is earlier
	state   attemptState
}

// attemptState is the state of an attempt. See requestAttempt.enter for the transitions.
type attemptState uint8

const (
	attemptAwaitingWorker attemptState = iota // held until the worker confirms that it accepts new work
	attemptPending                            // queued for sending, or sent and awaiting the response
	attemptStreaming                          // the response has started and is being forwarded to the client
	attemptEnded                              // final state: the outcome is reported to the scheduler
)

// enter moves the attempt to the state next and reports whether the state changed. The state only moves forward, so
// that only the first event that ends an attempt takes effect.
func (attempt *requestAttempt) enter(next attemptState) bool {
	if next <= attempt.state {
		return false
	}
	attempt.state = next
	return true
}

// Send implements scheduler.Actions. It starts an attempt that times out at until, or at the request's deadline if that
// is earlier or until is not positive.
func (f *FrontEnd) Send(id scheduler.RequestID, to scheduler.WorkerID, until time.Duration) {
	request := f.requests[id]
	if request == nil {
		f.log.Error().Uint32("request", uint32(id)).Msg("scheduler sent a request that is not in flight")
		return
	}
	if until <= 0 || until > request.deadline {
		until = request.deadline
	}
	attempt := f.newAttempt(request, f.workers[to], until)
	permitted := f.permit(attempt)
	request.attempts++
	request.current = attempt
	f.counts.Attempts++
	if attempt.number > 0 {
		f.counts.Retries++
		f.trace.retried(f.now, attempt)
	}
	if !permitted || !f.sendable(attempt) {
		f.deferred = append(f.deferred, func() {
			f.endAttempt(attempt, workerconn.Result{Status: scheduler.NotSent, QueueDepth: unknownQueueDepth})
		})
		return
	}
	f.attempts[&attempt.Attempt] = attempt
	attempt.timer = timer{kind: attemptTimer, due: min(until, attempt.NotAfter), attempt: attempt}
	f.timers.add(&attempt.timer)
	f.sendWhenConfirmed(attempt)
}

// permit checks an attempt against the execution rules and reports whether it may be sent. An attempt that would break
// a rule is a fault in the scheduler's decision: it is counted as a violation and must not be sent.
func (f *FrontEnd) permit(attempt *requestAttempt) bool {
	request := attempt.request
	if attempt.worker == nil || attempt.worker.state != scheduler.Ready {
		f.recordViolation(execution.StartAtDrainingWorker, request)
		return false
	}
	permit, violation := request.record.Start(f.now, attempt.Deadline, attempt.worker.location())
	if violation != execution.NoViolation {
		f.recordViolation(violation, request)
		return false
	}
	attempt.NotAfter = permit.NotAfter
	return true
}

// recordViolation counts and logs a rule violation that was prevented.
func (f *FrontEnd) recordViolation(violation execution.Violation, request *Request) {
	f.guard.CountViolation(violation)
	f.trace.violationPrevented(f.now, violation, request)
}

// newAttempt returns the request's next attempt, for the worker target, with until as its deadline.
func (f *FrontEnd) newAttempt(request *Request, target *worker, until time.Duration) *requestAttempt {
	return &requestAttempt{
		Attempt: workerconn.Attempt{
			Body:     request.Body,
			Deadline: until,
			Request: muxframe.Request{
				Replica:        request.Replica,
				ID:             request.ID,
				Attempt:        request.attempts,
				Class:          f.settings.Classes[request.Class],
				Tenant:         f.tenantName(request.Tenant),
				IdempotencyKey: request.IdempotencyKey,
			},
		},
		request: request,
		number:  request.attempts,
		worker:  target,
		sentAt:  f.now,
	}
}

// sendable reports whether the attempt's worker is known, the request still awaits its final response and time is left.
func (f *FrontEnd) sendable(attempt *requestAttempt) bool {
	if attempt.worker == nil || attempt.request.state != requestInFlight {
		return false
	}
	return attempt.Deadline > f.now
}

// tenantName returns the name of the tenant with that index, or an empty string if the settings list no tenants.
func (f *FrontEnd) tenantName(tenant int) string {
	if tenant < len(f.settings.Tenants) {
		return f.settings.Tenants[tenant]
	}
	return ""
}

// Cancel implements scheduler.Actions. It cancels the attempt with the given number if it is the request's current
// attempt, unless its response is already being streamed.
func (f *FrontEnd) Cancel(id scheduler.RequestID, number int) {
	request := f.requests[id]
	if request == nil || request.current == nil {
		return
	}
	attempt := request.current
	if attempt.number != number || attempt.state == attemptStreaming {
		return
	}
	f.deferred = append(f.deferred, func() { f.abandonAttempt(attempt, scheduler.Cancelled, attemptCancelled) })
}

// ResponseStarted handles the start of a streamed response. That response is the final response of the request and is
// forwarded to the client as it arrives.
func (f *FrontEnd) ResponseStarted(now time.Duration, sent *workerconn.Attempt, result workerconn.Result) {
	f.now = now
	attempt := f.attempts[sent]
	if attempt == nil {
		return
	}
	if attempt.request.state != requestInFlight {
		f.abandonAttempt(attempt, scheduler.Cancelled, attemptUnwanted)
	} else {
		attempt.enter(attemptStreaming)
		f.timers.remove(&attempt.timer) // the client connection limits how long a stream may stall
		f.scheduler.ResponseStarted(now, attempt.request.id)
		f.respond(attempt.request, FinalResponse{Kind: Served, Response: result.Response, Worker: attempt.worker.Name})
		if attempt.request.expired { // the client has its final response and does not read the stream
			f.abandonAttempt(attempt, scheduler.Cancelled, attemptUnwanted)
		}
	}
	f.runDeferred()
}

// AttemptEnded handles the outcome of an attempt, as reported by its worker client. It ignores an attempt that has
// already ended.
func (f *FrontEnd) AttemptEnded(now time.Duration, sent *workerconn.Attempt, result workerconn.Result) {
	f.now = now
	if attempt := f.attempts[sent]; attempt != nil {
		if result.Status == scheduler.OK {
			attempt.worker.recordAccepted(sent.WriteStartedAt())
		}
		attempt.worker.recordFailure(result.Status)
		f.endAttempt(attempt, result)
	}
	f.runDeferred()
}

// LateResponse counts a worker's response to an attempt that has already ended.
func (f *FrontEnd) LateResponse(time.Duration) { f.counts.LateResponses++ }

// abandonAttempt ends an attempt on the gateway's initiative. If the attempt was never sent, its status is NotSent,
// except that an attempt that timed out in the send queue ends with ConnectFailed, because no connection took it.
func (f *FrontEnd) abandonAttempt(attempt *requestAttempt, status scheduler.Status, reason Reason) {
	if attempt.state == attemptEnded {
		return
	}
	sent := attempt.worker.abandon(attempt)
	switch {
	case sent:
	case status == scheduler.Timeout:
		status = scheduler.ConnectFailed
		reason = attemptNotSentInTime
	default:
		status = scheduler.NotSent
	}
	f.endAttempt(attempt, abandonedResult(status, reason))
}

// abandonedResult returns the result of an attempt that the gateway ended itself.
func abandonedResult(status scheduler.Status, reason Reason) workerconn.Result {
	return workerconn.Result{Status: status, Reason: reason.String(), QueueDepth: unknownQueueDepth}
}

// endAttempt ends an attempt and reports its outcome to the scheduler, at most once. If the worker served the request,
// the request gets its final response before the scheduler is notified.
func (f *FrontEnd) endAttempt(attempt *requestAttempt, result workerconn.Result) {
	if attempt.state == attemptAwaitingWorker && attempt.worker != nil {
		attempt.worker.readiness.removeAttempt(attempt)
	}
	if !attempt.enter(attemptEnded) {
		return
	}
	f.timers.remove(&attempt.timer)
	delete(f.attempts, &attempt.Attempt)
	request := attempt.request
	f.countAttempt(result.Status)
	f.trace.attemptEnded(f.now, attempt, result)
	request.current = nil
	request.lastStatus = result.Status
	request.lastReason = result.Reason
	request.record.End(result.Status)
	f.observeCost(attempt, result)
	if result.Status == scheduler.OK && request.state == requestInFlight {
		f.respond(request, FinalResponse{Kind: Served, Response: result.Response, Worker: attempt.worker.Name})
	}
	outcome := scheduler.Outcome{
		Request:       request.id,
		Attempt:       attempt.number,
		Status:        result.Status,
		Latency:       f.latency(attempt, result),
		RequestClosed: request.state != requestInFlight,
		ReachedWorker: result.ReceivedAt > 0,
		ColdStart:     result.ColdStart,
		QueueDepth:    result.QueueDepth,
		LoadReport:    result.LoadReport,
	}
	if attempt.worker != nil {
		outcome.Worker = attempt.worker.id
	}
	f.scheduler.AttemptEnded(f.now, outcome)
	f.removeIfDone(request)
	if request.state == requestDisconnected {
		f.resolveWaiting(attempt, result)
	}
}

// countAttempt counts an attempt that ended without a response from the worker.
func (f *FrontEnd) countAttempt(status scheduler.Status) {
	switch status {
	case scheduler.NotSent, scheduler.ConnectFailed:
		f.counts.AttemptsNotSent++
	case scheduler.Timeout, scheduler.Reset, scheduler.Cancelled:
		f.counts.AttemptsUnanswered++
	}
}

// latency returns the time from the start of an attempt until its response was read. The time that the response then
// waited for the event loop is excluded: if it were attributed to the worker, a lagging event loop would make the
// scheduler send fewer requests to fast workers.
func (f *FrontEnd) latency(attempt *requestAttempt, result workerconn.Result) time.Duration {
	if result.ReceivedAt > attempt.sentAt && result.ReceivedAt < f.now {
		return result.ReceivedAt - attempt.sentAt
	}
	return f.now - attempt.sentAt
}

// observeCost updates the estimate of the function's execution time from an attempt, leaving out cold starts.
func (f *FrontEnd) observeCost(attempt *requestAttempt, result workerconn.Result) {
	cost := &attempt.request.function.cost
	coldStart := result.ColdStart == scheduler.ColdStartTriggered || result.ColdStart == scheduler.ColdStartAwaited
	switch {
	case result.RunTime > 0:
		attempt.request.runTime = result.RunTime
		cost.ObserveReported(result.RunTime)
	case result.Status == scheduler.OK && !coldStart:
		cost.ObserveElapsed(f.now - attempt.sentAt)
	case result.Status == scheduler.Timeout, result.Status == scheduler.Cancelled:
		cost.ObserveAbandoned(f.now - attempt.sentAt)
	}
}
