package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestConcurrencyLimit_OverloadedWorker_IsDecreased(t *testing.T) {
	harness := newHarness(t, testSettings(), 1)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	before := worker.concurrencyLimit
	harness.request(7, 0)
	harness.now += 200 * ms
	harness.endAttempt(harness.nextID, Overloaded, ColdStartUnknown)
	if worker.concurrencyLimit >= before {
		t.Errorf("the concurrency limit is %.1f after a rejection as overloaded, %.1f before", worker.concurrencyLimit, before)
	}
}

func TestUnloadedRunTime_OverloadOfAllWorkers_RisesSlowly(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	harness.warm(7)
	before := harness.scheduler.unloadedRunTime(0)
	for range 10 {
		r := harness.request(7, 0)
		harness.advance(time.Second)
		harness.endAttempt(r, OK, WarmStart)
		harness.answerQueries()
		for _, worker := range harness.scheduler.endpoints.list {
			harness.clearQueueDelay(worker) // as if it had decayed before the next request
		}
	}
	if now := harness.scheduler.unloadedRunTime(0); now > before+before/2 {
		t.Errorf("the unloaded run time rose from %v to %v while all workers were slow", before, now)
	}
}

func TestContactedDelay_LatestContacted_ShowOverload(t *testing.T) {
	harness := newHarness(t, testSettings(), 60)
	for i, worker := range slices.Backward(harness.scheduler.endpoints.list) {
		contactedAt, delay := harness.now-5*time.Second, float64(ms)
		if i < contactedSampleLimit {
			contactedAt, delay = harness.now-1500*ms, float64(2*time.Second)
		}
		harness.scheduler.delay.set(worker, contactedAt, delay)
	}
	if now := harness.scheduler.contactedDelay(); now < float64(time.Second) {
		t.Errorf("the contacted delay is %v, want about 2s, the delay of the latest contacted workers", time.Duration(now))
	}
}

func TestQueueDelay_OverloadedResponse_CountsAsLongDelay(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	harness.endAttemptWithQueueDepth(harness.request(7, 0), Overloaded, 20)
	if worker.queueDelay.observed < float64(time.Second) {
		t.Errorf("the observed queue delay is %v after a rejection as overloaded, want at least 1s", time.Duration(worker.queueDelay.observed))
	}
}

// TestContactedDelay_LongRun_IsNoQueueDelay verifies that a long run does not count as a queue delay: of several
// requests in flight at a worker, the oldest has always been in flight for long.
func TestContactedDelay_LongRun_IsNoQueueDelay(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	for _, other := range harness.scheduler.endpoints.list {
		harness.setQueueDelay(other, 0)
	}
	if r := harness.request(7, 0); harness.workerOf(r) != worker.ID {
		t.Fatalf("the request was sent to worker %d, want %d, where a replica is loaded", harness.workerOf(r), worker.ID)
	}
	harness.advance(responseTimeoutFloor)
	if now := harness.scheduler.contactedDelay(); now > 0 {
		t.Errorf("a request in flight for %v produced a queue delay of %v, want 0", responseTimeoutFloor, time.Duration(now))
	}
}

// TestQueueDelay_FrequentContacts_ShortenMemory verifies that a front end with many requests for few workers does not
// avoid a worker for long after its queue delay has ended.
func TestQueueDelay_FrequentContacts_ShortenMemory(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	harness.warm(7)
	harness.advance(tickInterval)
	rarelyContacted := harness.scheduler.delay.memory
	for range 400 {
		harness.endAttempt(harness.request(7, 0), OK, WarmStart)
		harness.advance(tickInterval)
	}
	if frequentlyContacted := harness.scheduler.delay.memory; rarelyContacted != maxDelayMemory || frequentlyContacted > maxDelayMemory/4 || frequentlyContacted < minDelayMemory {
		t.Errorf("the memory of queue delays is %v with few requests, %v with many", rarelyContacted, frequentlyContacted)
	}
}

func TestQueueDelay_OldObservation_Decays(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	r := harness.request(7, 0)
	harness.advance(2500 * ms)
	harness.endAttempt(r, OK, WarmStart)
	before := harness.scheduler.queueDelay(worker)
	harness.advance(2 * maxDelayMemory)
	if after := harness.scheduler.queueDelay(worker); before < time.Second || after > before/4 {
		t.Errorf("a queue delay of %v decayed to %v in %v", before, after, 2*maxDelayMemory)
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
