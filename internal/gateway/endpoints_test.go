package gateway

import (
	"errors"
	"testing"
	"time"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

// TestDrain_UnsentAttempt_IsRetriedElsewhere also holds for a request that is not idempotent.
func TestDrain_UnsentAttempt_IsRetriedElsewhere(t *testing.T) {
	h := newHarness(t, 2, nil)
	for _, worker := range h.clients {
		worker.holdsWrites = true
	}
	request := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(request)
	h.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Draining})
	h.advance(100 * ms)
	next, a := h.sentAttempt(request)
	if next == worker || a.Request.Attempt != 1 {
		t.Errorf("attempt %d at %s after the drain", a.Request.Attempt, next.name)
	}
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
}

func TestDrain_SentAttempt_IsAwaited(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(request)
	h.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Removed})
	h.advance(3 * sweepInterval / 2)
	if worker.stopped {
		t.Fatal("the client was stopped with a request in flight")
	}
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
	h.advance(2 * sweepInterval)
	if !worker.stopped {
		t.Error("the client of a removed worker is not stopped")
	}
}

func TestEndpoints_WorkerAtNewAddress_GetsNewClient(t *testing.T) {
	h := newHarness(t, 1, nil)
	old := h.clients["w0"]
	request := h.submit(idempotentClass)
	h.EndpointsChanged(h.clock, []discovery.Worker{{Name: "w0", Address: "elsewhere:1", Scale: 1, State: scheduler.Ready}})
	if h.opened != 2 || !old.drained || old.stopped {
		t.Fatalf("opened %d, old client drained %t, stopped %t", h.opened, old.drained, old.stopped)
	}
	a := old.sent[0]
	old.remove(a)
	h.AttemptEnded(h.clock, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.wantResponse(request, Served)
	h.advance(2 * sweepInterval)
	if !old.stopped {
		t.Error("the old client is not stopped")
	}
}

func TestEndpoints_WatchFailed_RetriesAfterBackoff(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.WatchFailed(h.clock, errors.New("down"))
	if h.watches != 0 {
		t.Error("requested at once")
	}
	h.advance(1100 * ms)
	if h.watches != 1 {
		t.Errorf("requested %d times", h.watches)
	}
}

// TestEndpoints_ResponseOfRemovedWorker_Counts holds in both orders of the two events; a worker that is listed again is used again.
func TestEndpoints_ResponseOfRemovedWorker_Counts(t *testing.T) {
	inBothOrders(t, "removed", "responded", func(t *testing.T, removedFirst bool) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		if removedFirst {
			h.listWorkers(0, nil)
			h.advance(2 * time.Second / 4) // the sweep keeps a busy client
			h.endWith(request, scheduler.OK)
		} else {
			h.endWith(request, scheduler.OK)
			h.listWorkers(0, nil)
		}
		h.wantResponse(request, Served)
		h.advance(2 * time.Second)
		h.listWorkers(1, nil)
		again := h.submit(nonIdempotentClass)
		h.endWith(again, scheduler.OK)
		h.wantResponse(again, Served)
	})
}

// TestEndpoints_WorkerDroppedAndRelisted_KeepsClient is about the client and what is in flight there; nothing new is sent meanwhile.
func TestEndpoints_WorkerDroppedAndRelisted_KeepsClient(t *testing.T) {
	h := newHarness(t, 1, nil)
	inFlight := h.submit(idempotentClass)
	worker := h.clients["w0"]
	h.listWorkers(0, nil)
	if !worker.drained || h.hasAttempt(h.submit(nonIdempotentClass)) {
		t.Error("a worker that is not listed is sent something")
	}
	h.listWorkers(1, nil)
	if worker.drained || h.opened != 1 {
		t.Errorf("drained %v, %d clients opened for a worker that is listed again", worker.drained, h.opened)
	}
	h.endWith(inFlight, scheduler.OK)
	h.wantResponse(inFlight, Served)
}
