package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestConcurrencyLimit_OverloadedWorker_IsDecreased(t *testing.T) {
	script := newHarness(t, testSettings(), 1)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	before := worker.concurrencyLimit
	script.request(7, 0)
	script.now += 200 * ms
	script.endAttempt(script.nextID, Overloaded, ColdStartUnknown)
	if worker.concurrencyLimit >= before {
		t.Errorf("limit %.1f after a request was rejected as overloaded, %.1f before", worker.concurrencyLimit, before)
	}
}

func TestUnloadedRunTime_OverloadOfAllWorkers_RisesSlowly(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	script.warm(7)
	before := script.scheduler.unloadedRunTime(0)
	for range 10 {
		r := script.request(7, 0)
		script.advance(time.Second)
		script.endAttempt(r, OK, WarmStart)
		script.answerQueries()
		for _, worker := range script.scheduler.endpoints.list {
			script.clearQueueDelay(worker) // decayed when the next one comes
		}
	}
	if now := script.scheduler.unloadedRunTime(0); now > before+before/2 {
		t.Errorf("the unloaded run time rose from %v to %v while all were slow", before, now)
	}
}

func TestContactedDelay_LatestContacted_ShowOverload(t *testing.T) {
	script := newHarness(t, testSettings(), 60)
	for i, worker := range slices.Backward(script.scheduler.endpoints.list) {
		contactedAt, delay := script.now-5*time.Second, float64(ms)
		if i < contactedLatest {
			contactedAt, delay = script.now-1500*ms, float64(2*time.Second)
		}
		script.scheduler.delay.set(worker, contactedAt, delay)
	}
	if now := script.scheduler.contactedDelay(); now < float64(time.Second) {
		t.Errorf("the queue delay is %v by the workers contacted in ten seconds; at those contacted last it is 2s", time.Duration(now))
	}
}

func TestQueueDelay_OverloadedResponse_CountsAsLongDelay(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	script.endAttemptWithQueueDepth(script.request(7, 0), Overloaded, 20)
	if worker.queueDelay.observed < float64(time.Second) {
		t.Errorf("a worker that rejected a request as overloaded counts as one where requests wait %v", time.Duration(worker.queueDelay.observed))
	}
}

// TestContactedDelay_LongRun_IsNoQueueDelay holds that a long run is not taken for a queue delay: among several
// requests in flight at a worker one has always been so for long.
func TestContactedDelay_LongRun_IsNoQueueDelay(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	for _, other := range script.scheduler.endpoints.list {
		script.setQueueDelay(other, 0)
	}
	if r := script.request(7, 0); script.workerOf(r) != worker.ID {
		t.Fatalf("the request went to worker %d, a replica is loaded at %d", script.workerOf(r), worker.ID)
	}
	script.advance(responseTimeoutFloor)
	if now := script.scheduler.contactedDelay(); now > 0 {
		t.Errorf("a request in flight for %v counts as a queue delay of %v", responseTimeoutFloor, time.Duration(now))
	}
}

// TestQueueDelay_FrequentContacts_ShortenMemory holds that a front end with many requests for few workers does not
// avoid one for long after a queue delay that passed.
func TestQueueDelay_FrequentContacts_ShortenMemory(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	script.warm(7)
	script.advance(tickInterval)
	rarelyContacted := script.scheduler.delay.memory
	for range 400 {
		script.endAttempt(script.request(7, 0), OK, WarmStart)
		script.advance(tickInterval)
	}
	if frequentlyContacted := script.scheduler.delay.memory; rarelyContacted != maxDelayMemory || frequentlyContacted > maxDelayMemory/4 || frequentlyContacted < minDelayMemory {
		t.Errorf("queue delays are remembered for %v with few requests, %v with many", rarelyContacted, frequentlyContacted)
	}
}

func TestQueueDelay_OldObservation_Decays(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	r := script.request(7, 0)
	script.advance(2500 * ms)
	script.endAttempt(r, OK, WarmStart)
	before := script.scheduler.queueDelay(worker)
	script.advance(2 * maxDelayMemory)
	if after := script.scheduler.queueDelay(worker); before < time.Second || after > before/4 {
		t.Errorf("a queue delay of %v counts as %v %v later", before, after, 2*maxDelayMemory)
	}
}

func TestQueueDelay_Observe_WeighsSampleByAge(t *testing.T) {
	const smoothing = time.Second
	delays := queueDelayEstimates{memory: 10 * time.Second}
	soon, late := &workerRecord{}, &workerRecord{}
	for _, worker := range []*workerRecord{soon, late} {
		delays.set(worker, time.Minute, 0)
	}
	delays.observe(soon, time.Minute+100*ms, smoothing, 100)
	delays.observe(late, time.Minute+10*time.Second, smoothing, 100)
	if soon.queueDelay.value < 9 || soon.queueDelay.value > 10 {
		t.Errorf("a sample of 100 after 0.1 s gives %v, want 100 (1 - exp(-0.1)) = 9.5", soon.queueDelay.value)
	}
	if late.queueDelay.value < 99 || late.queueDelay.observedAt != time.Minute+10*time.Second {
		t.Errorf("a sample of 100 after 10 s gives %v at %v, want nearly 100 at 1m10s", late.queueDelay.value, late.queueDelay.observedAt)
	}
}
