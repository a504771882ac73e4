package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"havencart/internal/estimate"
)

const ms = time.Millisecond

// script plays events to a Controller and notes its actions. It plays the front end's part only: what workers
// answer is written in each test.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	actions   []string
	sentTo    map[RequestID][]WorkerID
	queries   []replicaKey
	orders    []replicaKey
	answers   map[RequestID]string
	nextID    RequestID
}

func (h *harness) note(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

func (h *harness) Send(r RequestID, w WorkerID, _ time.Duration) {
	h.sentTo[r] = append(h.sentTo[r], w)
	h.note("send %d", r)
}

func (h *harness) Reject(r RequestID, after time.Duration) {
	h.answers[r] = "refused"
	h.note("refuse %d", r)
}
func (h *harness) Fail(r RequestID)                { h.answers[r] = "failed"; h.note("fail %d", r) }
func (h *harness) Cancel(r RequestID, attempt int) { h.note("cancel %d", r) }
func (h *harness) Unload(w WorkerID, f FunctionID) { h.note("unload") }
func (h *harness) CheckHealth(w WorkerID)          { h.note("probe %d", w) }
func (h *harness) SetTimer(time.Duration, uint64)  {}
func (h *harness) WatchEndpoints()                 { h.note("follow") }
func (h *harness) Log(string)                      {}
func (h *harness) Load(w WorkerID, f FunctionID, copies int) {
	if copies == 0 {
		h.queries = append(h.queries, replicaKey{w, f})
	} else {
		h.orders = append(h.orders, replicaKey{w, f})
		h.note("load %d", w)
	}
}

// settings are those of three front ends whose workers load what they lack.
func settings() Settings {
	return Settings{
		Seed: 1, FrontEndCount: 3, ReplicaIdleTimeout: 10 * time.Second, LoadOrdersAllowed: true, HealthChecksAllowed: true, CancelAllowed: true,
		ReportsColdStart: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, Resolution: 2 * ms, Classes: []Class{
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, KeyScope: ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
		}, Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}},
	}
}

func start(t *testing.T, set Settings, workers int) *harness {
	h := &harness{t: t, now: time.Minute, sentTo: map[RequestID][]WorkerID{}, answers: map[RequestID]string{}}
	h.scheduler = New(h.now, set, h)
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready})
	}
	h.scheduler.WorkersChanged(h.now, list, true)
	return h
}

func (h *harness) changeWorker(info WorkerInfo) {
	h.scheduler.WorkersChanged(h.now, []WorkerInfo{info}, false)
}

func (h *harness) request(f FunctionID, class int) RequestID {
	h.nextID++
	h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Class: class, Function: f, Timeout: 3 * time.Second, ReplicaConcurrency: 2})
	return h.nextID
}

// pass lets time go by, with ticks.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		h.scheduler.TimerFired(h.now, 0)
	}
}

// answerAsks answers every question for standing copies: those at holders stand.
func (h *harness) answerQueries(holders ...WorkerID) {
	for len(h.queries) > 0 {
		a := h.queries[0]
		h.queries = h.queries[1:]
		copies := 0
		if slices.Contains(holders, a.worker) {
			copies = 1
		}
		h.scheduler.LoadEnded(h.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms, Replicas: copies})
	}
}

// at is the worker of the latest attempt of r.
func (h *harness) workerOf(r RequestID) WorkerID {
	h.t.Helper()
	if len(h.sentTo[r]) == 0 {
		h.t.Fatalf("request %d was not sent; actions %v", r, h.actions)
	}
	return h.sentTo[r][len(h.sentTo[r])-1]
}

// since is how long the latest attempt of r has been out.
func (h *harness) inFlightFor(r RequestID) time.Duration {
	if q := h.scheduler.requests[r]; q != nil {
		return h.now - q.sentAt
	}
	return 0
}

func (h *harness) endAttempt(r RequestID, status Status, warmth ColdStart) {
	h.t.Helper()
	w, n := h.workerOf(r), len(h.sentTo[r])
	h.scheduler.AttemptEnded(h.now, Outcome{
		Request: r, Attempt: n - 1, Worker: w, Status: status, Latency: h.inFlightFor(r),
		RequestClosed: status == OK, ColdStart: warmth,
	})
}

