package gateway

import (
	"testing"
	"time"

	"havencart/internal/decide/execution"
	"havencart/scheduler"
)

// retryKeyed submits a keyed request whose first attempt fails after 100 ms and may have executed. Before the retry,
// interrupt changes all workers.
func (harness *testHarness) retryKeyed(interrupt func(*fakeWorkerClient)) *Request {
	harness.Helper()
	request := harness.submit(keyedClass)
	harness.advance(100 * ms)
	for _, worker := range harness.clients {
		interrupt(worker)
	}
	harness.endWith(request, scheduler.Error)
	return request
}

// TestRetry_UnsentWhenKeyExpires_FailsAtOnce checks a request that may have executed and whose second attempt waits
// for a connection. Workers retain the idempotency key for one second, after which the attempt must not be sent.
func TestRetry_UnsentWhenKeyExpires_FailsAtOnce(t *testing.T) {
	harness := newHarness(t, 4, nil)
	request := harness.retryKeyed(func(worker *fakeWorkerClient) { worker.holdsWrites = true })
	worker, attempt := harness.sentAttempt(request)
	if want := harness.clock - 100*ms + time.Second; attempt.NotAfter != want {
		t.Errorf("the retry may be written until %v, want %v", attempt.NotAfter, want)
	}
	harness.advance(850 * ms)
	if len(worker.queued) != 1 {
		t.Fatal("the retry was abandoned before the key expired")
	}
	harness.advance(50 * ms)
	if len(worker.queued)+len(worker.sent) != 0 {
		t.Error("the retry still waits after the key has expired")
	}
	harness.wantResponse(request, Failed)
}

// TestRetry_SentBeforeKeyExpires_ResponseCountsAfterwards checks that an attempt that was written before the key
// expires does not end with the key: its response counts until the deadline.
func TestRetry_SentBeforeKeyExpires_ResponseCountsAfterwards(t *testing.T) {
	harness := newHarness(t, 4, nil)
	request := harness.submit(keyedClass)
	harness.advance(100 * ms)
	harness.endWith(request, scheduler.Error)
	harness.advance(1100 * ms)
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	if total := harness.Counts().Violations.Total(); total != 0 {
		t.Errorf("%d violations, want none", total)
	}
}

// TestRetry_NotReceivedWhenKeyExpires_IsGivenUp guards against the second execution of a request whose retry was written
// before the key expired, is held by an interrupted network path, and reaches its worker after the key has expired.
func TestRetry_NotReceivedWhenKeyExpires_IsGivenUp(t *testing.T) {
	harness := newHarness(t, 4, nil)
	request := harness.retryKeyed(func(worker *fakeWorkerClient) { worker.unreachable = true })
	worker, attempt := harness.sentAttempt(request)
	harness.advance(attempt.NotAfter - harness.clock - ms)
	if len(worker.sent) != 1 {
		t.Fatal("the retry was abandoned before the key expired")
	}
	harness.advance(ms)
	if len(worker.sent) != 0 || len(worker.canceled) != 1 {
		t.Errorf("%d attempts in flight, %d abandoned at the expiry of the key; want 0 and 1", len(worker.sent), len(worker.canceled))
	}
	harness.wantResponse(request, Failed)
}

// scriptedScheduler is a scheduler whose actions are chosen by a test, regardless of the state of the request.
type scriptedScheduler struct {
	Scheduler
	actions scheduler.Actions
	request scheduler.Request
}

func (s *scriptedScheduler) RequestReceived(_ time.Duration, r scheduler.Request) { s.request = r }

func (s *scriptedScheduler) AttemptEnded(time.Duration, scheduler.Outcome) {}

func (s *scriptedScheduler) LoadEnded(time.Duration, scheduler.LoadResult) {}

func newScriptedHarness(t *testing.T) (*testHarness, *scriptedScheduler) {
	scripted := &scriptedScheduler{}
	harness := newHarness(t, 4, func(set *Settings) {
		set.NewScheduler = func(now time.Duration, settings scheduler.Settings, actions scheduler.Actions) Scheduler {
			scripted.Scheduler = scheduler.New(now, settings, actions)
			scripted.actions = actions
			return scripted
		}
	})
	return harness, scripted
}

