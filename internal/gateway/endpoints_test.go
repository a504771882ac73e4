package gateway

import (
	"errors"
	"testing"
	"time"

	"havencart/internal/discovery"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// TestDrain_UnsentAttempt_IsRetriedElsewhere uses a non-idempotent request, which may be retried because it was not
// sent.
func TestDrain_UnsentAttempt_IsRetriedElsewhere(t *testing.T) {
	harness := newHarness(t, 2, nil)
	for _, worker := range harness.clients {
		worker.holdsWrites = true
	}
	request := harness.submit(nonIdempotentClass)
	worker, _ := harness.sentAttempt(request)
	harness.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Draining})
	harness.advance(100 * ms)
	next, attempt := harness.sentAttempt(request)
	if next == worker || attempt.Request.Attempt != 1 {
		t.Errorf("attempt %d was sent to %s after the drain, want attempt 1 at another worker", attempt.Request.Attempt, next.name)
	}
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
}

func TestDrain_SentAttempt_IsAwaited(t *testing.T) {
	harness := newHarness(t, 2, nil)
	request := harness.submit(nonIdempotentClass)
	worker, _ := harness.sentAttempt(request)
	harness.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Removed})
	harness.advance(3 * sweepInterval / 2)
	if worker.stopped {
		t.Fatal("the client was stopped with a request in flight")
	}
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	harness.advance(2 * sweepInterval)
	if !worker.stopped {
		t.Error("the client of a removed worker is not stopped")
	}
}

func TestEndpoints_WorkerAtNewAddress_GetsNewClient(t *testing.T) {
	harness := newHarness(t, 1, nil)
	old := harness.clients["w0"]
	request := harness.submit(idempotentClass)
	harness.EndpointsListed(harness.clock, []discovery.Worker{{Name: "w0", Address: "elsewhere:1", Scale: 1, State: scheduler.Ready}})
	if harness.opened != 2 || !old.drained || old.stopped {
		t.Fatalf("%d clients were opened, want 2; old client drained %t, want true; stopped %t, want false", harness.opened, old.drained, old.stopped)
	}
	attempt := old.sent[0]
	old.remove(attempt)
	harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{}})
	harness.wantResponse(request, Served)
	harness.advance(2 * sweepInterval)
	if !old.stopped {
		t.Error("the old client is not stopped")
	}
}

func TestEndpoints_WatchFailed_RetriesAfterBackoff(t *testing.T) {
	harness := newHarness(t, 1, nil)
	harness.WatchFailed(harness.clock, errors.New("down"))
	if harness.watches != 0 {
		t.Error("the endpoint list was requested without a backoff")
	}
	harness.advance(1100 * ms)
	if harness.watches != 1 {
		t.Errorf("the endpoint list was requested %d times, want once", harness.watches)
	}
}

// TestEndpoints_ResponseOfRemovedWorker_Counts checks both orders of the removal and the response. It also checks
// that a worker that is listed again is used again.
func TestEndpoints_ResponseOfRemovedWorker_Counts(t *testing.T) {
	inBothOrders(t, "removed", "responded", func(t *testing.T, removedFirst bool) {
		harness := newHarness(t, 1, nil)
		request := harness.submit(nonIdempotentClass)
		if removedFirst {
			harness.listWorkers(0, nil)
			harness.advance(2 * time.Second / 4) // the sweep must not stop a busy client
			harness.endWith(request, scheduler.OK)
		} else {
			harness.endWith(request, scheduler.OK)
			harness.listWorkers(0, nil)
		}
		harness.wantResponse(request, Served)
		harness.advance(2 * time.Second)
		harness.listWorkers(1, nil)
		again := harness.submit(nonIdempotentClass)
		harness.endWith(again, scheduler.OK)
		harness.wantResponse(again, Served)
	})
}