// avoids says whether a new call of f, with copies found standing at every worker, goes elsewhere than to w.
func (h *harness) avoidsWorker(w WorkerID, f FunctionID) bool {
	h.t.Helper()
	r := h.request(f, 0)
	h.answerQueries(1, 2, 3, 4)
	return h.workerOf(r) != w
}

// warm makes one worker known to hold f, with a run of 100 ms, and returns it.
func (h *harness) warm(f FunctionID) WorkerID {
	h.t.Helper()
	r := h.request(f, 0)
	h.answerQueries()
	h.answerQueries()
	w := h.workerOf(r)
	h.advance(600 * ms)
	h.endAttempt(r, OK, ColdStartTriggered)
	for range 4 {
		r = h.request(f, 0)
		h.advance(100 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
	return w
}

func (h *harness) count(action string) (n int) {
	for _, a := range h.actions {
		if strings.HasPrefix(a, action) {
			n++
		}
	}
	return n
}

func TestPipeHoldsTheRest(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	var sent, held int
	for range 5 {
		r := h.request(7, 0)
		switch {
		case len(h.sentTo[r]) == 0:
			held++
		case h.workerOf(r) == w:
			sent++
		}
	}
	if sent != 2 || held != 3 {
		t.Errorf("%d sent to the warm worker and %d held; it has two lanes", sent, held)
	}
}

func TestOutcomeTopsUpThePipe(t *testing.T) {
	h := start(t, settings(), 4)
	h.warm(7)
	first := h.request(7, 0)
	last := first
	for range 2 {
		last = h.request(7, 0)
	}
	if len(h.sentTo[last]) != 0 {
		t.Fatal("the request after a full pipe was not held")
	}
	h.now += 50 * ms
	h.endAttempt(first, OK, WarmStart)
	h.workerOf(last)
}

func TestDeepBacklogIsLent(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	for range 20 {
		h.request(7, 0)
	}
	h.answerQueries() // no copy stands elsewhere
	lent := map[WorkerID]int{}
	for r, at := range h.sentTo {
		if at[0] != w && h.scheduler.requests[r] != nil {
			lent[at[0]]++
		}
	}
	if len(lent) == 0 {
		t.Error("20 requests at 100 ms on two lanes were all kept for a worker that needs a second for them")
	}
	for w, n := range lent {
		if n > 2 {
			t.Errorf("%d requests wait for the load at worker %d, 2 at most", n, w)
		}
	}
}

func TestBeliefEnds(t *testing.T) {
	tests := map[string]func(*harness, WorkerID){
		"with the keep-alive": func(h *harness, w WorkerID) { h.advance(10*time.Second + tickInterval) },
		"with a new start": func(h *harness, w WorkerID) {
			h.changeWorker(WorkerInfo{ID: w, Cell: int(w+1) % 2, Started: h.now - time.Second, State: Ready})
		},
		"with a miss": func(h *harness, w WorkerID) {
			r := h.request(7, 0)
			h.endAttempt(r, NotLoaded, ColdStartUnknown)
		},
		"with a lost connection": func(h *harness, w WorkerID) {
			r := h.request(7, 0)
			h.endAttempt(r, Reset, ColdStartUnknown)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			h := start(t, settings(), 4)
			w := h.warm(7)
			end(h, w)
			if h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[w]) != nil {
				t.Error("the copy is still believed to stand")
			}
		})
	}
}

func TestAskFindsOthersCopies(t *testing.T) {
	h := start(t, settings(), 8)
	r := h.request(7, 0)
	if len(h.queries) != residencyQueryFanout || len(h.sentTo[r]) != 0 {
		t.Fatalf("%d workers asked before a load, want %d; sent %v", len(h.queries), residencyQueryFanout, h.sentTo[r])
	}
	holder := h.queries[1].worker
	h.answerQueries(holder)
	if h.workerOf(r) != holder {
		t.Errorf("sent to %d, the copy stands at %d", h.workerOf(r), holder)
	}
}

func TestMissingWorkersWantAnOrder(t *testing.T) {
	set := settings()
	set.AnswersNotLoaded = true
	h := start(t, set, 4)
	r := h.request(7, 0)
	h.answerQueries()
	h.answerQueries()
	h.advance(100 * ms)
	if len(h.orders) != 1 || len(h.sentTo[r]) != 0 {
		t.Fatalf("%d orders, request sent to %v before the copy stands", len(h.orders), h.sentTo[r])
	}
	h.now += 400 * ms
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: h.orders[0].worker, Function: 7, Status: OK, Latency: 400 * ms, Replicas: 1})
	if h.workerOf(r) != h.orders[0].worker {
		t.Error("the request did not follow its order")
	}
}

