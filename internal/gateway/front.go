package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/incarnation"
	"havencart/internal/decide/loadshed"
	"havencart/internal/decide/looplag"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/internal/shadow"
	"havencart/scheduler"
)

// Settings are what a Front needs beside the module's own.
type Settings struct {
	Scheduler      scheduler.Settings
	Name           string   // of this front end, unique among all
	Classes        []string // names, in the order of Control.Classes
	Tenants        []string // names, in the order of Control.Tenants
	Zones          []string // names; Control.Zone is an index into them
	Tenancy        tenancy.Settings
	DeadlineMargin time.Duration // the final answer is due this long before the client gives up
	MaxInFlight    int           // calls in hand; more are refused at once
	ClockStart     time.Time     // wall time at 0 of the clock

	// Decide makes the module; nil stands for control.New.
	NewScheduler func(now time.Duration, set scheduler.Settings, a scheduler.Actions) Scheduler
	// Watch, where given, are settings by which nothing is decided: it is counted where they would decide otherwise.
	Shadow *shadow.Settings
}

// Module is what decides: control.Controller, or in the laboratory a baseline set beside it.
type Scheduler interface {
	WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool)
	WatchFailed(now time.Duration)
	TimerFired(now time.Duration, token uint64)
	RequestReceived(now time.Duration, r scheduler.Request)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	ClientDisconnected(now time.Duration, id scheduler.RequestID)
	LoadEnded(now time.Duration, l scheduler.LoadResult)
	ResponseStarted(now time.Duration, id scheduler.RequestID)
	HealthChecked(now time.Duration, p scheduler.HealthCheckResult)
}

// Link is the way to one worker, as workerlink.Link is.
type WorkerClient interface {
	Send(*muxclient.Attempt) *muxclient.Result
	CancelUnsent(*muxclient.Attempt) (notLeft bool)
	Abandon(*muxclient.Attempt) (mayHaveLeft bool)
	Load(*muxclient.LoadOrder) scheduler.Status
	AbandonLoad(*muxclient.LoadOrder)
	Unload(function string)
	CheckHealth()
	Drain(grace time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder)
	Resume()
	Busy() bool
	Stop()
}

// Outside is what a Front reaches beside its links.
type Dependencies interface {
	// Open begins a link; what happens on it is told to the Front with this worker's identifier.
	OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient
	// Follow asks the directory anew.
	WatchEndpoints()
}

// Counts are a Front's totals since its start.
type Counts struct {
	Admitted, Served, Rejected, Failed, Disconnected     uint64
	Shed                                                 uint64 // refused without being taken
	Attempts, LoadOrders, ResidencyQueries, HealthChecks uint64
	LateResponses                                        uint64        // answers that nobody waited for any longer
	PastDeadline                                         uint64        // final answers that the module did not give in time
	ShadowDifferences                                    shadow.Counts // what watched settings would have decided otherwise
}

// Front is the state machine of one front end. Its methods are called one at a time, with times that never go
// back.
type FrontEnd struct {
	set     Settings
	outside Dependencies
	log     zerolog.Logger
	module  Scheduler
	watched *shadow.Scheduler // the module, where other settings are watched
	roster  *incarnation.Tracker
	shed    loadshed.Shedder
	tenancy *tenancy.Limiter
	late    looplag.Estimator
	now     time.Duration
	timers  timers
	ends    timers   // of calls: fired sooner where the loop is late
	later   []func() // what came back at once; told after the module's turn

	calls     map[scheduler.RequestID]*Request
	lastID    scheduler.RequestID
	attempts  map[*muxclient.Attempt]*attempt
	orders    map[*muxclient.LoadOrder]*order
	workers   map[scheduler.WorkerID]*worker
	functions map[scheduler.FunctionID]*function
	zones     map[string]int
	cells     map[string]int
	kinds     map[string]int
	closing   bool
	counts    Counts
}

type attempt struct {
	muxclient.Attempt
	call    *Request
	number  int
	worker  *worker
	sent    time.Duration
	timer   timer
	begun   bool // its answer is on the way to the client
	settled bool // its outcome was told to the module
}

type order struct {
	muxclient.LoadOrder
	worker   *worker
	function scheduler.FunctionID
	given    time.Duration
	timer    timer
	settled  bool
}

