package gateway

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

const ms = time.Millisecond

// fakeLink stands for a link: it keeps what the Front gave it until a test says what became of it.
type fakeLink struct {
	name     string
	queued   []*muxclient.Attempt // not left
	left     []*muxclient.Attempt
	orders   []*muxclient.LoadOrder
	canceled []*muxclient.Attempt
	drained  bool
	stopped  bool
	probes   int
	unloads  int
	holds    bool // what is sent stays in the write buffer
	turns    *muxclient.Result
}

func (l *fakeLink) Send(a *muxclient.Attempt) *muxclient.Result {
	switch {
	case l.turns != nil:
		return l.turns
	case l.drained:
		return &muxclient.Result{Status: scheduler.NotSent, QueueDepth: -1}
	case l.holds:
		l.queued = append(l.queued, a)
	default:
		l.left = append(l.left, a)
	}
	return nil
}

func (l *fakeLink) Abandon(a *muxclient.Attempt) bool {
	was := slices.Contains(l.left, a)
	if was {
		l.canceled = append(l.canceled, a)
	}
	l.drop(a)
	return was
}

func (l *fakeLink) CancelUnsent(a *muxclient.Attempt) bool {
	was := slices.Contains(l.queued, a)
	if was {
		l.drop(a)
	}
	return was
}

func (l *fakeLink) drop(a *muxclient.Attempt) {
	match := func(x *muxclient.Attempt) bool { return x == a }
	l.queued, l.left = slices.DeleteFunc(l.queued, match), slices.DeleteFunc(l.left, match)
}

func (l *fakeLink) Load(o *muxclient.LoadOrder) scheduler.Status {
	l.orders = append(l.orders, o)
	return 0
}
func (l *fakeLink) AbandonLoad(*muxclient.LoadOrder) {}
func (l *fakeLink) Unload(string)                    { l.unloads++ }
func (l *fakeLink) CheckHealth()                     { l.probes++ }
func (l *fakeLink) Resume()                          { l.drained = false }
func (l *fakeLink) Busy() bool                       { return len(l.queued)+len(l.left) > 0 }
func (l *fakeLink) Stop()                            { l.stopped = true }
func (l *fakeLink) Drain(time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder) {
	l.drained = true
	taken := l.queued
	l.queued = nil
	return taken, nil
}

// bench plays events to a Front.
type bench struct {
	*testing.T
	*FrontEnd
	at      time.Duration
	links   map[string]*fakeLink
	opened  int
	follows int
}

func (b *bench) OpenWorker(_ scheduler.WorkerID, w discovery.Worker) WorkerClient {
	b.opened++
	l := &fakeLink{name: w.Name}
	b.links[w.Name] = l
	return l
}

func (b *bench) WatchEndpoints() { b.follows++ }

func classes() scheduler.Settings {
	return scheduler.Settings{Seed: 1, FrontEndCount: 1, ReplicaIdleTimeout: 10 * time.Second, ReportsColdStart: true, CancelAllowed: true, MaxAttempts: 4,
		LoadOrderTimeout: time.Second, MaxRetryAfter: 500 * ms, DrainGrace: 500 * ms, Resolution: ms, Classes: []scheduler.Class{
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.Idempotent},
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.IdempotentByKey, KeyScope: scheduler.ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.NonIdempotent}}}
}

const (
	safe = iota
	keyed
	unsafe
)

func newBench(t *testing.T, workers int, change func(*Settings)) *bench {
	b := &bench{T: t, at: time.Minute, links: map[string]*fakeLink{}}
	set := Settings{Scheduler: classes(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0)}
	if change != nil {
		change(&set)
	}
	b.FrontEnd = New(b.at, set, b, zerolog.Nop())
	b.list(workers, nil)
	return b
}

// list tells a list of workers, all ready but those in states.
func (b *bench) list(n int, states map[string]scheduler.WorkerState) {
	var list []discovery.Worker
	for i := range n {
		w := discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Cell: fmt.Sprint(i % 2), Scale: 1, State: scheduler.Ready}
		if s := states[w.Name]; s != 0 {
			w.State = s
		}
		list = append(list, w)
	}
	b.EndpointsChanged(b.at, list)
}

func (b *bench) call(class int) *Request {
	c := NewRequest()
	c.Class, c.StartedAt, c.Timeout = class, b.at, 2*time.Second
	c.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 2}
	b.RequestReceived(b.at, c)
	return c
}

func (b *bench) pass(d time.Duration) {
	for end := b.at + d; b.at < end; {
		b.at = min(end, max(b.at, b.NextTimer()))
		b.FireTimers(b.at)
	}
}

