package scheduler

import (
	"fmt"
	"testing"
)

func TestOutlierEjection_SilentWorker_IsEjectedAndSafeRequestsCancelled(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	warmWorker := harness.warm(7)
	r, unsafe := harness.request(7, 0), harness.request(7, 2)
	if harness.workerOf(r) != warmWorker {
		t.Fatal("the request was not sent to the warm worker")
	}
	harness.advance(2900 * ms)
	if harness.count(fmt.Sprintf("cancel %d", r)) == 0 {
		t.Error("an idempotent request at a silent worker was not cancelled")
	}
	if harness.count(fmt.Sprintf("cancel %d", unsafe)) != 0 {
		t.Error("a non-idempotent request was cancelled although it must not be retried")
	}
	if !harness.avoidsWorker(warmWorker, 7) {
		t.Error("a new request was sent to the silent worker")
	}
}

func TestOutlierEjection_FailingWorker_IsAvoided(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	for range 3 {
		r := harness.request(7, 2)
		if len(harness.sentTo[r]) == 0 || harness.workerOf(r) != w {
			break
		}
		harness.endAttempt(r, Error, ColdStartUnknown)
	}
	if !harness.avoidsWorker(w, 7) {
		t.Error("a new request was sent to a worker that failed its last requests")
	}
}

func TestOutlierEjection_TimeoutAtAnsweringWorker_DoesNotEject(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	warmWorker := harness.warm(7)
	for range 6 {
		slow, quick := harness.request(7, 0), harness.request(7, 0)
		harness.now += 100 * ms
		harness.endAttempt(quick, OK, WarmStart)
		harness.endAttempt(slow, Timeout, ColdStartUnknown)
		harness.now += 100 * ms
		harness.answerQueries(warmWorker)
		for r := slow; r <= harness.nextID; r++ {
			if harness.finalResponses[r] == "" && harness.scheduler.requests[r] != nil && harness.scheduler.requests[r].replica != nil {
				harness.endAttempt(r, OK, WarmStart)
			}
		}
	}
	if harness.scheduler.endpoints.byID[warmWorker].healthByClass[0].ejected {
		t.Error("a responsive worker was ejected because of short client timeouts")
	}
}

func TestOutlierEjection_ShortClientTimeouts_DoNotEjectWorker(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	harness.setQueueDelay(worker, 400*ms)
	for range 6 {
		harness.nextID++
		harness.scheduler.RequestReceived(harness.now, Request{ID: harness.nextID, Class: 2, Function: 7, Timeout: 700 * ms, ReplicaConcurrency: 2})
		harness.answerQueries(worker.ID)
		harness.now += 100 * ms
		harness.endAttempt(harness.nextID, Timeout, ColdStartUnknown)
	}
	if worker.healthByClass[0].ejected || harness.scheduler.queueDelay(worker) < 280*ms {
		t.Errorf("after attempts that timed out within 100 ms: ejected %v, queue delay %v; want false and at least 280 ms", worker.healthByClass[0].ejected, harness.scheduler.queueDelay(worker))
	}
}

func TestOutlierEjection_ConnectFailed_IsTriedAfterEjectionTime(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	w := harness.warm(7)
	harness.endAttempt(harness.request(7, 0), ConnectFailed, ColdStartUnknown)
	if harness.avoidsWorker(w, 8); !harness.scheduler.endpoints.byID[w].healthByClass[0].ejected || harness.scheduler.isUsable(harness.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is not ejected or is still usable")
	}
	harness.advance(minEjectionTime + tickInterval)
	if !harness.scheduler.isUsable(harness.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is not usable after its ejection period")
	}
}

func TestOutlierEjection_OneClassUnanswered_EjectsForThatClass(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	unanswered := harness.request(7, 0)
	for range 4 { // the other class continues to be answered
		r := harness.request(8, 2)
		harness.answerQueries(worker.ID)
		harness.advance(500 * ms)
		if worker.healthByClass[2].ejected || !harness.scheduler.isUsable(worker, 2) {
			t.Fatal("a worker was ejected for a class that it serves because it does not serve another")
		}
		harness.endAttempt(r, OK, WarmStart)
	}
	if !worker.healthByClass[0].ejected || harness.scheduler.isUsable(worker, 0) || worker.healthByClass[2].ejected || !harness.scheduler.isUsable(worker, 2) {
		t.Errorf("ejected for the unanswered class: %v, for the answered class: %v; want true and false",
			worker.healthByClass[0].ejected, worker.healthByClass[2].ejected)
	}
	if harness.count("cancel") == 0 {
		t.Errorf("idempotent request %d was not cancelled: %v", unanswered, harness.actions)
	}
}

func TestOutlierEjection_FrontEndStall_DoesNotEjectWorker(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	r := harness.request(7, 0)
	harness.now += 2500 * ms // after a stall, the tick is handled before the response that arrived meanwhile
	harness.scheduler.TimerFired(harness.now, 0)
	if worker.healthByClass[0].ejected || harness.count("cancel") > 0 {
		t.Error("a worker was ejected because this front end stalled")
	}
	harness.scheduler.AttemptEnded(harness.now, Outcome{Request: r, Worker: worker.ID, Status: OK, Latency: 100 * ms, RequestClosed: true, ColdStart: WarmStart})
	if run := harness.scheduler.expectedRunTime(harness.scheduler.functions.byID[7]); run > 110*ms {
		t.Errorf("expected run time is %v after a response with a latency of 100 ms that was handled late", run)
	}
	harness.request(7, 0)
	harness.advance(2900 * ms)
	if !worker.healthByClass[0].ejected {
		t.Error("a worker that stayed silent after the stall was not ejected")
	}
}

func TestOutlierEjection_QueryConnectFailed_ForgetsReplicas(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	harness.request(8, 0)
	harness.scheduler.LoadEnded(harness.now, LoadResult{Worker: w, Function: 8, Status: ConnectFailed})
	if harness.scheduler.functions.byID[7].replicaOn(harness.scheduler.endpoints.byID[w]) != nil || harness.scheduler.isUsable(harness.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection for a query is still usable or assumed to hold replicas")
	}
}
