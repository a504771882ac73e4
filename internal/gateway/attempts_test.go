package gateway

import (
	"cmp"
	"testing"
	"time"

	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func TestFrontEnd_RequestServed_IsForgotten(t *testing.T) {
	harness := newHarness(t, 2, nil)
	request := harness.submit(idempotentClass)
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	if !harness.Idle() || harness.Counts().Served != 1 {
		t.Errorf("counts %+v, want one served request and nothing in flight", harness.Counts())
	}
}

// TestRetry_NonIdempotent_OnlyIfNeverExecuted checks, for every status that a worker client reports, that a
// non-idempotent request fails if the attempt may have executed and is retried if it never executed.
func TestRetry_NonIdempotent_OnlyIfNeverExecuted(t *testing.T) {
	for _, s := range []scheduler.Status{scheduler.Reset, scheduler.Error, scheduler.Timeout, scheduler.Cancelled} {
		harness := newHarness(t, 3, nil)
		request := harness.submit(nonIdempotentClass)
		harness.endWith(request, s)
		harness.wantResponse(request, Failed)
		if request.attempts != 1 {
			t.Errorf("status %d: %d attempts, want 1", s, request.attempts)
		}
	}
	for _, s := range []scheduler.Status{scheduler.ConnectFailed, scheduler.Overloaded, scheduler.NotLoaded, scheduler.NotSent} {
		harness := newHarness(t, 3, nil)
		request := harness.submit(nonIdempotentClass)
		harness.endWith(request, s)
		harness.advance(100 * ms)
		if request.attempts < 2 || !harness.hasAttempt(request) {
			t.Errorf("status %d: %d attempts, in flight %t; want a retry, as it never executed", s, request.attempts, harness.hasAttempt(request))
		}
	}
}

func TestAttempt_ResponseAfterTimeout_IsIgnored(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := harness.submit(nonIdempotentClass)
	_, attempt := harness.sentAttempt(request)
	harness.advance(2 * time.Second)
	harness.wantResponse(request, Failed)
	harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{}})
	harness.wantResponse(request, 0)
}

func TestAttempt_StreamedResponseBreaksOff_IsNotRetried(t *testing.T) {
	harness := newHarness(t, 2, nil)
	request := harness.submit(idempotentClass)
	_, attempt := harness.sentAttempt(request)
	harness.ResponseStarted(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{}})
	harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.Reset, QueueDepth: -1})
	harness.advance(100 * ms)
	harness.wantResponse(request, Served)
	if request.attempts != 1 || !harness.Idle() {
		t.Errorf("%d attempts, idle %t: part of the response was sent, so it must not be retried", request.attempts, harness.Idle())
	}
}

func TestRetry_RejectedByWorkerClient_GoesElsewhere(t *testing.T) {
	harness := newHarness(t, 2, nil)
	first := harness.submit(nonIdempotentClass)
	worker, _ := harness.sentAttempt(first)
	worker.rejection = &workerconn.Result{Status: scheduler.ConnectFailed, QueueDepth: -1}
	harness.endWith(first, scheduler.ConnectFailed)
	harness.advance(100 * ms)
	if next, _ := harness.sentAttempt(first); next == worker {
		t.Error("the retry was sent to the same worker")
	}
}

// TestLatency_ResponseWaitedForLoop_NotCounted guards against reporting workers as slow when the event loop lags.
func TestLatency_ResponseWaitedForLoop_NotCounted(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := harness.submit(idempotentClass)
	attempt := request.current
	harness.advance(100 * time.Millisecond)
	if latency := harness.latency(attempt, workerconn.Result{ReceivedAt: attempt.sentAt + 30*time.Millisecond}); latency != 30*time.Millisecond {
		t.Errorf("a response read after 30ms, handled after 100ms, has a latency of %v", latency)
	}
	if latency := harness.latency(attempt, workerconn.Result{}); latency != 100*time.Millisecond {
		t.Errorf("a response without a time, handled after 100ms, has a latency of %v", latency)
	}
}

// TestAttempt_TimeoutAndResponse_FirstEndCounts checks both orders of the two events.
func TestAttempt_TimeoutAndResponse_FirstEndCounts(t *testing.T) {
	inBothOrders(t, "response", "timeout", func(t *testing.T, responseFirst bool) {
		harness := newHarness(t, 1, nil)
		request := harness.submit(nonIdempotentClass)
		worker, attempt := harness.sentAttempt(request)
		respond := func() {
			worker.remove(attempt)
			harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{Body: []byte("x")}})
		}
		if responseFirst {
			respond()
			harness.advance(3 * time.Second)
			harness.wantResponse(request, Served)
		} else {
			harness.advance(2*time.Second - 20*ms) // until the final response is due
			respond()
			harness.wantResponse(request, Failed) // the attempt may have executed
		}
		if n := harness.Counts().Attempts; n != 1 || !harness.Idle() {
			t.Errorf("%d attempts, want 1; idle %v, want true", n, harness.Idle())
		}
	})
}

// TestObserveCost_WorkerReportsRunTime_IsUsed checks that a reported execution time takes precedence over the elapsed
// time, because the time spent queueing at the worker is not the tenant's work.
func TestObserveCost_WorkerReportsRunTime_IsUsed(t *testing.T) {
	for _, runTime := range []time.Duration{30 * ms, 0} {
		harness := newHarness(t, 1, nil)
		worker, attempt := harness.sentAttempt(harness.submit(idempotentClass))
		worker.remove(attempt)
		harness.clock += 400 * ms
		harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, RunTime: runTime, Response: &workerconn.Response{}})
		if got := harness.functions.find(FunctionID("f")).cost.Estimate(); got != cmp.Or(runTime, 400*ms) {
			t.Errorf("an execution of %v within 400 ms costs %v", runTime, got)
		}
	}
}