// out is the link and the attempt that is out for c.
func (b *bench) out(c *Request) (*fakeLink, *muxclient.Attempt) {
	b.Helper()
	for _, l := range b.links {
		for _, a := range slices.Concat(l.left, l.queued) {
			if a.Request.ID == c.ID {
				return l, a
			}
		}
	}
	b.Fatalf("call %s is not out", c.ID)
	return nil, nil
}

func (b *bench) isOut(c *Request) bool { return c.out != nil }

func (b *bench) end(c *Request, s scheduler.Status) *fakeLink {
	b.Helper()
	l, a := b.out(c)
	l.drop(a)
	b.AttemptEnded(b.at, a, muxclient.Result{Status: s, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
	return l
}

func (b *bench) final(c *Request) ResponseKind {
	select {
	case f := <-c.Response():
		return f.Kind
	default:
		return 0
	}
}

func (b *bench) want(c *Request, k ResponseKind) {
	b.Helper()
	if got := b.final(c); got != k {
		b.Errorf("final answer %v, want %v", got, k)
	}
	if got := b.final(c); got != 0 {
		b.Errorf("a second final answer: %v", got)
	}
}

func TestACallIsServedAndForgotten(t *testing.T) {
	b := newBench(t, 2, nil)
	c := b.call(safe)
	b.end(c, scheduler.OK)
	b.want(c, Served)
	if !b.Idle() || b.Counts().Served != 1 {
		t.Errorf("%+v", b.Counts())
	}
}

// TestAnUnsafeCallIsNeverSentAgainOnceItMayHaveRun is rule 2 through the links' statuses.
func TestAnUnsafeCallIsNeverSentAgainOnceItMayHaveRun(t *testing.T) {
	for _, s := range []scheduler.Status{scheduler.Reset, scheduler.Error, scheduler.Timeout, scheduler.Cancelled} {
		b := newBench(t, 3, nil)
		c := b.call(unsafe)
		b.end(c, s)
		b.want(c, Failed)
		if c.attempts != 1 {
			t.Errorf("status %d: %d attempts", s, c.attempts)
		}
	}
	for _, s := range []scheduler.Status{scheduler.ConnectFailed, scheduler.Overloaded, scheduler.NotLoaded, scheduler.NotSent} {
		b := newBench(t, 3, nil)
		c := b.call(unsafe)
		b.end(c, s)
		b.pass(100 * ms)
		if c.attempts < 2 || !b.isOut(c) {
			t.Errorf("status %d: %d attempts, out %t: it never ran", s, c.attempts, b.isOut(c))
		}
	}
}

// TestADrainTakesBackWhatStandsInTheWriteBuffer: it goes elsewhere, even when it is unsafe.
func TestADrainTakesBackWhatStandsInTheWriteBuffer(t *testing.T) {
	b := newBench(t, 2, nil)
	for _, l := range b.links {
		l.holds = true
	}
	c := b.call(unsafe)
	l, _ := b.out(c)
	b.list(2, map[string]scheduler.WorkerState{l.name: scheduler.Draining})
	b.pass(100 * ms)
	next, a := b.out(c)
	if next == l || a.Request.Attempt != 1 {
		t.Errorf("attempt %d at %s after the notice", a.Request.Attempt, next.name)
	}
	b.end(c, scheduler.OK)
	b.want(c, Served)
}

func TestWhatHasLeftADrainingWorkerIsWaitedFor(t *testing.T) {
	b := newBench(t, 2, nil)
	c := b.call(unsafe)
	l, _ := b.out(c)
	b.list(2, map[string]scheduler.WorkerState{l.name: scheduler.Removed})
	b.pass(3 * sweepEvery / 2)
	if l.stopped {
		t.Fatal("the link was stopped with a call under way")
	}
	b.end(c, scheduler.OK)
	b.want(c, Served)
	b.pass(2 * sweepEvery)
	if !l.stopped {
		t.Error("the link of a worker that is gone stays")
	}
}

func TestAWorkerAtANewAddressGetsANewLink(t *testing.T) {
	b := newBench(t, 1, nil)
	old := b.links["w0"]
	c := b.call(safe)
	b.EndpointsChanged(b.at, []discovery.Worker{{Name: "w0", Address: "elsewhere:1", Scale: 1, State: scheduler.Ready}})
	if b.opened != 2 || !old.drained || old.stopped {
		t.Fatalf("opened %d, old link drained %t, stopped %t", b.opened, old.drained, old.stopped)
	}
	a := old.left[0]
	old.drop(a)
	b.AttemptEnded(b.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	b.want(c, Served)
	b.pass(2 * sweepEvery)
	if !old.stopped {
		t.Error("the old link stays")
	}
}

// TestTheFinalAnswerLeavesBeforeTheClientGivesUp: silence of all workers, every class.
func TestTheFinalAnswerLeavesBeforeTheClientGivesUp(t *testing.T) {
	for class, want := range []ResponseKind{safe: Rejected, keyed: Failed, unsafe: Failed} {
		b := newBench(t, 2, nil)
		c := b.call(class)
		end := b.at + c.Timeout
		for b.at < end && c.state == waiting {
			b.pass(ms)
		}
		if b.at >= end {
			t.Errorf("class %d: no answer in time", class)
		}
		b.want(c, want)
		if b.Counts().PastDeadline != 0 {
			t.Errorf("class %d: the module gave none", class)
		}
	}
}

// TestACallThatNeverLeftIsRefused: its time passed in the write buffer; the promise can be given.
func TestACallThatNeverLeftIsRefused(t *testing.T) {
	b := newBench(t, 1, nil)
	b.links["w0"].holds = true
	c := b.call(unsafe)
	b.pass(2 * time.Second)
	b.want(c, Rejected)
}

func TestALateAnswerAfterATimeOutChangesNothing(t *testing.T) {
	b := newBench(t, 1, nil)
	c := b.call(unsafe)
	_, a := b.out(c)
	b.pass(2 * time.Second)
	b.want(c, Failed)
	b.AttemptEnded(b.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	b.want(c, 0)
}

func TestAClientThatLeavesIsOwedNothing(t *testing.T) {
	t.Run("while its call is out", func(t *testing.T) {
		b := newBench(t, 1, nil)
		c := b.call(safe)
		l, _ := b.out(c)
		b.ClientDisconnected(b.at, c)
		if len(l.canceled) != 1 || !b.Idle() {
			t.Errorf("called back %d, idle %t", len(l.canceled), b.Idle())
		}
		b.want(c, 0)
	})
	t.Run("while its call is held", func(t *testing.T) {
		b := newBench(t, 0, nil)
		c := b.call(safe)
		b.ClientDisconnected(b.at, c)
		if !b.Idle() {
			t.Error("it is kept")
		}
		b.pass(3 * time.Second)
		b.want(c, 0)
	})
	t.Run("while its answer comes", func(t *testing.T) {
		b := newBench(t, 1, nil)
		c := b.call(unsafe)
		l, a := b.out(c)
		b.ResponseStarted(b.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Stream: &muxclient.Stream{}}})
		b.want(c, Served)
		b.pass(3 * time.Second) // neither time-out nor deadline holds for it
		if len(l.canceled) != 0 {
			t.Fatal("a running answer was cut off")
		}
		b.ClientDisconnected(b.at, c)
		if len(l.canceled) != 1 || !b.Idle() {
			t.Errorf("called back %d, idle %t", len(l.canceled), b.Idle())
		}
	})
}

func TestAnswersThatBreakOffEndTheCall(t *testing.T) {
	b := newBench(t, 2, nil)
	c := b.call(safe)
	_, a := b.out(c)
	b.ResponseStarted(b.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	b.AttemptEnded(b.at, a, muxclient.Result{Status: scheduler.Reset, QueueDepth: -1})
	b.pass(100 * ms)
	b.want(c, Served)
	if c.attempts != 1 || !b.Idle() {
		t.Errorf("%d attempts, idle %t: part of an answer is out, it must not be begun anew", c.attempts, b.Idle())
	}
}

func TestTooManyCallsAreRefusedAtOnce(t *testing.T) {
	b := newBench(t, 0, func(s *Settings) { s.MaxInFlight = 3 })
	for range 3 {
		b.call(safe)
	}
	b.want(b.call(safe), Rejected)
	if n := b.Counts().Shed; n != 1 || b.InFlight() != 3 {
		t.Errorf("turned away %d, in hand %d", n, b.InFlight())
	}
}

func TestACallWithoutTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1, nil)
	c := NewRequest()
	c.StartedAt, c.Timeout, c.Replica = b.at-2*time.Second, 2*time.Second, muxframe.ReplicaSpec{Function: "f"}
	b.RequestReceived(b.at, c)
	b.want(c, Rejected)
}

// TestAnAbortAnswersAll: what never ran is refused, what may have run fails, and nothing is sent again.
func TestAnAbortAnswersAll(t *testing.T) {
	b := newBench(t, 2, nil)
	out := b.call(unsafe)
	_, _ = b.out(out)
	for _, l := range b.links {
		l.holds = true
	}
	queued := b.call(unsafe)
	b.StopAdmitting(b.at)
	late := b.call(safe)
	b.want(late, Rejected)
	b.Abort(b.at)
	b.want(out, Failed)
	b.want(queued, Rejected)
	if !b.Idle() || out.attempts != 1 || queued.attempts > 1 {
		t.Errorf("idle %t, attempts %d and %d", b.Idle(), out.attempts, queued.attempts)
	}
}

func TestARestartByTheWorkersOwnWordEndsBeliefs(t *testing.T) {
	b := newBench(t, 1, nil)
	id := WorkerID("w0")
	b.WorkerConnected(b.at, id, muxframe.Welcome{Worker: "w0", Incarnation: 1, UptimeMillis: 3600_000})
	c := b.call(safe)
	b.end(c, scheduler.OK)
	b.WorkerConnected(b.at, id, muxframe.Welcome{Worker: "w0", Incarnation: 2, UptimeMillis: 5})
	if info, news := b.roster.ObserveConnection(b.at, id, 2, 5*ms); news || info.Started < b.at-10*ms {
		t.Errorf("started %v, news %t", info.Started, news)
	}
}

func TestAFailedListIsAskedForAgainBySchedule(t *testing.T) {
	b := newBench(t, 1, nil)
	b.WatchFailed(b.at, errors.New("down"))
	if b.follows != 0 {
		t.Error("asked at once")
	}
	b.pass(1100 * ms)
	if b.follows != 1 {
		t.Errorf("asked %d times", b.follows)
	}
}

// TestNamesWithOneHashAreKeptApart: the second is refused, as copies of one would be taken for the other's.
func TestNamesWithOneHashAreKeptApart(t *testing.T) {
	b := newBench(t, 1, nil)
	c := b.call(safe)
	for _, f := range b.functions {
		f.copy.Function = "another"
	}
	b.want(b.call(safe), Rejected)
	b.end(c, scheduler.OK)
}

func TestWhatTheLinkTurnsAwayGoesElsewhere(t *testing.T) {
	b := newBench(t, 2, nil)
	first := b.call(unsafe)
	l, _ := b.out(first)
	l.turns = &muxclient.Result{Status: scheduler.ConnectFailed, QueueDepth: -1}
	b.end(first, scheduler.ConnectFailed)
	b.pass(100 * ms)
	if next, _ := b.out(first); next == l {
		t.Error("sent to the same worker")
	}
}

func TestOrdersGoOutAndTimeOut(t *testing.T) {
	b := newBench(t, 2, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
	c := b.call(safe)
	orders := 0
	for _, l := range b.links {
		orders += len(l.orders)
	}
	if orders == 0 {
		t.Fatal("no worker was asked or told to load")
	}
	b.pass(2 * time.Second)
	b.want(c, Rejected)
	if len(b.orders) != 0 {
		t.Errorf("%d orders are still awaited", len(b.orders))
	}
}

// TestALoopThatIsBehindRefusesWhatWaited: the module is not asked, so that the queue empties.
func TestALoopThatIsBehindRefusesWhatWaited(t *testing.T) {
	b := newBench(t, 1, nil)
	behind := func() *Request {
		c := NewRequest()
		c.StartedAt, c.queued, c.Timeout, c.Replica = b.at-50*ms, b.at-50*ms, 2*time.Second, muxframe.ReplicaSpec{Function: "f"}
		b.RequestReceived(b.at, c)
		return c
	}
	b.want(behind(), 0) // a burst
	b.pass(200 * ms)
	taken := b.Counts().Admitted
	b.want(behind(), Rejected)
	if b.Counts().Admitted != taken {
		t.Error("it was taken")
	}
	b.want(b.call(safe), 0) // waited in no queue
}

// TestProbesAndUnloadsAreCarriedOut: the module asks for none today, a later one may.
func TestProbesAndUnloadsAreCarriedOut(t *testing.T) {
	b := newBench(t, 1, nil)
	c := b.call(safe)
	id, l := WorkerID("w0"), b.links["w0"]
	b.CheckHealth(id)
	b.Unload(id, FunctionID("f"))
	if l.probes != 1 || l.unloads != 1 || b.Counts().HealthChecks != 1 {
		t.Errorf("%d probes, %d unloads", l.probes, l.unloads)
	}
	b.HealthChecked(b.at, id, scheduler.OK, nil)
	b.HealthChecked(b.at, id, scheduler.OK, nil) // one that was not asked for
	b.end(c, scheduler.OK)
}

// TestAnAnswersWaitForTheLoopIsNotTheWorkers holds that a loop that is late tells the module no slow workers.
func TestAnAnswersWaitForTheLoopIsNotTheWorkers(t *testing.T) {
	b := newBench(t, 1, nil)
	c := b.call(safe)
	a := c.out
	b.pass(100 * time.Millisecond)
	if took := b.took(a, muxclient.Result{ReceivedAt: a.sent + 30*time.Millisecond}); took != 30*time.Millisecond {
		t.Errorf("an answer read after 30ms, seen after 100ms, counts as one of %v", took)
	}
	if took := b.took(a, muxclient.Result{}); took != 100*time.Millisecond {
		t.Errorf("an answer that tells no time, seen after 100ms, counts as one of %v", took)
	}
}