func TestRationOfOrders(t *testing.T) {
	set := settings()
	set.AnswersNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	h := start(t, set, 4)
	for f := range FunctionID(6) {
		h.request(f, 0)
		h.answerQueries()
		h.answerQueries()
	}
	h.advance(time.Second)
	if len(h.orders) != 2 {
		t.Errorf("%d orders, the ration is 2", len(h.orders))
	}
}

func TestAmbiguousOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		class  int
		status Status
		want   string // the final answer, or "" for another attempt or a wait
	}{
		{"safe may run again", 0, Error, ""},
		{"unsafe that may have run fails", 2, Error, "failed"},
		{"unsafe cut off fails", 2, Reset, "failed"},
		{"unsafe timed out fails", 2, Timeout, "failed"},
		{"unsafe that never ran goes on", 2, Overloaded, ""},
		{"keyed goes on in its group", 1, Error, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := start(t, settings(), 4)
			h.warm(7)
			r := h.request(7, test.class)
			first := h.workerOf(r)
			h.now += 50 * ms
			h.endAttempt(r, test.status, ColdStartUnknown)
			h.answerQueries()
			h.answerQueries()
			h.advance(300 * ms)
			if h.answers[r] != test.want {
				t.Errorf("final answer %q, want %q", h.answers[r], test.want)
			}
			if again := h.sentTo[r][1:]; test.class == 1 && len(again) > 0 && (again[0]-first)%2 != 0 {
				t.Errorf("a keyed request went from worker %d to %d, another group", first, again[0])
			}
		})
	}
}

func TestKeyedIsNotSentPastItsMemory(t *testing.T) {
	h := start(t, settings(), 2) // one worker a group
	h.warm(7)
	r := h.request(7, 1)
	h.changeWorker(WorkerInfo{ID: h.workerOf(r), Cell: int(h.workerOf(r)+1) % 2, Started: UnknownStart, State: Draining})
	h.endAttempt(r, Error, ColdStartUnknown)
	h.advance(1100 * ms)
	if h.answers[r] != "failed" || len(h.sentTo[r]) != 1 {
		t.Errorf("answer %q after %d attempts, want failed after 1", h.answers[r], len(h.sentTo[r]))
	}
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		h := start(t, settings(), 4)
		w := h.warm(7)
		h.changeWorker(WorkerInfo{ID: w, Started: UnknownStart, State: state})
		h.queries = nil
		for range 8 {
			r := h.request(7, 0)
			h.answerQueries(1, 2, 3, 4)
			if h.workerOf(r) == w {
				t.Fatalf("sent to a worker in state %d", state)
			}
			h.now += 50 * ms
			h.endAttempt(r, OK, WarmStart)
		}
	}
}

func TestColdWorkerIsSpared(t *testing.T) {
	for frontEnds, most := range map[int]int{1: 4 * 400, 4: 400, 400: 400 / 3} {
		sent := 0
		for seed := range uint64(400) { // each stands for one of as many front ends
			set := settings()
			set.Seed, set.FrontEndCount = seed, frontEnds
			h := start(t, set, 1)
			h.changeWorker(WorkerInfo{ID: 1, Started: h.now, State: Ready})
			for f := range FunctionID(6) {
				h.request(f, 0)
				h.answerQueries()
				h.answerQueries()
			}
			h.advance(time.Second)
			sent += h.count("send")
		}
		if sent == 0 || sent > most {
			t.Errorf("%d calls of 400 front ends to a worker that has just started, each told of %d; want some, %d at most",
				sent, frontEnds, most)
		}
	}
}

func TestSilentWorkerIsLeft(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	r, unsafe := h.request(7, 0), h.request(7, 2)
	if h.workerOf(r) != w {
		t.Fatal("not sent to the warm worker")
	}
	h.advance(2900 * ms)
	if h.count(fmt.Sprintf("cancel %d", r)) == 0 {
		t.Error("a safe call was left with a worker that answers nothing")
	}
	if h.count(fmt.Sprintf("cancel %d", unsafe)) != 0 {
		t.Error("an unsafe call was called back, though it may not be sent again")
	}
	if !h.avoidsWorker(w, 7) {
		t.Error("a new call went to the silent worker")
	}
}

