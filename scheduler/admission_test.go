package scheduler

import (
	"testing"
	"time"
)

func TestAdmission_NoWorkers_RejectsBeforeDeadline(t *testing.T) {
	script := newHarness(t, testSettings(), 0)
	r := script.request(7, 0)
	script.advance(2990 * ms)
	if script.answers[r] != "rejected" {
		t.Errorf("with no worker known the answer is %q", script.answers[r])
	}
}

func TestAdmission_TimeoutBeforeNextTick_RejectsAtOnce(t *testing.T) {
	script := newHarness(t, testSettings(), 0)
	script.scheduler.RequestReceived(script.now, Request{ID: 1, Function: 7, Timeout: 5 * ms, ReplicaConcurrency: 1})
	if script.answers[1] != "rejected" {
		t.Errorf("answer %q to a request that no tick will see in time", script.answers[1])
	}
}

func TestAdmission_WarmWorkerAboutToHaveHeadroom_KeepsRequest(t *testing.T) {
	script := newHarness(t, testSettings(), 1)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	worker.concurrencyLimit = 1
	script.request(8, 0) // takes the only slot
	script.answerQueries(1)
	r := script.request(7, 0)
	script.advance(100 * ms)
	if script.answers[r] != "" {
		t.Errorf("request %s though a warm worker is about to have headroom", script.answers[r])
	}
}

func TestTenantQuota_TenantOverShare_ComesLast(t *testing.T) {
	script := newHarness(t, testSettings(), 1)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	for range quotaWindow {
		script.scheduler.tenants.exceeds(1, 0.5)
	}
	counted := 0
	for range 20 { // a tenant that sends all requests, with half the service as its share
		if script.scheduler.tenants.exceeds(1, 0.5) {
			counted++
		}
	}
	if counted < 5 || counted > 10 {
		t.Errorf("%d of 20 requests counted as over quota, want about two in five", counted)
	}
	within, beyond := script.request(7, 0), script.request(7, 0)
	script.scheduler.requests[beyond].overQuota = true
	worker.concurrencyLimit = 4
	if !script.scheduler.hasHeadroom(worker, script.scheduler.requests[within]) || script.scheduler.hasHeadroom(worker, script.scheduler.requests[beyond]) {
		t.Error("with two of four slots in use there must be headroom for a request in quota, none for one over it")
	}
}

func TestAdmission_LateWithoutHeadroom_RejectsAtOnce(t *testing.T) {
	script := newHarness(t, testSettings(), 1)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	worker.concurrencyLimit = 2
	var ids []RequestID
	for range 40 { // concurrency 2 at 100 ms a run: the last would wait for two seconds
		ids = append(ids, script.request(7, 0))
	}
	script.advance(2 * tickInterval)
	if script.answers[ids[39]] != "rejected" || script.answers[ids[4]] != "" {
		t.Errorf("answers %q to the last and %q to an early one of 40, want rejected and none",
			script.answers[ids[39]], script.answers[ids[4]])
	}
}

func TestShedding_OverloadOfAllWorkers_RejectsMostAtRandom(t *testing.T) {
	rejected := func(delays ...time.Duration) (n int) {
		script := newHarness(t, testSettings(), 6)
		script.warm(7)
		for i, delay := range delays {
			worker := script.scheduler.endpoints.byID[WorkerID(i+1)]
			script.setQueueDelay(worker, delay)
		}
		script.advance(tickInterval)
		for range 100 {
			r := script.request(7, 0)
			if script.answers[r] == "rejected" {
				n++
			}
		}
		return n
	}
	long, short := 700*ms, 5*ms
	if n := rejected(long, long, long, long, long, long); n < 50 || n == 100 {
		t.Errorf("%d of 100 requests are rejected at once while all workers have requests wait for %v, want most, not all", n, long)
	}
	if n := rejected(long, long, short, short, short, short); n != 0 {
		t.Errorf("%d of 100 requests are rejected at once while four workers of six have headroom", n)
	}
	if n := rejected(long, long, long); n != 0 {
		t.Errorf("%d of 100 requests are rejected by the queue delays of three workers", n)
	}
}

