package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDispatch_MoreRequestsThanConcurrency_QueuesTheRest(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	var sent, queued int
	for range 5 {
		r := script.request(7, 0)
		switch {
		case len(script.sentTo[r]) == 0:
			queued++
		case script.workerOf(r) == w:
			sent++
		}
	}
	if sent != 2 || queued != 3 {
		t.Errorf("%d sent to the warm worker and %d queued; its concurrency is 2", sent, queued)
	}
}

func TestDispatch_AttemptEnds_SendsNextQueuedRequest(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	script.warm(7)
	first := script.request(7, 0)
	last := first
	for range 2 {
		last = script.request(7, 0)
	}
	if len(script.sentTo[last]) != 0 {
		t.Fatal("the request after a full replica was not queued")
	}
	script.now += 50 * ms
	script.endAttempt(first, OK, WarmStart)
	script.workerOf(last)
}

func TestDispatch_HeadroomFreed_GoesToHighestPriority(t *testing.T) {
	set := testSettings()
	set.Classes[2].PriorityWeight = 6
	script := newHarness(t, set, 1)
	script.warm(7)
	highPriority := script.request(8, 2)
	script.answerQueries(1)
	script.endAttempt(highPriority, OK, WarmStart)
	script.scheduler.endpoints.byID[1].concurrencyLimit = 1
	inFlight := script.request(7, 0)
	lowPriority, highPriority := script.request(7, 0), script.request(8, 2)
	if len(script.sentTo[lowPriority])+len(script.sentTo[highPriority]) != 0 {
		t.Fatal("sent beyond the worker's limit")
	}
	script.now += 50 * ms
	script.endAttempt(inFlight, OK, WarmStart)
	sent := func(r RequestID) int { return slices.Index(script.actions, fmt.Sprintf("send %d", r)) }
	if sent(highPriority) < 0 || sent(lowPriority) >= 0 && sent(lowPriority) < sent(highPriority) {
		t.Errorf("the headroom that came free went to weight 1 before weight 6: %v", script.actions)
	}
}

func TestPickWarmReplica_OtherZone_CostsMore(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	for _, worker := range script.scheduler.endpoints.list {
		worker.Zone = int(worker.ID) % 2 // front ends are in zone 0
	}
	for i := range 6 {
		r := script.request(7, 0)
		script.answerQueries(1, 2)
		if w := script.workerOf(r); i > 0 && w != 2 { // the first goes to the first replica reported
			t.Errorf("sent to worker %d in another zone while worker 2 was as idle", w)
		}
		script.advance(50 * ms)
		script.endAttempt(r, OK, WarmStart)
	}
}

func TestPickWarmReplica_QueueDelayPastObjective_Rejects(t *testing.T) {
	script := newHarness(t, testSettings(), 1)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	script.setQueueDelay(worker, 900*ms)
	r := script.request(7, 0) // objective 800 ms, timeout 3 s
	script.advance(2 * tickInterval)
	if len(script.sentTo[r]) != 0 || script.answers[r] != "rejected" {
		t.Errorf("sent to %v, answer %q: its response would have been late, in the place of one in time", script.sentTo[r], script.answers[r])
	}
}

// TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends holds where requests
// tolerate less queue delay than the default run time, before a run was seen.
func TestPickWarmReplica_ObjectiveBelowDefaultRun_StillSends(t *testing.T) {
	set := testSettings()
	set.Classes[0] = Class{LatencyObjective: 80 * ms, Timeout: 120 * ms, PriorityWeight: 1, Idempotency: Idempotent}
	script := newHarness(t, set, 4)
	sendUrgent := func() RequestID {
		script.nextID++
		script.scheduler.RequestReceived(script.now, Request{ID: script.nextID, Function: 7, Timeout: 120 * ms, ReplicaConcurrency: 2, LoadTimeEstimate: 50 * ms})
		script.answerQueries()
		return script.nextID
	}
	first := sendUrgent()
	w := script.workerOf(first)
	script.advance(60 * ms)
	script.endAttempt(first, OK, ColdStartTriggered)
	if got := script.workerOf(sendUrgent()); got != w {
		t.Errorf("the second request went to worker %d, a replica is loaded at %d", got, w)
	}
}

func TestPickWarmReplica_QueueDelayPastTimeout_Rejects(t *testing.T) {
	for _, test := range []struct {
		timeout time.Duration
		answer  string
	}{{3 * time.Second, ""}, {450 * ms, "rejected"}} {
		script := newHarness(t, testSettings(), 1)
		worker := script.scheduler.endpoints.byID[script.warm(7)]
		script.setQueueDelay(worker, 400*ms)
		script.nextID++
		script.scheduler.RequestReceived(script.now, Request{ID: script.nextID, Function: 7, Timeout: test.timeout, ReplicaConcurrency: 2})
		script.advance(350 * ms)
		if sent := len(script.sentTo[script.nextID]) > 0; sent != (test.answer == "") || script.answers[script.nextID] != test.answer {
			t.Errorf("a request with %v left, for a worker where requests wait 400 ms: sent %v, answer %q", test.timeout, sent, script.answers[script.nextID])
		}
	}
}

func TestPickWarmReplica_Ties_Rotate(t *testing.T) {
	script := newHarness(t, testSettings(), 3)
	r := script.request(7, 0)
	script.answerQueries(1, 2, 3)
	script.endAttempt(r, OK, WarmStart)
	seen := map[WorkerID]int{}
	for range 9 {
		r := script.request(7, 0)
		seen[script.workerOf(r)]++
		script.now += 10 * ms
		script.endAttempt(r, OK, WarmStart)
	}
	if len(seen) != 3 {
		t.Errorf("equally idle warm workers got %v of nine requests", seen)
	}
}

func TestPickWarmReplica_FewestInFlight_IsPicked(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	first := script.request(7, 0)
	script.answerQueries(1, 2)
	if second := script.request(7, 0); script.workerOf(second) == script.workerOf(first) {
		t.Error("the second request went to the worker that has the first, another warm one has none")
	}
}
