package gateway

import (
	"time"

	"havencart/scheduler"
)

// SetTimer implements scheduler.Actions. It sets a timer for the scheduler, which receives token when the timer fires.
func (f *FrontEnd) SetTimer(after time.Duration, token uint64) {
	f.timers.add(&timer{
		kind:           schedulerTimer,
		due:            f.now + max(after, f.settings.Scheduler.Resolution),
		schedulerToken: token,
	})
}

// setRequestTimer sets the timer that gives the final response if the scheduler does not give it in time. The timer is
// due after the request's deadline and before the client gives up.
func (f *FrontEnd) setRequestTimer(request *Request) {
	due := request.StartedAt + request.Timeout - f.settings.DeadlineMargin/2
	request.timer = timer{kind: requestTimer, due: due, request: request}
	f.requestTimers.add(&request.timer)
}

// NextTimer returns the time at which the next timer is due.
func (f *FrontEnd) NextTimer() time.Duration {
	next := f.timers.first().due
	if f.requestTimers.Len() > 0 {
		next = min(next, f.requestTimers.first().due-f.lag.DeadlineMargin(f.now))
	}
	return next
}

// ObserveLag records that another goroutine of the process handled something later than it was due.
func (f *FrontEnd) ObserveLag(now, late time.Duration) { f.lag.Observe(now, late) }

// FireTimers fires the timers that are due at now.
func (f *FrontEnd) FireTimers(now time.Duration) {
	f.now = now
	if due := f.timers.first().due; due < now {
		f.lag.Observe(now, now-due)
	}
	for t := f.nextDue(); t != nil; t = f.nextDue() {
		f.fire(t)
		f.runDeferred()
	}
}

// nextDue removes and returns the next timer that is due, or returns nil if there is none.
func (f *FrontEnd) nextDue() *timer {
	if t := f.timers.popDue(f.now); t != nil {
		return t
	}
	return f.requestTimers.popDue(f.now + f.lag.DeadlineMargin(f.now))
}

// fire carries out the action of a timer that is due.
func (f *FrontEnd) fire(t *timer) {
	switch t.kind {
	case schedulerTimer:
		f.scheduler.TimerFired(f.now, t.schedulerToken)
	case sweepTimer:
		f.sweep()
		f.timers.add(&timer{kind: sweepTimer, due: f.now + sweepInterval})
	case attemptTimer:
		f.attemptTimerFired(t.attempt)
	case loadOrderTimer:
		if !t.loadOrder.ended {
			t.loadOrder.worker.client.AbandonLoad(&t.loadOrder.LoadOrder)
			f.endLoadOrder(t.loadOrder, scheduler.Timeout, 0)
		}
	case healthCheckTimer:
		f.expireHealthCheck(t.healthCheck)
	case firstConfirmationTimer:
		f.endFirstConfirmationWait()
	case requestTimer:
		if t.request.state == requestInFlight {
			f.respondPastDeadline(t.request)
		}
	}
}

// attemptTimerFired handles an attempt's timer. It ends an attempt whose deadline has passed, and one that may still
// reach its worker after its permit has ended: because it is unsent, or because the network may hold it.
func (f *FrontEnd) attemptTimerFired(attempt *requestAttempt) {
	switch {
	case attempt.state > attemptPending: // the response has started, or the attempt has ended
	case f.now >= attempt.Deadline:
		f.abandonAttempt(attempt, scheduler.Timeout, attemptTimedOut)
	case attempt.state == attemptAwaitingWorker || attempt.worker.cancelUnsent(attempt):
		f.endAttempt(attempt, abandonedResult(scheduler.NotSent, attemptNotSentInTime))
	case !attempt.worker.isReceived(attempt):
		f.abandonAttempt(attempt, scheduler.Timeout, attemptNotReceivedInTime)
	default: // the attempt arrived in time: wait for the response until the deadline
		attempt.timer.due = attempt.Deadline
		f.timers.add(&attempt.timer)
	}
}

// respondPastDeadline gives the final response in place of the scheduler, which assumes more remaining time than a
// lagging event loop has. An event loop that does not lag never needs it.
func (f *FrontEnd) respondPastDeadline(request *Request) {
	f.counts.PastDeadline++
	f.log.Warn().Str("request", request.ID).Str("function", request.Replica.Function).Int("attempts", request.attempts).
		Msg("request past its deadline answered by the gateway")
	f.abort(request, NoResponse)
}

// abort ends a request without a decision by the scheduler. The request is rejected if no attempt can have executed,
// and failed otherwise. It enters its final state before the scheduler is notified of its attempt, so that the
// scheduler does not retry it.
func (f *FrontEnd) abort(request *Request, reason Reason) {
	if request.state != requestInFlight {
		return
	}
	attempt := request.current
	status := scheduler.NotSent
	if attempt != nil && attempt.worker.abandon(attempt) {
		status = scheduler.Cancelled
	}
	request.record.End(status)
	kind := Rejected
	if request.record.MayHaveExecuted() {
		kind = Failed
	}
	f.respond(request, FinalResponse{
		Kind:       kind,
		Reason:     reason.String(),
		TimedOut:   true,
		RetryAfter: f.settings.Scheduler.MaxRetryAfter,
	})
	f.scheduler.ClientDisconnected(f.now, request.id)
	if attempt != nil {
		f.endAttempt(attempt, abandonedResult(status, reason))
	}
	f.removeIfDone(request)
}