type worker struct {
	discovery.Worker
	id      scheduler.WorkerID
	link    WorkerClient
	state   scheduler.WorkerState
	probes  []time.Duration // asked, oldest first
	down    bool
	retired []WorkerClient // of addresses of before, with calls still under way
}

type function struct {
	copy muxframe.ReplicaSpec
	used time.Duration
	cost tenancy.WorkEstimator
}

// nameKept is how long the name of a function is kept after its last call. The module forgets a function
// sooner.
const nameKept = 10 * time.Minute

const sweepEvery = time.Second

// New returns a Front that starts at now and knows no workers.
func New(now time.Duration, set Settings, outside Dependencies, log zerolog.Logger) *FrontEnd {
	longest := time.Duration(0)
	for _, c := range set.Scheduler.Classes {
		longest = max(longest, c.Timeout)
	}
	f := &FrontEnd{set: set, outside: outside, late: looplag.New(longest), log: log, roster: incarnation.New(), now: now,
		tenancy: tenancy.New(set.Tenancy),
		calls:   map[scheduler.RequestID]*Request{}, attempts: map[*muxclient.Attempt]*attempt{},
		orders: map[*muxclient.LoadOrder]*order{}, workers: map[scheduler.WorkerID]*worker{},
		functions: map[scheduler.FunctionID]*function{}, zones: map[string]int{}, cells: map[string]int{},
		kinds: map[string]int{}}
	for _, z := range set.Zones {
		intern(f.zones, z)
	}
	switch {
	case set.NewScheduler != nil:
		f.module = set.NewScheduler(now, set.Scheduler, f)
	case set.Shadow != nil:
		f.watched = shadow.New(now, set.Scheduler, *set.Shadow, f, f.wouldDiffer)
		f.module = f.watched
	default:
		f.module = scheduler.New(now, set.Scheduler, f)
	}
	f.timers.set(&timer{at: now + sweepEvery, sweep: true})
	return f
}

// intern numbers names in the order in which they are met.
func intern(table map[string]int, name string) int {
	n, known := table[name]
	if !known {
		n = len(table)
		table[name] = n
	}
	return n
}

// sortedKeys are the keys in order: what follows from a table must not follow from the order of its hashes.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }

// Counts returns the totals.
func (f *FrontEnd) Counts() Counts {
	if f.watched != nil {
		f.counts.ShadowDifferences = f.watched.Counts()
	}
	return f.counts
}

// wouldDiffer notes that the watched settings would have decided otherwise.
func (f *FrontEnd) wouldDiffer(kind string) {
	f.log.Info().Str("otherwise", kind).Msg("the watched settings would have decided otherwise")
}

// InHand is the number of calls that are owed a final answer.
func (f *FrontEnd) InFlight() (n int) {
	for _, c := range f.calls {
		if c.state == waiting {
			n++
		}
	}
	return n
}

// Idle says whether nothing is under way: neither calls nor answers on their way to clients.
func (f *FrontEnd) Idle() bool { return len(f.calls) == 0 && len(f.attempts) == 0 }

// settleLater tells the module what came back within its own turn.
func (f *FrontEnd) settleLater() {
	for len(f.later) > 0 {
		next := f.later[0]
		f.later = f.later[1:]
		next()
	}
}

// Arrive takes a call from the client edge, or refuses it at once. One whose client left while it waited in the
// loop's queue is dropped.
func (f *FrontEnd) RequestReceived(now time.Duration, c *Request) {
	f.now = now
	if c.state != fresh {
		return
	}
	c.deadline = c.StartedAt + c.Timeout - f.set.DeadlineMargin - f.late.DeadlineMargin(now)
	behind := c.queued > 0 && f.shed.ShouldReject(now, now-c.queued)
	switch {
	case f.closing:
		f.turnAway(c, "this front end is closing")
	case behind:
		f.turnAway(c, "this front end is behind")
	case len(f.calls) >= f.set.MaxInFlight:
		f.turnAway(c, "too many calls in hand")
	case c.deadline <= now:
		f.turnAway(c, "no time is left")
	default:
		f.take(c)
	}
	f.settleLater()
}