func TestFailingWorkerIsPassedOver(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	for range 3 {
		r := h.request(7, 2)
		if len(h.sentTo[r]) == 0 || h.workerOf(r) != w {
			break
		}
		h.endAttempt(r, Error, ColdStartUnknown)
	}
	if !h.avoidsWorker(w, 7) {
		t.Error("a worker that failed its last calls is still the first choice")
	}
}

func TestSlowTimeoutIsNotHeldAgainstAWorkerThatAnswers(t *testing.T) {
	h := start(t, settings(), 4)
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
		t.Error("a worker that answers became suspect through calls whose clients were in a hurry")
	}
}

func TestHurriedClientsSayNothingOfAWorker(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	worker.queueDelay = estimate.NewDecayed(float64(400*ms), h.now)
	for range 6 {
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Class: 2, Function: 7, Timeout: 700 * ms, ReplicaConcurrency: 2})
		h.answerQueries(worker.ID)
		h.now += 100 * ms
		h.endAttempt(h.nextID, Timeout, ColdStartUnknown)
	}
	if worker.healthByClass[0].ejected || h.scheduler.queueDelay(worker) < 280*ms {
		t.Errorf("suspect %v, wait of 400 ms counts as %v after calls given up within 100 ms", worker.healthByClass[0].ejected, h.scheduler.queueDelay(worker))
	}
}

func TestFullCutsWhatAWorkerMayHold(t *testing.T) {
	h := start(t, settings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	before := worker.concurrencyLimit
	h.request(7, 0)
	h.now += 200 * ms
	h.endAttempt(h.nextID, Overloaded, ColdStartUnknown)
	if worker.concurrencyLimit >= before {
		t.Errorf("limit %.1f after a call was turned away, %.1f before", worker.concurrencyLimit, before)
	}
}

func TestOverloadOfAllIsNotTheUsual(t *testing.T) {
	h := start(t, settings(), 2)
	h.warm(7)
	quick := h.scheduler.unloadedRunTime(0)
	for range 10 {
		r := h.request(7, 0)
		h.advance(time.Second)
		h.endAttempt(r, OK, WarmStart)
		h.answerQueries()
		for _, worker := range h.scheduler.endpoints.list {
			worker.queueDelay = estimate.Decayed{} // long forgotten when the next one comes
		}
	}
	if now := h.scheduler.unloadedRunTime(0); now > quick+quick/2 {
		t.Errorf("the run of a quiet worker rose from %v to %v while all were slow", quick, now)
	}
}

func TestLoadsUnderWayAreFew(t *testing.T) {
	h := start(t, settings(), 20)
	h.scheduler.demand.runTime.Add(h.now, demandMemory, float64(time.Hour)) // of other functions
	for f := range FunctionID(3 * maxLoadsInFlight) {
		h.warm(f)
	}
	h.advance(2 * h.scheduler.settings.ReplicaIdleTimeout) // nothing is believed any more
	before := h.count("send")
	for f := range FunctionID(3 * maxLoadsInFlight) {
		h.request(f, 0)
		h.answerQueries()
		h.answerQueries()
	}
	if sent := h.count("send") - before; sent != maxLoadsInFlight {
		t.Errorf("%d loads under way at once, want %d", sent, maxLoadsInFlight)
	}
}

// TestAStoppedStoreIsLeftAlone: each load fails at once, and its call is sent to the next worker. After a few that
// failed loads are kept back and tried one at a time; the first that works ends that.
func TestAStoppedStoreIsLeftAlone(t *testing.T) {
	h := start(t, settings(), 20)
	tried := func(as Status, warmth ColdStart) (loads int) {
		for range 100 {
			r := h.request(7, 0)
			h.answerQueries()
			h.answerQueries()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; h.answers[id] == "" && h.scheduler.requests[id] != nil && h.scheduler.requests[id].replica != nil && n < 50; n++ {
					loads++
					h.endAttempt(id, as, warmth)
				}
			}
			h.advance(20 * ms)
		}
		return loads
	}
	if loads := tried(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads were tried in 2 s of a stopped store", loads)
	}
	h.advance(2 * breakerOpenMax)
	if loads := tried(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d calls of 100 were sent once the store was back", loads)
	}
}

