package scheduler

import (
	"fmt"
	"testing"
)

func TestOutlierEjection_SilentWorker_IsEjectedAndSafeRequestsCancelled(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	r, unsafe := h.request(7, 0), h.request(7, 2)
	if h.workerOf(r) != w {
		t.Fatal("the request was not sent to the warm worker")
	}
	h.advance(2900 * ms)
	if h.count(fmt.Sprintf("cancel %d", r)) == 0 {
		t.Error("an idempotent request at a silent worker was not cancelled")
	}
	if h.count(fmt.Sprintf("cancel %d", unsafe)) != 0 {
		t.Error("a non-idempotent request was cancelled although it must not be retried")
	}
	if !h.avoidsWorker(w, 7) {
		t.Error("a new request was sent to the silent worker")
	}
}

func TestOutlierEjection_FailingWorker_IsAvoided(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	for range 3 {
		r := h.request(7, 2)
		if len(h.sentTo[r]) == 0 || h.workerOf(r) != w {
			break
		}
		h.endAttempt(r, Error, ColdStartUnknown)
	}
	if !h.avoidsWorker(w, 7) {
		t.Error("a new request was sent to a worker that failed its last requests")
	}
}

func TestOutlierEjection_TimeoutAtAnsweringWorker_DoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	for range 6 {
		slow, quick := h.request(7, 0), h.request(7, 0)
		h.now += 100 * ms
		h.endAttempt(quick, OK, WarmStart)
		h.endAttempt(slow, Timeout, ColdStartUnknown)
		h.now += 100 * ms
		h.answerQueries(w)
		for r := slow; r <= h.nextID; r++ {
			if h.answers[r] == "" && h.scheduler.requests[r] != nil && h.scheduler.requests[r].replica != nil {
				h.endAttempt(r, OK, WarmStart)
			}
		}
	}
	if h.scheduler.endpoints.byID[w].healthByClass[0].ejected {
		t.Error("a responsive worker was ejected because of short client timeouts")
	}
}

func TestOutlierEjection_ShortClientTimeouts_DoNotEjectWorker(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	h.setQueueDelay(worker, 400*ms)
	for range 6 {
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Class: 2, Function: 7, Timeout: 700 * ms, ReplicaConcurrency: 2})
		h.answerQueries(worker.ID)
		h.now += 100 * ms
		h.endAttempt(h.nextID, Timeout, ColdStartUnknown)
	}
	if worker.healthByClass[0].ejected || h.scheduler.queueDelay(worker) < 280*ms {
		t.Errorf("after client timeouts of 100 ms: ejected %v, queue delay %v; want false and about 400 ms", worker.healthByClass[0].ejected, h.scheduler.queueDelay(worker))
	}
}

func TestOutlierEjection_ConnectFailed_IsTriedAfterEjectionTime(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	w := h.warm(7)
	h.endAttempt(h.request(7, 0), ConnectFailed, ColdStartUnknown)
	if h.avoidsWorker(w, 8); !h.scheduler.endpoints.byID[w].healthByClass[0].ejected || h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is not ejected or is still usable")
	}
	h.advance(minEjectionTime + tickInterval)
	if !h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection is not usable after its ejection period")
	}
}

func TestOutlierEjection_OneClassUnanswered_EjectsForThatClass(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	unanswered := h.request(7, 0)
	for range 4 { // the other class continues to be answered
		r := h.request(8, 2)
		h.answerQueries(worker.ID)
		h.advance(500 * ms)
		if worker.healthByClass[2].ejected || !h.scheduler.isUsable(worker, 2) {
			t.Fatal("a worker was ejected for a class that it serves because it does not serve another")
		}
		h.endAttempt(r, OK, WarmStart)
	}
	if !worker.healthByClass[0].ejected || h.scheduler.isUsable(worker, 0) || worker.healthByClass[2].ejected || !h.scheduler.isUsable(worker, 2) {
		t.Errorf("ejected for the unanswered class: %v, for the answered class: %v; want true and false",
			worker.healthByClass[0].ejected, worker.healthByClass[2].ejected)
	}
	if h.count("cancel") == 0 {
		t.Errorf("idempotent request %d was not cancelled: %v", unanswered, h.actions)
	}
}

func TestOutlierEjection_FrontEndStall_DoesNotEjectWorker(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	r := h.request(7, 0)
	h.now += 2500 * ms // after a stall, the tick is handled before the response that arrived meanwhile
	h.scheduler.TimerFired(h.now, 0)
	if worker.healthByClass[0].ejected || h.count("cancel") > 0 {
		t.Error("a worker was ejected because this front end stalled")
	}
	h.scheduler.AttemptEnded(h.now, Outcome{Request: r, Worker: worker.ID, Status: OK, Latency: 100 * ms, RequestClosed: true, ColdStart: WarmStart})
	if run := h.scheduler.expectedRunTime(h.scheduler.functions.byID[7]); run > 110*ms {
		t.Errorf("expected run time is %v after a response with a latency of 100 ms that was handled late", run)
	}
	h.request(7, 0)
	h.advance(2900 * ms)
	if !worker.healthByClass[0].ejected {
		t.Error("a worker that stayed silent after the stall was not ejected")
	}
}

func TestOutlierEjection_QueryConnectFailed_ForgetsReplicas(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	h.request(8, 0)
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: w, Function: 8, Status: ConnectFailed})
	if h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[w]) != nil || h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refused the connection for a query is still usable or assumed to hold replicas")
	}
}