// Room is how many arrivals may wait for the Front, of which so many wait at now; what finds as many as may is to
// be refused without it.
func (f *FrontEnd) QueueLimit(now time.Duration, waiting int) int {
	if waiting == 0 {
		f.shed.QueueEmptied(now)
	}
	return f.shed.QueueLimit()
}

func (f *FrontEnd) turnAway(c *Request, why string) {
	f.counts.Shed++
	c.settle(FinalResponse{Kind: Rejected, Reason: why, RetryAfter: f.set.Scheduler.MaxRetryAfter})
}

func (f *FrontEnd) take(c *Request) {
	id := FunctionID(c.Replica.Function)
	known := f.functions[id]
	if v := f.tenancy.RequestReceived(f.now, c.Tenant); v != tenancy.Admit {
		f.turnAway(c, v.String())
		return
	}
	switch {
	case known == nil:
		known = &function{copy: c.Replica, used: f.now}
		f.functions[id] = known
	case known.copy.Function != c.Replica.Function: // two names with one hash: made on purpose, or a great chance
		f.turnAway(c, "this function's name cannot be told from another's")
		return
	default:
		known.copy, known.used = c.Replica, f.now
	}
	for f.lastID++; f.calls[f.lastID] != nil || f.lastID == 0; f.lastID++ {
	}
	c.id, c.state, c.fn = f.lastID, waiting, known
	if c.ID == "" {
		c.ID = fmt.Sprintf("%s-%x-%d", f.set.Name, f.set.ClockStart.UnixNano(), c.id)
	}
	if c.IdempotencyKey == "" && f.set.Scheduler.Classes[c.Class].Idempotency == scheduler.IdempotentByKey {
		c.IdempotencyKey = c.ID // so that at least our own repeats are dropped
	}
	f.calls[c.id] = c
	f.counts.Admitted++
	c.timer = timer{at: c.StartedAt + c.Timeout - f.set.DeadlineMargin/2, call: c}
	f.ends.set(&c.timer)
	f.module.RequestReceived(f.now, scheduler.Request{ID: c.id, Class: c.Class, Tenant: c.Tenant, Function: id,
		Timeout: c.deadline - f.now, WorkEstimate: c.WorkEstimate, ReplicaMemoryMB: c.Replica.MemoryMB, ReplicaConcurrency: c.Replica.Concurrency,
		LoadTimeEstimate: c.Replica.LoadTime()})
}

// Left takes the news that a call's client is gone. It may come at any time: before the call's own arrival, as the
// loop takes events before arrivals; and after the final answer, when an answer that is still on its way is given
// up. Where the module may not call an attempt back, one that has not left its link is still taken back here.
func (f *FrontEnd) ClientDisconnected(now time.Duration, c *Request) {
	f.now = now
	was := c.state
	if was < answered {
		c.state = left
		f.counts.Disconnected++
	}
	if was == waiting {
		f.module.ClientDisconnected(now, c.id)
	}
	f.settleLater()
	switch a := c.out; {
	case a == nil:
	case a.begun:
		f.giveUp(a, scheduler.Cancelled, "the client left")
	case c.state == left && a.worker.withdraw(a):
		f.ended(a, muxclient.Result{Status: scheduler.NotSent, Reason: "the client left", QueueDepth: -1})
	}
	f.forget(c)
	f.settleLater()
}

// forget drops a call once nothing of it is under way.
func (f *FrontEnd) forget(c *Request) {
	if c.state >= answered && c.out == nil {
		delete(f.calls, c.id)
		f.ends.stop(&c.timer)
	}
}

// Next is when the next timer is due.
func (f *FrontEnd) NextTimer() time.Duration {
	next := f.timers.list[0].at
	if f.ends.Len() > 0 {
		next = min(next, f.ends.list[0].at-f.late.DeadlineMargin(f.now))
	}
	return next
}

// Behind takes the news that something else of the front end's process came so late to what was due.
func (f *FrontEnd) ObserveLag(now, late time.Duration) { f.late.Observe(now, late) }

// Tick fires the timers that are due at now.
func (f *FrontEnd) FireTimers(now time.Duration) {
	f.now = now
	if due := f.timers.list[0].at; due < now {
		f.late.Observe(now, now-due)
	}
	for {
		t := f.timers.due(now)
		if t == nil {
			t = f.ends.due(now + f.late.DeadlineMargin(now))
		}
		if t == nil {
			return
		}
		f.fire(t)
		f.settleLater()
	}
}

