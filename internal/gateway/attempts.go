package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// unknownQueueDepth stands in a result for a worker that reported no queue depth.
const unknownQueueDepth = -1

// requestAttempt is one attempt of a request at one worker.
type requestAttempt struct {
	workerconn.Attempt
	request *Request
	number  int     // of the request's attempts, from 0
	worker  *worker // nil: the scheduler named a worker that is not known
	sentAt  time.Duration
	timer   timer // its response timeout
	state   attemptState
}

// attemptState is where an attempt stands. See requestAttempt.enter for the transitions.
type attemptState uint8

const (
	attemptAwaitingWorker attemptState = iota // its worker has not confirmed that it accepts new work
	attemptPending                            // queued, or sent and without a response
	attemptStreaming                          // its response has started and is passed on to the client
	attemptEnded                              // final: its outcome was reported to the scheduler
)

// enter moves the attempt to its next state and reports whether it did. The state only moves forward, so that the
// first end of an attempt is the one that counts.
func (attempt *requestAttempt) enter(next attemptState) bool {
	if next <= attempt.state {
		return false
	}
	attempt.state = next
	return true
}

// Send implements scheduler.Actions: it starts an attempt, which times out at until.
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
	f.begin(attempt)
}

// permit has the guard permit an attempt, and reports whether it did. What it forbids is a fault of the scheduler's
// decision: it is counted and not sent.
func (f *FrontEnd) permit(attempt *requestAttempt) bool {
	request := attempt.request
	if attempt.worker == nil || attempt.worker.state != scheduler.Ready {
		f.violated(execution.StartAtDrainingWorker, request)
		return false
	}
	permit, violation := request.record.Start(f.now, attempt.Deadline, attempt.worker.location())
	if violation != execution.NoViolation {
		f.violated(violation, request)
		return false
	}
	attempt.NotAfter = permit.NotAfter
	return true
}

// violated counts and logs a violation that was prevented.
func (f *FrontEnd) violated(violation execution.Violation, request *Request) {
	f.guard.Count(violation)
	f.trace.violated(f.now, violation, request)
}

// newAttempt returns a request's next attempt.
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

// sendable reports whether a worker is known, a response is owed and time is left.
func (f *FrontEnd) sendable(attempt *requestAttempt) bool {
	if attempt.worker == nil || attempt.request.state != requestInFlight {
		return false
	}
	return attempt.Deadline > f.now
}

// tenantName is the name of a tenant, empty where the settings list none.
func (f *FrontEnd) tenantName(tenant int) string {
	if tenant < len(f.settings.Tenants) {
		return f.settings.Tenants[tenant]
	}
	return ""
}

// Cancel implements scheduler.Actions: it gives up a pending attempt.
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

// ResponseStarted takes the start of a streamed response: it is the final response, and is passed on to the client
// while it is received.
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
		f.timers.remove(&attempt.timer) // the client's connection bounds how long a response may stall
		f.scheduler.ResponseStarted(now, attempt.request.id)
		f.respond(attempt.request, FinalResponse{Kind: Served, Response: result.Response, Worker: attempt.worker.Name})
		if attempt.request.expired { // nobody reads the stream
			f.abandonAttempt(attempt, scheduler.Cancelled, attemptUnwanted)
		}
	}
	f.runDeferred()
}

// AttemptEnded takes the outcome of an attempt from its worker client. An attempt that has ended already is ignored.
func (f *FrontEnd) AttemptEnded(now time.Duration, sent *workerconn.Attempt, result workerconn.Result) {
	f.now = now
	if attempt := f.attempts[sent]; attempt != nil {
		if result.Status == scheduler.OK {
			attempt.worker.accepted(sent.WriteStartedAt())
		}
		f.endAttempt(attempt, result)
	}
	f.runDeferred()
}

// LateResponse counts a response that nothing waited for any longer.
func (f *FrontEnd) LateResponse(time.Duration) { f.counts.LateResponses++ }

// abandonAttempt ends an attempt from this side. One that was not sent ends as that: NotSent where it was cancelled,
// and ConnectFailed where it timed out in the send queue, as there was no connection that took it.
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

// abandonedResult is the result of an attempt that was ended from this side.
func abandonedResult(status scheduler.Status, reason Reason) workerconn.Result {
	return workerconn.Result{Status: status, Reason: reason.String(), QueueDepth: unknownQueueDepth}
}

// endAttempt reports the outcome of an attempt to the scheduler, once. The request gets its final response before,
// where the worker served it.
func (f *FrontEnd) endAttempt(attempt *requestAttempt, result workerconn.Result) {
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
	f.learnCost(attempt, result)
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
	f.forget(request)
}

// countAttempt counts how an attempt ended, where no response of the worker ended it.
func (f *FrontEnd) countAttempt(status scheduler.Status) {
	switch status {
	case scheduler.NotSent, scheduler.ConnectFailed:
		f.counts.AttemptsNotSent++
	case scheduler.Timeout, scheduler.Reset, scheduler.Cancelled:
		f.counts.AttemptsUnanswered++
	}
}

// latency is how long an attempt took until its response was read. What the response then waited for the event loop
// is left out: counted as the worker's, a loop that lags would hold back requests from workers that are fast.
func (f *FrontEnd) latency(attempt *requestAttempt, result workerconn.Result) time.Duration {
	if result.ReceivedAt > attempt.sentAt && result.ReceivedAt < f.now {
		return result.ReceivedAt - attempt.sentAt
	}
	return f.now - attempt.sentAt
}

// learnCost learns from an attempt how long requests of its function execute, without the cold starts in it.
func (f *FrontEnd) learnCost(attempt *requestAttempt, result workerconn.Result) {
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
