package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDispatch_MoreRequestsThanConcurrency_QueuesTheRest(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	var sent, queued int
	for range 5 {
		r := harness.request(7, 0)
		switch {
		case len(harness.sentTo[r]) == 0:
			queued++
		case harness.workerOf(r) == w:
			sent++
		}
	}
	if sent != 2 || queued != 3 {
		t.Errorf("%d requests sent to the warm worker and %d queued, want 2 and 3", sent, queued)
	}
}

func TestDispatch_AttemptEnds_SendsNextQueuedRequest(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	harness.warm(7)
	first := harness.request(7, 0)
	last := first
	for range 2 {
		last = harness.request(7, 0)
	}
	if len(harness.sentTo[last]) != 0 {
		t.Fatal("the request beyond the replica's concurrency was not queued")
	}
	harness.now += 50 * ms
	harness.endAttempt(first, OK, WarmStart)
	harness.workerOf(last)
}

func TestDispatch_HeadroomFreed_GoesToHighestPriority(t *testing.T) {
	set := testSettings()
	set.Classes[2].PriorityWeight = 6
	harness := newHarness(t, set, 1)
	harness.warm(7)
	highPriority := harness.request(8, 2)
	harness.answerQueries(1)
	harness.endAttempt(highPriority, OK, WarmStart)
	harness.scheduler.endpoints.byID[1].concurrencyLimit = 1
	inFlight := harness.request(7, 0)
	lowPriority, highPriority := harness.request(7, 0), harness.request(8, 2)
	if len(harness.sentTo[lowPriority])+len(harness.sentTo[highPriority]) != 0 {
		t.Fatal("a request was sent beyond the worker's concurrency limit")
	}
	harness.now += 50 * ms
	harness.endAttempt(inFlight, OK, WarmStart)
	sent := func(r RequestID) int { return slices.Index(harness.actions, fmt.Sprintf("send %d", r)) }
	if sent(highPriority) < 0 || sent(lowPriority) >= 0 && sent(lowPriority) < sent(highPriority) {
		t.Errorf("the freed headroom went to weight 1 before weight 6: %v", harness.actions)
	}
}

func TestPickWarmReplica_OtherZone_CostsMore(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	for _, worker := range harness.scheduler.endpoints.list {
		worker.Zone = int(worker.ID) % 2 // the front end is in zone 0
	}
	for i := range 6 {
		r := harness.request(7, 0)
		harness.answerQueries(1, 2)
		if w := harness.workerOf(r); i > 0 && w != 2 { // the first request goes to the first replica reported
			t.Errorf("sent to worker %d in another zone, want worker 2, which was equally idle", w)
		}
		harness.advance(50 * ms)
		harness.endAttempt(r, OK, WarmStart)
	}
}

func TestPickWarmReplica_QueueDelayPastObjective_Rejects(t *testing.T) {
	harness := newHarness(t, testSettings(), 1)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	harness.setQueueDelay(worker, 900*ms)
	r := harness.request(7, 0) // objective 800 ms, timeout 3 s
	harness.advance(2 * tickInterval)
	if len(harness.sentTo[r]) != 0 || harness.finalResponses[r] != "rejected" {
		t.Errorf("sent to %v, response %q; want the late request rejected", harness.sentTo[r], harness.finalResponses[r])
	}
}

// TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends verifies that requests which tolerate less queue delay than
// the default run time are sent before any run was observed.
func TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends(t *testing.T) {
	set := testSettings()
	set.Classes[0] = Class{LatencyObjective: 80 * ms, Timeout: 120 * ms, PriorityWeight: 1, Idempotency: Idempotent}
	harness := newHarness(t, set, 4)
	sendUrgent := func() RequestID {
		harness.nextID++
		harness.scheduler.RequestReceived(harness.now, Request{ID: harness.nextID, Function: 7, Timeout: 120 * ms, ReplicaConcurrency: 2, LoadTimeEstimate: 50 * ms})
		harness.answerQueries()
		return harness.nextID
	}
	first := sendUrgent()
	w := harness.workerOf(first)
	harness.advance(60 * ms)
	harness.endAttempt(first, OK, ColdStartTriggered)
	if got := harness.workerOf(sendUrgent()); got != w {
		t.Errorf("the second request was sent to worker %d, want %d, where a replica is loaded", got, w)
	}
}

func TestPickWarmReplica_QueueDelayPastTimeout_Rejects(t *testing.T) {
	for _, test := range []struct {
		timeout       time.Duration
		finalResponse string
	}{{3 * time.Second, ""}, {450 * ms, "rejected"}} {
		harness := newHarness(t, testSettings(), 1)
		worker := harness.scheduler.endpoints.byID[harness.warm(7)]
		harness.setQueueDelay(worker, 400*ms)
		harness.nextID++
		harness.scheduler.RequestReceived(harness.now, Request{ID: harness.nextID, Function: 7, Timeout: test.timeout, ReplicaConcurrency: 2})
		harness.advance(350 * ms)
		if sent := len(harness.sentTo[harness.nextID]) > 0; sent != (test.finalResponse == "") || harness.finalResponses[harness.nextID] != test.finalResponse {
			t.Errorf("request with a timeout of %v at a queue delay of 400 ms: sent %v, response %q", test.timeout, sent, harness.finalResponses[harness.nextID])
		}
	}
}

func TestPickWarmReplica_Ties_Rotate(t *testing.T) {
	harness := newHarness(t, testSettings(), 3)
	r := harness.request(7, 0)
	harness.answerQueries(1, 2, 3)
	harness.endAttempt(r, OK, WarmStart)
	requestsByWorker := map[WorkerID]int{}
	for range 9 {
		r := harness.request(7, 0)
		requestsByWorker[harness.workerOf(r)]++
		harness.now += 10 * ms
		harness.endAttempt(r, OK, WarmStart)
	}
	if len(requestsByWorker) != 3 {
		t.Errorf("nine requests to three equally idle warm workers were sent as %v, want some to each", requestsByWorker)
	}
}

func TestPickWarmReplica_FewestInFlight_IsPicked(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	first := harness.request(7, 0)
	harness.answerQueries(1, 2)
	if second := harness.request(7, 0); harness.workerOf(second) == harness.workerOf(first) {
		t.Error("the second request was sent to the busy worker although another warm one was idle")
	}
}
