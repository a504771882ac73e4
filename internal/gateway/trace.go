package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/execution"
	"havencart/internal/discovery"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// trace logs the events that are needed to investigate an incident: each attempt that ended without a usable response,
// each retry, each final response that is not a worker's response, and changes of the workers. Lines about a request
// contain its ID, so that the request can be followed through the log. Attempts and final responses are sampled
// separately, so that a flood of rejections does not suppress the lines about retries.
type trace struct {
	attempts  zerolog.Logger
	responses zerolog.Logger
	workers   zerolog.Logger
	classes   []string
}

func newTrace(log zerolog.Logger, classes []string) *trace {
	return &trace{attempts: sampled(log), responses: sampled(log), workers: log, classes: classes}
}

// addRequestFields adds the fields that identify a request to a log line.
func (t *trace) addRequestFields(line *zerolog.Event, request *Request) *zerolog.Event {
	return line.Str("request", request.ID).Str("function", request.Replica.Function).Str("class", t.classes[request.Class])
}

// retried logs an attempt other than the first one of its request.
func (t *trace) retried(now time.Duration, attempt *requestAttempt) {
	line := t.attempts.Info()
	if !line.Enabled() {
		return
	}
	request := attempt.request
	t.addRequestFields(line, request).Int("attempt", attempt.number).Bool("may-have-executed", request.record.MayHaveExecuted()).
		Stringer("after", request.lastStatus).Dur("age", now-request.StartedAt)
	if request.record.MayHaveExecuted() {
		line.Dur("first-execution-age", request.record.ExecutionAge(now)).Dur("permitted-for", attempt.NotAfter-now)
	}
	if attempt.worker != nil {
		line.Str("worker", attempt.worker.Name).Str("cell", attempt.worker.Cell)
	}
	line.Msg("request retried")
}

// violationPrevented logs a rule violation that was prevented.
func (t *trace) violationPrevented(now time.Duration, violation execution.Violation, request *Request) {
	t.addRequestFields(t.workers.Error(), request).Stringer("violation", violation).Int("attempts", request.attempts).
		Dur("age", now-request.StartedAt).Msg("rule violation prevented")
}

// attemptEnded logs an attempt that ended with a status other than scheduler.OK.
func (t *trace) attemptEnded(now time.Duration, attempt *requestAttempt, result workerconn.Result) {
	if result.Status == scheduler.OK {
		return
	}
	line := t.attempts.Info()
	if !line.Enabled() {
		return
	}
	t.addRequestFields(line, attempt.request).Int("attempt", attempt.number).Stringer("status", result.Status).
		Str("reason", result.Reason).Dur("duration", now-attempt.sentAt)
	if attempt.worker != nil {
		line.Str("worker", attempt.worker.Name).Str("cell", attempt.worker.Cell)
	}
	if writtenAt := attempt.WriteStartedAt(); writtenAt > 0 {
		line.Dur("written-after", writtenAt-attempt.sentAt)
	}
	line.Msg("attempt ended")
}

// loadOrderEnded logs a load order or residency query that failed.
func (t *trace) loadOrderEnded(now time.Duration, order *loadOrder, status scheduler.Status) {
	if status == scheduler.OK {
		return
	}
	if line := t.attempts.Info(); line.Enabled() {
		line.Str("worker", order.worker.Name).Str("function", order.Load.Replica.Function).Int("replicas", order.Load.Replicas).
			Stringer("status", status).Dur("duration", now-order.sentAt).Msg("load order ended")
	}
}

// healthChecked logs a health check that did not confirm that the worker accepts new work.
func (t *trace) healthChecked(now time.Duration, check *healthCheck, status scheduler.Status) {
	if status == scheduler.OK {
		return
	}
	if line := t.attempts.Info(); line.Enabled() {
		line.Str("worker", check.worker.Name).Stringer("status", status).Dur("duration", now-check.RequestedAt).
			Int("waiting", len(check.worker.readiness.waiting.attempts)).Msg("health check ended")
	}
}

// shed logs a request that was rejected without being admitted.
func (t *trace) shed(now time.Duration, request *Request, reason Reason) {
	line := t.responses.Info()
	if !line.Enabled() {
		return
	}
	if request.queuedAt > 0 {
		line.Dur("queued", now-request.queuedAt)
	}
	addShedFields(line, request, reason).Dur("age", now-request.StartedAt).Msg("request shed")
}

// addShedFields adds the fields of a request that was not admitted to a log line.
func addShedFields(line *zerolog.Event, request *Request, reason Reason) *zerolog.Event {
	return line.Str("request", request.ID).Str("function", request.Replica.Function).Stringer("reason", reason)
}

// responded logs a final response other than the response of a worker.
func (t *trace) responded(now time.Duration, request *Request, response FinalResponse) {
	if response.Kind == Served {
		return
	}
	message := "request failed"
	if response.Kind == Rejected {
		message = "request rejected"
	}
	line := t.responses.Info()
	if !line.Enabled() {
		return
	}
	if request.finishCause != 0 {
		line.Stringer("cause", request.finishCause)
	}
	t.addRequestFields(line, request).Int("attempts", request.attempts).Str("reason", response.Reason).
		Bool("may-have-executed", request.record.MayHaveExecuted()).Dur("age", now-request.StartedAt).
		Dur("left", request.deadline-now).Msg(message)
}

// disconnected logs that the client of a request disconnected.
func (t *trace) disconnected(now time.Duration, request *Request) {
	line := t.responses.Debug()
	if line.Enabled() {
		t.addRequestFields(line, request).Int("attempts", request.attempts).Dur("age", now-request.StartedAt).Msg("client disconnected")
	}
}

// listed logs a worker that is new in the endpoint list or whose entry has changed in address, cell or start.
func (t *trace) listed(now time.Duration, w *worker, entry discovery.Worker, started time.Duration) {
	if w.client != nil && w.Address == entry.Address && w.Cell == entry.Cell && w.Started.Equal(entry.Started) {
		return
	}
	line := t.workers.Info()
	if !line.Enabled() {
		return
	}
	line.Str("worker", entry.Name).Str("address", entry.Address).Str("zone", entry.Zone).Str("cell", entry.Cell).
		Str("state", workerStateName(entry.State))
	if started != scheduler.UnknownStart {
		line.Dur("uptime", now-started)
	}
	line.Msg("worker listed")
}