func (f *FrontEnd) fire(t *timer) {
	switch {
	case t.wake:
		f.module.TimerFired(f.now, t.token)
	case t.sweep:
		f.sweep()
		f.timers.set(&timer{at: f.now + sweepEvery, sweep: true})
	case t.attempt != nil:
		if !t.attempt.settled && !t.attempt.begun {
			f.giveUp(t.attempt, scheduler.Timeout, "nothing heard in time")
		}
	case t.order != nil:
		if !t.order.settled {
			t.order.worker.link.AbandonLoad(&t.order.LoadOrder)
			f.orderEnded(t.order, scheduler.Timeout, 0)
		}
	case t.call != nil && t.call.state == waiting:
		f.overdue(t.call)
	}
}

// overdue gives the final answer that the module has not given, as it counts on more time than a loop that is late has
// left. It must never be needed by one that is not.
func (f *FrontEnd) overdue(c *Request) {
	f.counts.PastDeadline++
	f.log.Warn().Str("call", c.ID).Str("function", c.Replica.Function).Int("attempts", c.attempts).Msg("answer overdue")
	f.abort(c, "no answer in time")
}

// abort ends a call against the module's will: refused only where no attempt can have run. The call is over
// before the module is told of its attempt, so that it is not sent again.
func (f *FrontEnd) abort(c *Request, why string) {
	if c.state != waiting {
		return
	}
	a, as := c.out, scheduler.NotSent
	if a != nil && a.worker.abandon(a) {
		as = scheduler.Cancelled
	}
	c.mayHaveRun(as)
	kind := Rejected
	if c.ran {
		kind = Failed
	}
	f.final(c, FinalResponse{Kind: kind, Reason: why, TimedOut: true, RetryAfter: f.set.Scheduler.MaxRetryAfter})
	f.module.ClientDisconnected(f.now, c.id)
	if a != nil {
		f.ended(a, muxclient.Result{Status: as, Reason: why, QueueDepth: -1})
	}
}

// Close makes the Front refuse what arrives from now on; what it has goes on.
func (f *FrontEnd) StopAdmitting(now time.Duration) { f.now, f.closing = now, true }

// Abort ends all that is under way at once, each with its final answer.
func (f *FrontEnd) Abort(now time.Duration) {
	f.now = now
	for _, id := range sortedKeys(f.calls) {
		f.abort(f.calls[id], "this front end stops")
		f.settleLater()
	}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		for _, l := range append(w.retired, w.link) {
			l.Stop()
		}
	}
}

// final gives a call its final answer and counts it.
func (f *FrontEnd) final(c *Request, answer FinalResponse) {
	if !c.settle(answer) {
		return
	}
	f.account(c, answer.Kind)
	switch answer.Kind {
	case Served:
		f.counts.Served++
	case Rejected:
		f.counts.Rejected++
		f.tell(f.log.Debug(), c, answer)
	case Failed:
		f.counts.Failed++
		f.tell(f.log.Info(), c, answer)
	}
	f.forget(c)
}

// account tells how a call ended that its tenant was let make.
func (f *FrontEnd) account(c *Request, kind ResponseKind) {
	end := tenancy.RequestEnd{Served: kind == Served, MissedObjective: true}
	if c.attempts > 0 {
		end.Work = cmp.Or(c.work, c.fn.cost.Estimate())
	}
	switch kind {
	case Served:
		end.MissedObjective = f.now-c.StartedAt > f.set.Scheduler.Classes[c.Class].LatencyObjective
	case Failed:
		end.MissedObjective = c.last == scheduler.Timeout || c.last == scheduler.Cancelled // else it is the function's or worker's own fault
	}
	f.tenancy.RequestEnded(f.now, c.Tenant, end)
}

// tell logs a final answer that is not a worker's.
func (f *FrontEnd) tell(line *zerolog.Event, c *Request, answer FinalResponse) {
	line.Str("call", c.ID).Str("function", c.Replica.Function).Str("class", f.set.Classes[c.Class]).Int("attempts", c.attempts).
		Str("why", answer.Reason).Msg(answer.Kind.String())
}