func TestNobodyToSendTo(t *testing.T) {
	h := start(t, settings(), 0)
	r := h.request(7, 0)
	h.advance(2990 * ms)
	if h.answers[r] != "refused" {
		t.Errorf("with no worker known the answer is %q", h.answers[r])
	}
}

func TestShortBudgetIsAnsweredAtOnce(t *testing.T) {
	h := start(t, settings(), 0)
	h.scheduler.RequestReceived(h.now, Request{ID: 1, Function: 7, Timeout: 5 * ms, ReplicaConcurrency: 1})
	if h.answers[1] != "refused" {
		t.Errorf("answer %q to a request that no tick will see in time", h.answers[1])
	}
}

func TestEmptyPipeIsNoEndlessWait(t *testing.T) {
	h := start(t, settings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	worker.concurrencyLimit = 1
	h.request(8, 0) // takes the only place
	h.answerQueries(1)
	r := h.request(7, 0)
	h.advance(100 * ms)
	if h.answers[r] != "" {
		t.Errorf("request %s though a warm worker is about to have room", h.answers[r])
	}
}

func TestExcessIsCountedAndComesLast(t *testing.T) {
	h := start(t, settings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	for range quotaWindow {
		h.scheduler.tenants.exceeds(1, 0.5)
	}
	counted := 0
	for range 20 { // a tenant that takes all, with half the service as its share
		if h.scheduler.tenants.exceeds(1, 0.5) {
			counted++
		}
	}
	if counted < 5 || counted > 10 {
		t.Errorf("%d of 20 calls counted as too many, want about two in five", counted)
	}
	within, beyond := h.request(7, 0), h.request(7, 0)
	h.scheduler.requests[beyond].overQuota = true
	worker.concurrencyLimit = 4
	if !h.scheduler.hasHeadroom(worker, h.scheduler.requests[within]) || h.scheduler.hasHeadroom(worker, h.scheduler.requests[beyond]) {
		t.Error("with two of four places taken there is room for a call within its share, none beyond")
	}
}

func TestLateCallsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	h := start(t, settings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	worker.concurrencyLimit = 2
	var ids []RequestID
	for range 40 { // two lanes at 100 ms a run: the last would wait for two seconds
		ids = append(ids, h.request(7, 0))
	}
	h.advance(2 * tickInterval)
	if h.answers[ids[39]] != "refused" || h.answers[ids[4]] != "" {
		t.Errorf("answers %q to the last and %q to an early one of 40, want refused and none",
			h.answers[ids[39]], h.answers[ids[4]])
	}
}

func TestFreedRoomGoesToTheMostWorth(t *testing.T) {
	set := settings()
	set.Classes[2].PriorityWeight = 6
	h := start(t, set, 1)
	h.warm(7)
	dear := h.request(8, 2)
	h.answerQueries(1)
	h.endAttempt(dear, OK, WarmStart)
	h.scheduler.endpoints.byID[1].concurrencyLimit = 1
	out := h.request(7, 0)
	cheap, dear := h.request(7, 0), h.request(8, 2)
	if len(h.sentTo[cheap])+len(h.sentTo[dear]) != 0 {
		t.Fatal("sent beyond the worker's limit")
	}
	h.now += 50 * ms
	h.endAttempt(out, OK, WarmStart)
	sent := func(r RequestID) int { return slices.Index(h.actions, fmt.Sprintf("send %d", r)) }
	if sent(dear) < 0 || sent(cheap) >= 0 && sent(cheap) < sent(dear) {
		t.Errorf("the room that came free went to worth 1 before worth 6: %v", h.actions)
	}
}

func TestLostWorkerIsLeftThenTried(t *testing.T) {
	h := start(t, settings(), 2)
	w := h.warm(7)
	h.endAttempt(h.request(7, 0), ConnectFailed, ColdStartUnknown)
	if h.avoidsWorker(w, 8); !h.scheduler.endpoints.byID[w].healthByClass[0].ejected || h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that took no connection is still sent calls")
	}
	h.advance(ejectionTimeMin + tickInterval)
	if !h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that took no connection is not tried again after its pause")
	}
}

func TestListIsAskedForAgain(t *testing.T) {
	set := settings()
	set.WatchOnStart = true
	h := start(t, set, 0)
	h.scheduler.WatchFailed(h.now)
	h.scheduler.TimerFired(h.now+time.Second, 1)
	if h.count("follow") != 2 {
		t.Errorf("%d times asked for the list, want 2", h.count("follow"))
	}
}