func TestShedding_ValueDensity_DecidesByClass(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight, set.Classes[2].LatencyObjective = 3, 2*time.Second
	script := newHarness(t, set, 6)
	for i := range 3 {
		script.warm(FunctionID(7 + i))
	}
	for _, worker := range script.scheduler.endpoints.list {
		script.setQueueDelay(worker, 300*ms)
	}
	script.advance(tickInterval)
	var rejected [3]int
	for range 200 {
		for class := range 3 {
			if script.answers[script.request(FunctionID(7+class), class)] == "rejected" {
				rejected[class]++
			}
		}
	}
	if rejected[1] >= rejected[0]*3/4 {
		t.Errorf("of 200 requests each %d are rejected of the class of weight 3 and %d of weight 1, for the same work", rejected[1], rejected[0])
	}
	if d := rejected[2] - rejected[0]; d < -30 || d > 30 {
		t.Errorf("of 200 requests each %d are rejected of the class that can wait and %d of the urgent one, which is starved",
			rejected[2], rejected[0])
	}
}

func TestQueueDelayBudget_UnusedClass_DoesNotCount(t *testing.T) {
	set := testSettings()
	set.Classes[2].LatencyObjective = ms
	script := newHarness(t, set, 2)
	script.warm(7)
	if slack := script.scheduler.queueDelayBudget(); slack < 600*ms {
		t.Errorf("requests may wait %v by a class that nobody uses; the objective of the others is 800ms", slack)
	}
}

func TestAdmission_BurstBeforeFirstRun_IsNotRejected(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective = 400 * ms
	script := newHarness(t, set, 1)
	first := script.request(7, 0)
	script.answerQueries()
	script.advance(40 * ms)
	script.endAttempt(first, OK, ColdStartTriggered)
	for range 16 {
		script.request(7, 0)
	}
	script.advance(40 * ms)
	if n := script.count("reject"); n != 0 {
		t.Errorf("%d of 16 requests rejected before any run was seen", n)
	}
	for id := first + 1; id <= first+2; id++ {
		script.endAttempt(id, OK, WarmStart)
	}
	for range 200 {
		script.request(7, 0)
	}
	script.advance(40 * ms)
	if script.count("reject") == 0 {
		t.Error("none of 200 requests rejected that runs of 40 ms make late")
	}
}

// TestShedding_DelayBelowUnloadedRun_AdmitsAll holds that queue delays of less than a run are no overload, however urgent a class.
func TestShedding_DelayBelowUnloadedRun_AdmitsAll(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 400 * ms
	}
	script := newHarness(t, set, 6)
	script.warm(7)
	for range 2 * unloadedMinSamples {
		script.advance(300 * ms)
		script.endAttempt(script.request(7, 0), OK, WarmStart)
	}
	unloaded := script.scheduler.unloadedRunTime(0)
	rejected := func(delay time.Duration) (n int) {
		script.scheduler.delay.contactedMedian = float64(delay)
		for id := range RequestID(200) {
			function := script.scheduler.trackFunction(FunctionID(1000), 0) // of which no replica is known
			if script.scheduler.shouldShed(&requestRecord{Request: Request{ID: 5000 + id}, class: &script.scheduler.settings.Classes[0], function: function}) {
				n++
			}
		}
		return n
	}
	if few, many := rejected(unloaded*9/10), rejected(10*unloaded+time.Second); few > 0 || many < 100 {
		t.Errorf("of 200 requests %d are rejected at a queue delay of 0.9 unloaded runs, %d at one of over 10", few, many)
	}
}

func TestAdmission_RunsOfNoTime_LeaveNoRequestUnanswered(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	worker := script.scheduler.endpoints.byID[script.warm(7)]
	for range 30 {
		script.endAttempt(script.request(7, 0), OK, WarmStart)
	}
	worker.concurrencyLimit = 1
	script.request(7, 0)
	queued := script.request(7, 0)
	script.advance(3 * time.Second)
	if script.answers[queued] == "" {
		t.Errorf("no answer for a request queued behind runs of no time, expected run %v", script.scheduler.expectedRunTime(script.scheduler.functions.byID[7]))
	}
}
