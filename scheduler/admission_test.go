package scheduler

import (
	"testing"
	"time"
)

func TestAdmission_NoWorkers_RejectsBeforeDeadline(t *testing.T) {
	harness := newHarness(t, testSettings(), 0)
	r := harness.request(7, 0)
	harness.advance(2990 * ms)
	if harness.finalResponses[r] != "rejected" {
		t.Errorf("response %q with no known workers, want rejected", harness.finalResponses[r])
	}
}

func TestAdmission_TimeoutBeforeNextTick_RejectsAtOnce(t *testing.T) {
	harness := newHarness(t, testSettings(), 0)
	harness.scheduler.RequestReceived(harness.now, Request{ID: 1, Function: 7, Timeout: 5 * ms, ReplicaConcurrency: 1})
	if harness.finalResponses[1] != "rejected" {
		t.Errorf("response %q to a request that times out before the next tick, want rejected", harness.finalResponses[1])
	}
}

func TestAdmission_WarmWorkerAboutToHaveHeadroom_KeepsRequest(t *testing.T) {
	harness := newHarness(t, testSettings(), 1)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	worker.concurrencyLimit = 1
	harness.request(8, 0) // takes the only slot
	harness.answerQueries(1)
	r := harness.request(7, 0)
	harness.advance(100 * ms)
	if harness.finalResponses[r] != "" {
		t.Errorf("request %s although a warm worker will soon have headroom", harness.finalResponses[r])
	}
}

func TestTenantQuota_TenantOverShare_IsRankedLast(t *testing.T) {
	harness := newHarness(t, testSettings(), 1)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	for range quotaWindow {
		harness.scheduler.tenants.exceeds(1, 0.5)
	}
	counted := 0
	for range 20 { // a tenant that sends all requests, although its share is half
		if harness.scheduler.tenants.exceeds(1, 0.5) {
			counted++
		}
	}
	if counted < 5 || counted > 10 {
		t.Errorf("%d of 20 requests are over quota, want 5 to 10", counted)
	}
	within, beyond := harness.request(7, 0), harness.request(7, 0)
	harness.scheduler.requests[beyond].overQuota = true
	worker.concurrencyLimit = 4
	if !harness.scheduler.hasHeadroom(worker, harness.scheduler.requests[within]) || harness.scheduler.hasHeadroom(worker, harness.scheduler.requests[beyond]) {
		t.Error("with two of four slots in use, a request within quota must have headroom and one over quota must not")
	}
}

func TestAdmission_LateWithoutHeadroom_RejectsAtOnce(t *testing.T) {
	harness := newHarness(t, testSettings(), 1)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	worker.concurrencyLimit = 2
	var ids []RequestID
	for range 40 { // concurrency 2 and 100 ms per run: the last one would wait for two seconds
		ids = append(ids, harness.request(7, 0))
	}
	harness.advance(2 * tickInterval)
	if harness.finalResponses[ids[39]] != "rejected" || harness.finalResponses[ids[4]] != "" {
		t.Errorf("responses %q to the last and %q to the fifth of 40 requests, want rejected and none",
			harness.finalResponses[ids[39]], harness.finalResponses[ids[4]])
	}
}

func TestShedding_OverloadOfAllWorkers_RejectsMostAtRandom(t *testing.T) {
	rejected := func(delays ...time.Duration) (count int) {
		harness := newHarness(t, testSettings(), 6)
		harness.warm(7)
		for i, delay := range delays {
			worker := harness.scheduler.endpoints.byID[WorkerID(i+1)]
			harness.setQueueDelay(worker, delay)
		}
		harness.advance(tickInterval)
		for range 100 {
			r := harness.request(7, 0)
			if harness.finalResponses[r] == "rejected" {
				count++
			}
		}
		return count
	}
	long, short := 700*ms, 5*ms
	if n := rejected(long, long, long, long, long, long); n < 50 || n == 100 {
		t.Errorf("%d of 100 requests rejected on arrival while the queue delay of all workers is %v, want 50 to 99", n, long)
	}
	if n := rejected(long, long, short, short, short, short); n != 0 {
		t.Errorf("%d of 100 requests rejected on arrival while four of six workers have headroom, want 0", n)
	}
	if n := rejected(long, long, long); n != 0 {
		t.Errorf("%d of 100 requests rejected with only three queue delay samples, want 0", n)
	}
}