// TestEndpoints_WorkerDroppedAndRelisted_KeepsClient checks that the client of a worker that is listed again is kept
// with its work in flight, and that no new work is sent to it in between.
func TestEndpoints_WorkerDroppedAndRelisted_KeepsClient(t *testing.T) {
	harness := newHarness(t, 1, nil)
	inFlight := harness.submit(idempotentClass)
	worker := harness.clients["w0"]
	harness.listWorkers(0, nil)
	if !worker.drained || harness.hasAttempt(harness.submit(nonIdempotentClass)) {
		t.Error("a worker that is not listed was not drained or was sent new work")
	}
	harness.listWorkers(1, nil)
	if worker.drained || harness.opened != 1 {
		t.Errorf("drained %v, %d clients opened for a worker that is listed again", worker.drained, harness.opened)
	}
	harness.endWith(inFlight, scheduler.OK)
	harness.wantResponse(inFlight, Served)
}

// TestEndpoints_NewWorkerAtAddressOfListedOne_TakesItsPlace guards against a new process that is taken for the old one at
// the same address: work for the old one would reach the new one, and be executed a second time in another cell.
func TestEndpoints_NewWorkerAtAddressOfListedOne_TakesItsPlace(t *testing.T) {
	harness := newHarness(t, 1, nil)
	old := harness.clients["w0"]
	old.holdsWrites = true
	unsent := harness.submit(nonIdempotentClass)
	old.holdsWrites = false
	successor := discovery.Worker{Name: "w9", Address: "h:1", Cell: "9", Scale: 1, State: scheduler.Ready}
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{successor})
	if !old.drained {
		t.Fatal("the worker that has gone was not drained")
	}
	harness.advance(100 * ms)
	if worker, _ := harness.sentAttempt(unsent); worker.name != "w9" {
		t.Errorf("request sent to %s, want the successor", worker.name)
	}
	harness.endWith(unsent, scheduler.OK)
	harness.wantResponse(unsent, Served)
	for range 8 {
		request := harness.submit(idempotentClass)
		if worker, _ := harness.sentAttempt(request); worker.name != "w9" {
			t.Fatalf("request sent to %s, want the successor", worker.name)
		}
		harness.endWith(request, scheduler.OK)
	}
	harness.advance(2 * sweepInterval)
	if !old.stopped {
		t.Error("the client of the worker that has gone is not stopped")
	}
}

// TestEndpoints_SuccessorInOtherCell_KeyedRequestNotRetriedThere guards against a keyed request that is executed twice,
// because a worker in another cell is taken for the one that had its address.
func TestEndpoints_SuccessorInOtherCell_KeyedRequestNotRetriedThere(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := harness.submit(keyedClass)
	successor := discovery.Worker{Name: "w9", Address: "h:1", Cell: "9", Scale: 1, State: scheduler.Ready}
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{successor})
	harness.endWith(request, scheduler.Error) // the connection broke, and the new process accepted another one
	harness.advance(100 * ms)
	if harness.hasAttempt(request) {
		worker, _ := harness.sentAttempt(request)
		t.Errorf("sent again to %s", worker.name)
	}
}

// TestEndpoints_AddressListedTwice_LaterStartHoldsIt checks that a late entry of the worker that has gone does not take the
// address back.
func TestEndpoints_AddressListedTwice_LaterStartHoldsIt(t *testing.T) {
	harness := newHarness(t, 0, nil)
	started := func(name string, seconds int64) discovery.Worker {
		return discovery.Worker{Name: name, Address: "h:1", Scale: 1, State: scheduler.Ready, Started: time.Unix(seconds, 0)}
	}
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{started("new", 20)})
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{started("old", 10)})
	request := harness.submit(idempotentClass)
	if worker, _ := harness.sentAttempt(request); worker.name != "new" {
		t.Errorf("request sent to %s, want the worker that started later", worker.name)
	}
}

// TestEndpoints_SuccessorRemoved_AddressIsFree checks that an address can be used again after its holder was removed.
func TestEndpoints_SuccessorRemoved_AddressIsFree(t *testing.T) {
	harness := newHarness(t, 1, nil)
	successor := discovery.Worker{Name: "w9", Address: "h:1", Scale: 1, State: scheduler.Ready}
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{successor})
	successor.State = scheduler.Removed
	harness.EndpointsUpdated(harness.clock, []discovery.Worker{successor})
	harness.listWorkers(1, nil)
	request := harness.submit(idempotentClass)
	if worker, _ := harness.sentAttempt(request); worker.name != "w0" {
		t.Errorf("request sent to %s, want the worker that is listed again", worker.name)
	}
}
