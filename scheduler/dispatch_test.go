package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDispatch_MoreRequestsThanConcurrency_QueuesTheRest(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	var sent, queued int
	for range 5 {
		r := h.request(7, 0)
		switch {
		case len(h.sentTo[r]) == 0:
			queued++
		case h.workerOf(r) == w:
			sent++
		}
	}
	if sent != 2 || queued != 3 {
		t.Errorf("%d requests sent to the warm worker and %d queued, want 2 and 3", sent, queued)
	}
}

func TestDispatch_AttemptEnds_SendsNextQueuedRequest(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.warm(7)
	first := h.request(7, 0)
	last := first
	for range 2 {
		last = h.request(7, 0)
	}
	if len(h.sentTo[last]) != 0 {
		t.Fatal("the request beyond the replica's concurrency was not queued")
	}
	h.now += 50 * ms
	h.endAttempt(first, OK, WarmStart)
	h.workerOf(last)
}

func TestDispatch_HeadroomFreed_GoesToHighestPriority(t *testing.T) {
	set := testSettings()
	set.Classes[2].PriorityWeight = 6
	h := newHarness(t, set, 1)
	h.warm(7)
	highPriority := h.request(8, 2)
	h.answerQueries(1)
	h.endAttempt(highPriority, OK, WarmStart)
	h.scheduler.endpoints.byID[1].concurrencyLimit = 1
	inFlight := h.request(7, 0)
	lowPriority, highPriority := h.request(7, 0), h.request(8, 2)
	if len(h.sentTo[lowPriority])+len(h.sentTo[highPriority]) != 0 {
		t.Fatal("a request was sent beyond the worker's concurrency limit")
	}
	h.now += 50 * ms
	h.endAttempt(inFlight, OK, WarmStart)
	sent := func(r RequestID) int { return slices.Index(h.actions, fmt.Sprintf("send %d", r)) }
	if sent(highPriority) < 0 || sent(lowPriority) >= 0 && sent(lowPriority) < sent(highPriority) {
		t.Errorf("the freed headroom went to weight 1 before weight 6: %v", h.actions)
	}
}

func TestPickWarmReplica_OtherZone_CostsMore(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for _, worker := range h.scheduler.endpoints.list {
		worker.Zone = int(worker.ID) % 2 // the front end is in zone 0
	}
	for i := range 6 {
		r := h.request(7, 0)
		h.answerQueries(1, 2)
		if w := h.workerOf(r); i > 0 && w != 2 { // the first request goes to the first replica reported
			t.Errorf("sent to worker %d in another zone, want worker 2, which was equally idle", w)
		}
		h.advance(50 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
}

func TestPickWarmReplica_QueueDelayPastObjective_Rejects(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	h.setQueueDelay(worker, 900*ms)
	r := h.request(7, 0) // objective 800 ms, timeout 3 s
	h.advance(2 * tickInterval)
	if len(h.sentTo[r]) != 0 || h.answers[r] != "rejected" {
		t.Errorf("sent to %v, response %q; want the late request rejected", h.sentTo[r], h.answers[r])
	}
}

// TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends verifies that requests which tolerate less queue delay than
// the default run time are sent before any run was observed.
func TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends(t *testing.T) {
	set := testSettings()
	set.Classes[0] = Class{LatencyObjective: 80 * ms, Timeout: 120 * ms, PriorityWeight: 1, Idempotency: Idempotent}
	h := newHarness(t, set, 4)
	sendUrgent := func() RequestID {
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Function: 7, Timeout: 120 * ms, ReplicaConcurrency: 2, LoadTimeEstimate: 50 * ms})
		h.answerQueries()
		return h.nextID
	}
	first := sendUrgent()
	w := h.workerOf(first)
	h.advance(60 * ms)
	h.endAttempt(first, OK, ColdStartTriggered)
	if got := h.workerOf(sendUrgent()); got != w {
		t.Errorf("the second request was sent to worker %d, want %d, where a replica is loaded", got, w)
	}
}

func TestPickWarmReplica_QueueDelayPastTimeout_Rejects(t *testing.T) {
	for _, test := range []struct {
		timeout time.Duration
		answer  string
	}{{3 * time.Second, ""}, {450 * ms, "rejected"}} {
		h := newHarness(t, testSettings(), 1)
		worker := h.scheduler.endpoints.byID[h.warm(7)]
		h.setQueueDelay(worker, 400*ms)
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Function: 7, Timeout: test.timeout, ReplicaConcurrency: 2})
		h.advance(350 * ms)
		if sent := len(h.sentTo[h.nextID]) > 0; sent != (test.answer == "") || h.answers[h.nextID] != test.answer {
			t.Errorf("request with a timeout of %v at a queue delay of 400 ms: sent %v, response %q", test.timeout, sent, h.answers[h.nextID])
		}
	}
}

func TestPickWarmReplica_Ties_Rotate(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	r := h.request(7, 0)
	h.answerQueries(1, 2, 3)
	h.endAttempt(r, OK, WarmStart)
	requestsByWorker := map[WorkerID]int{}
	for range 9 {
		r := h.request(7, 0)
		requestsByWorker[h.workerOf(r)]++
		h.now += 10 * ms
		h.endAttempt(r, OK, WarmStart)
	}
	if len(requestsByWorker) != 3 {
		t.Errorf("nine requests to three equally idle warm workers were sent as %v, want some to each", requestsByWorker)
	}
}

func TestPickWarmReplica_FewestInFlight_IsPicked(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first := h.request(7, 0)
	h.answerQueries(1, 2)
	if second := h.request(7, 0); h.workerOf(second) == h.workerOf(first) {
		t.Error("the second request was sent to the busy worker although another warm one was idle")
	}
}