// do calls an action of the scheduler as if it were part of an event.
func (s *scriptedScheduler) do(harness *testHarness, action func()) {
	action()
	harness.runDeferred()
}

func (s *scriptedScheduler) send(harness *testHarness, worker string) {
	s.do(harness, func() { s.actions.Send(s.request.ID, WorkerID(worker), 0) })
}

// wantViolation checks that only the given violation was counted, and the number of attempts that worker clients have.
func wantViolation(t *testing.T, harness *testHarness, want execution.Violation, attempts int) {
	t.Helper()
	counts := harness.Counts().Violations
	if counts[want] != 1 || counts.Total() != 1 {
		t.Errorf("counted %v, want %v once", counts, want)
	}
	sent := 0
	for _, worker := range harness.clients {
		sent += len(worker.sent)
	}
	if sent != attempts {
		t.Errorf("%d attempts are in flight, want %d", sent, attempts)
	}
}

// TestGuard_ForbiddenSend_IsCountedAndNotSent checks sends that the execution rules forbid. Workers w0 and w2 are in
// one cell, w1 and w3 in another.
func TestGuard_ForbiddenSend_IsCountedAndNotSent(t *testing.T) {
	cases := map[string]struct {
		class   int
		prepare func(harness *testHarness, scripted *scriptedScheduler, request *Request)
		worker  string
		want    execution.Violation
		sent    int
	}{
		"retry of a non-idempotent request": {nonIdempotentClass, func(harness *testHarness, scripted *scriptedScheduler, request *Request) {
			scripted.send(harness, "w0")
			harness.endWith(request, scheduler.Reset)
		}, "w2", execution.RetryOfNonIdempotent, 0},
		"retry in another cell": {keyedClass, func(harness *testHarness, scripted *scriptedScheduler, request *Request) {
			scripted.send(harness, "w0")
			harness.endWith(request, scheduler.Error)
		}, "w1", execution.RetryOutsideKeyScope, 0},
		"retry after the key expired": {keyedClass, func(harness *testHarness, scripted *scriptedScheduler, request *Request) {
			scripted.send(harness, "w0")
			harness.endWith(request, scheduler.Error)
			harness.clock += time.Second
			harness.FireTimers(harness.clock)
		}, "w2", execution.RetryAfterKeyExpired, 0},
		"second attempt in flight": {idempotentClass, func(harness *testHarness, scripted *scriptedScheduler, _ *Request) {
			scripted.send(harness, "w0")
		}, "w1", execution.SecondAttemptInFlight, 1},
		"draining worker": {idempotentClass, func(harness *testHarness, _ *scriptedScheduler, _ *Request) {
			harness.listWorkers(4, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
		}, "w0", execution.StartAtDrainingWorker, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			harness, scripted := newScriptedHarness(t)
			request := harness.submit(c.class)
			c.prepare(harness, scripted, request)
			scripted.send(harness, c.worker)
			wantViolation(t, harness, c.want, c.sent)
		})
	}
}

func TestGuard_RejectionAfterExecution_BecomesFailure(t *testing.T) {
	harness, scripted := newScriptedHarness(t)
	request := harness.submit(nonIdempotentClass)
	scripted.send(harness, "w0")
	harness.endWith(request, scheduler.Reset)
	scripted.do(harness, func() { scripted.actions.Reject(scripted.request.ID, 0, scheduler.DeadlineTooClose) })
	harness.wantResponse(request, Failed)
	wantViolation(t, harness, execution.RejectionAfterExecution, 0)
}

func TestGuard_OrderToLoadAtDrainingWorker_IsCountedAndNotSent(t *testing.T) {
	harness, scripted := newScriptedHarness(t)
	harness.submit(idempotentClass)
	harness.listWorkers(4, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
	scripted.do(harness, func() { scripted.actions.Load(WorkerID("w0"), FunctionID("f"), 1) })
	if orders := len(harness.clients["w0"].orders); orders != 0 {
		t.Errorf("%d load orders were sent, want none", orders)
	}
	wantViolation(t, harness, execution.StartAtDrainingWorker, 0)
}
