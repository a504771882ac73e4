package scheduler

import (
	"fmt"
	"testing"
)

func TestOutlierEjection_SilentWorker_IsEjectedAndSafeRequestsCancelled(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	r, unsafe := script.request(7, 0), script.request(7, 2)
	if script.workerOf(r) != w {
		t.Fatal("not sent to the warm worker")
	}
	script.advance(2900 * ms)
	if script.count(fmt.Sprintf("cancel %d", r)) == 0 {
		t.Error("an idempotent request was left with a worker that does not respond")
	}
	if script.count(fmt.Sprintf("cancel %d", unsafe)) != 0 {
		t.Error("a non-idempotent request was cancelled, though it may not be sent again")
	}
	if !script.avoidsWorker(w, 7) {
		t.Error("a new request went to the silent worker")
	}
}

func TestOutlierEjection_FailingWorker_IsPassedOver(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	for range 3 {
		r := script.request(7, 2)
		if len(script.sentTo[r]) == 0 || script.workerOf(r) != w {
			break
		}
		script.endAttempt(r, Error, ColdStartUnknown)
	}
	if !script.avoidsWorker(w, 7) {
		t.Error("a worker that failed its last requests is still the first choice")
	}
}

func TestOutlierEjection_TimeoutAtAnsweringWorker_DoesNotEject(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	for range 6 {
		slow, quick := script.request(7, 0), script.request(7, 0)
		script.now += 100 * ms
		script.endAttempt(quick, OK, WarmStart)
		script.endAttempt(slow, Timeout, ColdStartUnknown)
		script.now += 100 * ms
		script.answerQueries(w)
		for r := slow; r <= script.nextID; r++ {
			if script.answers[r] == "" && script.scheduler.requests[r] != nil && script.scheduler.requests[r].replica != nil {
				script.endAttempt(r, OK, WarmStart)
			}
		}
	}
	if script.scheduler.endpoints.byID[w].healthByClass[0].ejected {
		t.Error("a worker that answers was ejected through requests of impatient clients")
	}
}

func TestOutlierEjection_ImpatientClients_SayNothingOfWorker(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	script.setQueueDelay(worker, 400*ms)
	for range 6 {
		script.nextID++
		script.scheduler.RequestReceived(script.now, Request{ID: script.nextID, Class: 2, Function: 7, Timeout: 700 * ms, ReplicaConcurrency: 2})
		script.answerQueries(worker.ID)
		script.now += 100 * ms
		script.endAttempt(script.nextID, Timeout, ColdStartUnknown)
	}
	if worker.healthByClass[0].ejected || script.scheduler.queueDelay(worker) < 280*ms {
		t.Errorf("ejected %v, queue delay of 400 ms counts as %v after requests given up within 100 ms", worker.healthByClass[0].ejected, script.scheduler.queueDelay(worker))
	}
}

func TestOutlierEjection_ConnectFailed_IsTriedAfterEjectionTime(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	w := script.warm(7)
	script.endAttempt(script.request(7, 0), ConnectFailed, ColdStartUnknown)
	if script.avoidsWorker(w, 8); !script.scheduler.endpoints.byID[w].healthByClass[0].ejected || script.scheduler.isUsable(script.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is still sent requests")
	}
	script.advance(minEjectionTime + tickInterval)
	if !script.scheduler.isUsable(script.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is not tried again after its ejection time")
	}
}

func TestOutlierEjection_OneClassUnanswered_EjectsForThatClass(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	unanswered := script.request(7, 0)
	for range 4 { // the other class is answered all the while
		r := script.request(8, 2)
		script.answerQueries(worker.ID)
		script.advance(500 * ms)
		if worker.healthByClass[2].ejected || !script.scheduler.isUsable(worker, 2) {
			t.Fatal("a worker is ejected for a class that it serves because of another")
		}
		script.endAttempt(r, OK, WarmStart)
	}
	if !worker.healthByClass[0].ejected || script.scheduler.isUsable(worker, 0) || worker.healthByClass[2].ejected || !script.scheduler.isUsable(worker, 2) {
		t.Errorf("ejected for the class without responses %v, for the one that it serves %v; want true and false",
			worker.healthByClass[0].ejected, worker.healthByClass[2].ejected)
	}
	if script.count("cancel") == 0 {
		t.Errorf("request %d, which may run twice, was not cancelled: %v", unanswered, script.actions)
	}
}

func TestOutlierEjection_OwnStall_IsNotTakenForSilence(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	r := script.request(7, 0)
	script.now += 2500 * ms // stalled; then the tick comes first, and the answer with it
	script.scheduler.TimerFired(script.now, 0)
	if worker.healthByClass[0].ejected || script.count("cancel") > 0 {
		t.Error("a worker is ejected because this front end stalled")
	}
	script.scheduler.AttemptEnded(script.now, Outcome{Request: r, Worker: worker.ID, Status: OK, Latency: 100 * ms, RequestClosed: true, ColdStart: WarmStart})
	if run := script.scheduler.expectedRunTime(script.scheduler.functions.byID[7]); run > 110*ms {
		t.Errorf("a response reported to have taken 100 ms counts as %v, as it was handled late", run)
	}
	script.request(7, 0)
	script.advance(2900 * ms)
	if !worker.healthByClass[0].ejected {
		t.Error("a worker that stays silent after the stall is not ejected")
	}
}

func TestOutlierEjection_QueryConnectFailed_ForgetsReplicas(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	script.request(8, 0)
	script.scheduler.LoadEnded(script.now, LoadResult{Worker: w, Function: 8, Status: ConnectFailed})
	if script.scheduler.functions.byID[7].replicaOn(script.scheduler.endpoints.byID[w]) != nil || script.scheduler.isUsable(script.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refuses the connection of a query is still believed to hold its replicas")
	}
}
