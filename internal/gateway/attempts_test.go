package gateway

import (
	"cmp"
	"testing"
	"time"

	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

func TestFrontEnd_RequestServed_IsForgotten(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(idempotentClass)
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
	if !h.Idle() || h.Counts().Served != 1 {
		t.Errorf("%+v", h.Counts())
	}
}

// TestRetry_NonIdempotent_OnlyIfNeverExecuted holds for every status that a worker client reports: what may have executed fails, what
// never executed is retried.
func TestRetry_NonIdempotent_OnlyIfNeverExecuted(t *testing.T) {
	for _, s := range []scheduler.Status{scheduler.Reset, scheduler.Error, scheduler.Timeout, scheduler.Cancelled} {
		h := newHarness(t, 3, nil)
		request := h.submit(nonIdempotentClass)
		h.endWith(request, s)
		h.wantResponse(request, Failed)
		if request.attempts != 1 {
			t.Errorf("status %d: %d attempts", s, request.attempts)
		}
	}
	for _, s := range []scheduler.Status{scheduler.ConnectFailed, scheduler.Overloaded, scheduler.NotLoaded, scheduler.NotSent} {
		h := newHarness(t, 3, nil)
		request := h.submit(nonIdempotentClass)
		h.endWith(request, s)
		h.advance(100 * ms)
		if request.attempts < 2 || !h.hasAttempt(request) {
			t.Errorf("status %d: %d attempts, in flight %t: it never executed", s, request.attempts, h.hasAttempt(request))
		}
	}
}

func TestAttempt_ResponseAfterTimeout_IsIgnored(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(nonIdempotentClass)
	_, a := h.sentAttempt(request)
	h.advance(2 * time.Second)
	h.wantResponse(request, Failed)
	h.AttemptEnded(h.clock, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.wantResponse(request, 0)
}

func TestAttempt_StreamedResponseBreaksOff_IsNotRetried(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(idempotentClass)
	_, a := h.sentAttempt(request)
	h.ResponseStarted(h.clock, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.AttemptEnded(h.clock, a, muxclient.Result{Status: scheduler.Reset, QueueDepth: -1})
	h.advance(100 * ms)
	h.wantResponse(request, Served)
	if request.attempts != 1 || !h.Idle() {
		t.Errorf("%d attempts, idle %t: part of a response was sent, it must not be retried", request.attempts, h.Idle())
	}
}

func TestRetry_RejectedByWorkerClient_GoesElsewhere(t *testing.T) {
	h := newHarness(t, 2, nil)
	first := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(first)
	worker.rejection = &muxclient.Result{Status: scheduler.ConnectFailed, QueueDepth: -1}
	h.endWith(first, scheduler.ConnectFailed)
	h.advance(100 * ms)
	if next, _ := h.sentAttempt(first); next == worker {
		t.Error("sent to the same worker")
	}
}

// TestLatency_ResponseWaitedForLoop_NotCounted guards against reporting workers as slow where the event loop lags.
func TestLatency_ResponseWaitedForLoop_NotCounted(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(idempotentClass)
	a := request.current
	h.advance(100 * time.Millisecond)
	if latency := h.latency(a, muxclient.Result{ReceivedAt: a.sentAt + 30*time.Millisecond}); latency != 30*time.Millisecond {
		t.Errorf("a response read after 30ms, handled after 100ms, has a latency of %v", latency)
	}
	if latency := h.latency(a, muxclient.Result{}); latency != 100*time.Millisecond {
		t.Errorf("a response without a time, handled after 100ms, has a latency of %v", latency)
	}
}

// TestAttempt_TimeoutAndResponse_FirstEndCounts holds in both orders of the two events.
func TestAttempt_TimeoutAndResponse_FirstEndCounts(t *testing.T) {
	inBothOrders(t, "response", "timeout", func(t *testing.T, responseFirst bool) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		worker, a := h.sentAttempt(request)
		respond := func() {
			worker.remove(a)
			h.AttemptEnded(h.clock, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
		}
		if responseFirst {
			respond()
			h.advance(3 * time.Second)
			h.wantResponse(request, Served)
		} else {
			h.advance(2*time.Second - 20*ms) // until the response is due
			respond()
			h.wantResponse(request, Failed) // it may have executed
		}
		if n := h.Counts().Attempts; n != 1 || !h.Idle() {
			t.Errorf("%d attempts, idle %v", n, h.Idle())
		}
	})
}

// TestLearnCost_WorkerReportsRunTime_IsUsed expects the reported time, as queueing at the worker is not the tenant's work.
func TestLearnCost_WorkerReportsRunTime_IsUsed(t *testing.T) {
	for _, runTime := range []time.Duration{30 * ms, 0} {
		h := newHarness(t, 1, nil)
		worker, a := h.sentAttempt(h.submit(idempotentClass))
		worker.remove(a)
		h.clock += 400 * ms
		h.AttemptEnded(h.clock, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, RunTime: runTime, Response: &muxclient.Response{}})
		if got := h.functions[FunctionID("f")].cost.Expect(); got != cmp.Or(runTime, 400*ms) {
			t.Errorf("an execution of %v within 400 ms costs %v", runTime, got)
		}
	}
}