func TestShedding_ValueDensity_DecidesByClass(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight, set.Classes[2].LatencyObjective = 3, 2*time.Second
	harness := newHarness(t, set, 6)
	for i := range 3 {
		harness.warm(FunctionID(7 + i))
	}
	for _, worker := range harness.scheduler.endpoints.list {
		harness.setQueueDelay(worker, 300*ms)
	}
	harness.advance(tickInterval)
	var rejected [3]int
	for range 200 {
		for class := range 3 {
			if harness.finalResponses[harness.request(FunctionID(7+class), class)] == "rejected" {
				rejected[class]++
			}
		}
	}
	if rejected[1] >= rejected[0]*3/4 {
		t.Errorf("%d of 200 requests of weight 3 rejected, %d of weight 1, for the same work", rejected[1], rejected[0])
	}
	if d := rejected[2] - rejected[0]; d < -30 || d > 30 {
		t.Errorf("%d of 200 requests with a long objective rejected, %d with a short one; want similar numbers",
			rejected[2], rejected[0])
	}
}

func TestQueueDelayBudget_UnusedClass_DoesNotCount(t *testing.T) {
	set := testSettings()
	set.Classes[2].LatencyObjective = ms
	harness := newHarness(t, set, 2)
	harness.warm(7)
	if slack := harness.scheduler.queueDelayBudget(); slack < 600*ms {
		t.Errorf("queue delay budget is %v, want it to ignore the unused class; the objective of the others is 800ms", slack)
	}
}

func TestAdmission_BurstBeforeFirstRun_IsNotRejected(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective = 400 * ms
	harness := newHarness(t, set, 1)
	first := harness.request(7, 0)
	harness.answerQueries()
	harness.advance(40 * ms)
	harness.endAttempt(first, OK, ColdStartTriggered)
	for range 16 {
		harness.request(7, 0)
	}
	harness.advance(40 * ms)
	if n := harness.count("reject"); n != 0 {
		t.Errorf("%d of 16 requests rejected before any run was observed, want 0", n)
	}
	for id := first + 1; id <= first+2; id++ {
		harness.endAttempt(id, OK, WarmStart)
	}
	for range 200 {
		harness.request(7, 0)
	}
	harness.advance(40 * ms)
	if harness.count("reject") == 0 {
		t.Error("none of 200 requests rejected although runs of 40 ms make some late")
	}
}

// TestShedding_DelayBelowUnloadedRun_AdmitsAll verifies that a queue delay shorter than a run does not count as an
// overload, however short the latency objective of a class is.
func TestShedding_DelayBelowUnloadedRun_AdmitsAll(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 400 * ms
	}
	harness := newHarness(t, set, 6)
	harness.warm(7)
	for range 2 * unloadedMinSamples {
		harness.advance(300 * ms)
		harness.endAttempt(harness.request(7, 0), OK, WarmStart)
	}
	unloaded := harness.scheduler.unloadedRunTime(0)
	rejected := func(delay time.Duration) (n int) {
		harness.scheduler.delay.contactedMedian = float64(delay)
		for id := range RequestID(200) {
			function := harness.scheduler.trackFunction(FunctionID(1000), 0) // without any known replica
			if harness.scheduler.shouldShed(&requestRecord{Request: Request{ID: 5000 + id}, class: &harness.scheduler.settings.Classes[0], function: function}) {
				n++
			}
		}
		return n
	}
	if few, many := rejected(unloaded*9/10), rejected(10*unloaded+time.Second); few > 0 || many < 100 {
		t.Errorf("%d of 200 requests rejected at a queue delay of 0.9 unloaded runs, %d at more than 10; want 0 and at least 100", few, many)
	}
}

func TestAdmission_ZeroRunTimes_AnswersEveryRequest(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	worker := harness.scheduler.endpoints.byID[harness.warm(7)]
	for range 30 {
		harness.endAttempt(harness.request(7, 0), OK, WarmStart)
	}
	worker.concurrencyLimit = 1
	harness.request(7, 0)
	queued := harness.request(7, 0)
	harness.advance(3 * time.Second)
	if harness.finalResponses[queued] == "" {
		t.Errorf("no response to a request queued behind runs of zero duration; the expected run time is %v", harness.scheduler.expectedRunTime(harness.scheduler.functions.byID[7]))
	}
}
