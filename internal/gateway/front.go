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
	settings     Settings
	dependencies Dependencies
	log     zerolog.Logger
	scheduler  Scheduler
	shadow *shadow.Scheduler // the module, where other settings are watched
	incarnations  *incarnation.Tracker
	shedder    loadshed.Shedder
	tenancy *tenancy.Tenancy
	lag    looplag.Estimator
	now     time.Duration
	timers  timerHeap
	requestTimers    timerHeap   // of calls: fired sooner where the loop is late
	deferred   []func() // what came back at once; told after the module's turn

	requests     map[scheduler.RequestID]*Request
	lastRequestID    scheduler.RequestID
	attempts  map[*muxclient.Attempt]*attempt
	loadOrders    map[*muxclient.LoadOrder]*loadOrder
	workers   map[scheduler.WorkerID]*worker
	functions map[scheduler.FunctionID]*function
	zones     map[string]int
	cells     map[string]int
	kinds     map[string]int
	shuttingDown   bool
	counts    Counts
}

type attempt struct {
	muxclient.Attempt
	request    *Request
	number  int
	worker  *worker
	sentAt    time.Duration
	timer   timer
	begun   bool // its answer is on the way to the client
	settled bool // its outcome was told to the module
}

type loadOrder struct {
	muxclient.LoadOrder
	worker   *worker
	function scheduler.FunctionID
	sentAt    time.Duration
	timer    timer
	ended  bool
}

type worker struct {
	discovery.Worker
	id      scheduler.WorkerID
	client    WorkerClient
	state   scheduler.WorkerState
	healthChecks  []time.Duration // asked, oldest first
	disconnected    bool
	previousClients []WorkerClient // of addresses of before, with calls still under way
}

type function struct {
	replica muxframe.ReplicaSpec
	lastUsed time.Duration
	cost tenancy.Cost
}

// nameKept is how long the name of a function is kept after its last call. The module forgets a function
// sooner.
const functionRetention = 10 * time.Minute

const sweepInterval = time.Second

// New returns a Front that starts at now and knows no workers.
func New(now time.Duration, set Settings, outside Dependencies, log zerolog.Logger) *FrontEnd {
	longest := time.Duration(0)
	for _, c := range set.Scheduler.Classes {
		longest = max(longest, c.Timeout)
	}
	f := &FrontEnd{settings: set, dependencies: outside, lag: looplag.New(longest), log: log, incarnations: incarnation.New(), now: now,
		tenancy: tenancy.New(set.Tenancy),
		requests:   map[scheduler.RequestID]*Request{}, attempts: map[*muxclient.Attempt]*attempt{},
		loadOrders: map[*muxclient.LoadOrder]*loadOrder{}, workers: map[scheduler.WorkerID]*worker{},
		functions: map[scheduler.FunctionID]*function{}, zones: map[string]int{}, cells: map[string]int{},
		kinds: map[string]int{}}
	for _, z := range set.Zones {
		intern(f.zones, z)
	}
	switch {
	case set.NewScheduler != nil:
		f.scheduler = set.NewScheduler(now, set.Scheduler, f)
	case set.Shadow != nil:
		f.shadow = shadow.New(now, set.Scheduler, *set.Shadow, f, f.logShadowDifference)
		f.scheduler = f.shadow
	default:
		f.scheduler = scheduler.New(now, set.Scheduler, f)
	}
	f.timers.add(&timer{due: now + sweepInterval, sweep: true})
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
	if f.shadow != nil {
		f.counts.ShadowDifferences = f.shadow.Counts()
	}
	return f.counts
}

// wouldDiffer notes that the watched settings would have decided otherwise.
func (f *FrontEnd) logShadowDifference(kind string) {
	f.log.Info().Str("otherwise", kind).Msg("the watched settings would have decided otherwise")
}

// InHand is the number of calls that are owed a final answer.
func (f *FrontEnd) InFlight() (n int) {
	for _, request := range f.requests {
		if request.state == requestInFlight {
			n++
		}
	}
	return n
}

// Idle says whether nothing is under way: neither calls nor answers on their way to clients.
func (f *FrontEnd) Idle() bool { return len(f.requests) == 0 && len(f.attempts) == 0 }

// settleLater tells the module what came back within its own turn.
func (f *FrontEnd) runDeferred() {
	for len(f.deferred) > 0 {
		next := f.deferred[0]
		f.deferred = f.deferred[1:]
		next()
	}
}

// Arrive takes a call from the client edge, or refuses it at once. One whose client left while it waited in the
// loop's queue is dropped.
func (f *FrontEnd) RequestReceived(now time.Duration, request *Request) {
	f.now = now
	if request.state != requestSubmitted {
		return
	}
	request.deadline = request.StartedAt + request.Timeout - f.settings.DeadlineMargin - f.lag.DeadlineMargin(now)
	behind := request.queuedAt > 0 && f.shedder.ShouldReject(now, now-request.queuedAt)
	switch {
	case f.shuttingDown:
		f.reject(request, "this front end is closing")
	case behind:
		f.reject(request, "this front end is behind")
	case len(f.requests) >= f.settings.MaxInFlight:
		f.reject(request, "too many calls in hand")
	case request.deadline <= now:
		f.reject(request, "no time is left")
	default:
		f.admit(request)
	}
	f.runDeferred()
}

// Room is how many arrivals may wait for the Front, of which so many wait at now; what finds as many as may is to
// be refused without it.
func (f *FrontEnd) QueueLimit(now time.Duration, waiting int) int {
	if waiting == 0 {
		f.shedder.QueueEmptied(now)
	}
	return f.shedder.QueueLimit()
}

func (f *FrontEnd) reject(request *Request, why string) {
	f.counts.Shed++
	request.complete(FinalResponse{Kind: Rejected, Reason: why, RetryAfter: f.settings.Scheduler.MaxRetryAfter})
}

func (f *FrontEnd) admit(request *Request) {
	id := FunctionID(request.Replica.Function)
	known := f.functions[id]
	if v := f.tenancy.RequestReceived(f.now, request.Tenant); v != tenancy.Admit {
		f.reject(request, v.String())
		return
	}
	switch {
	case known == nil:
		known = &function{replica: request.Replica, lastUsed: f.now}
		f.functions[id] = known
	case known.replica.Function != request.Replica.Function: // two names with one hash: made on purpose, or a great chance
		f.reject(request, "this function's name cannot be told from another's")
		return
	default:
		known.replica, known.lastUsed = request.Replica, f.now
	}
	for f.lastRequestID++; f.requests[f.lastRequestID] != nil || f.lastRequestID == 0; f.lastRequestID++ {
	}
	request.id, request.state, request.function = f.lastRequestID, requestInFlight, known
	if request.ID == "" {
		request.ID = fmt.Sprintf("%s-%x-%d", f.settings.Name, f.settings.ClockStart.UnixNano(), request.id)
	}
	if request.IdempotencyKey == "" && f.settings.Scheduler.Classes[request.Class].Idempotency == scheduler.IdempotentByKey {
		request.IdempotencyKey = request.ID // so that at least our own repeats are dropped
	}
	f.requests[request.id] = request
	f.counts.Admitted++
	request.timer = timer{due: request.StartedAt + request.Timeout - f.settings.DeadlineMargin/2, request: request}
	f.requestTimers.add(&request.timer)
	f.scheduler.RequestReceived(f.now, scheduler.Request{ID: request.id, Class: request.Class, Tenant: request.Tenant, Function: id,
		Timeout: request.deadline - f.now, WorkEstimate: request.WorkEstimate, ReplicaMemoryMB: request.Replica.MemoryMB, ReplicaConcurrency: request.Replica.Concurrency,
		LoadTimeEstimate: request.Replica.LoadTime()})
}

// Left takes the news that a call's client is gone. It may come at any time: before the call's own arrival, as the
// loop takes events before arrivals; and after the final answer, when an answer that is still on its way is given
// up. Where the module may not call an attempt back, one that has not left its link is still taken back here.
func (f *FrontEnd) ClientDisconnected(now time.Duration, request *Request) {
	f.now = now
	was := request.state
	if was < requestCompleted {
		request.state = requestDisconnected
		f.counts.Disconnected++
	}
	if was == requestInFlight {
		f.scheduler.ClientDisconnected(now, request.id)
	}
	f.runDeferred()
	switch a := request.current; {
	case a == nil:
	case a.begun:
		f.abandonAttempt(a, scheduler.Cancelled, "the client left")
	case request.state == requestDisconnected && a.worker.cancelUnsent(a):
		f.endAttempt(a, muxclient.Result{Status: scheduler.NotSent, Reason: "the client left", QueueDepth: -1})
	}
	f.forget(request)
	f.runDeferred()
}

// forget drops a call once nothing of it is under way.
func (f *FrontEnd) forget(request *Request) {
	if request.state >= requestCompleted && request.current == nil {
		delete(f.requests, request.id)
		f.requestTimers.remove(&request.timer)
	}
}

// Next is when the next timer is due.
func (f *FrontEnd) NextTimer() time.Duration {
	next := f.timers.timers[0].due
	if f.requestTimers.Len() > 0 {
		next = min(next, f.requestTimers.timers[0].due-f.lag.DeadlineMargin(f.now))
	}
	return next
}

// Behind takes the news that something else of the front end's process came so late to what was due.
func (f *FrontEnd) ObserveLag(now, late time.Duration) { f.lag.Observe(now, late) }

// Tick fires the timers that are due at now.
func (f *FrontEnd) FireTimers(now time.Duration) {
	f.now = now
	if due := f.timers.timers[0].due; due < now {
		f.lag.Observe(now, now-due)
	}
	for {
		t := f.timers.popDue(now)
		if t == nil {
			t = f.requestTimers.popDue(now + f.lag.DeadlineMargin(now))
		}
		if t == nil {
			return
		}
		f.fire(t)
		f.runDeferred()
	}
}

func (f *FrontEnd) fire(t *timer) {
	switch {
	case t.wake:
		f.scheduler.TimerFired(f.now, t.schedulerToken)
	case t.sweep:
		f.sweep()
		f.timers.add(&timer{due: f.now + sweepInterval, sweep: true})
	case t.attempt != nil:
		if !t.attempt.settled && !t.attempt.begun {
			f.abandonAttempt(t.attempt, scheduler.Timeout, "nothing heard in time")
		}
	case t.loadOrder != nil:
		if !t.loadOrder.ended {
			t.loadOrder.worker.client.AbandonLoad(&t.loadOrder.LoadOrder)
			f.endLoadOrder(t.loadOrder, scheduler.Timeout, 0)
		}
	case t.request != nil && t.request.state == requestInFlight:
		f.answerPastDeadline(t.request)
	}
}

// overdue gives the final answer that the module has not given, as it counts on more time than a loop that is late has
// left. It must never be needed by one that is not.
func (f *FrontEnd) answerPastDeadline(request *Request) {
	f.counts.PastDeadline++
	f.log.Warn().Str("call", request.ID).Str("function", request.Replica.Function).Int("attempts", request.attempts).Msg("answer overdue")
	f.abort(request, "no answer in time")
}

// abort ends a call against the module's will: refused only where no attempt can have run. The call is over
// before the module is told of its attempt, so that it is not sent again.
func (f *FrontEnd) abort(request *Request, why string) {
	if request.state != requestInFlight {
		return
	}
	a, as := request.current, scheduler.NotSent
	if a != nil && a.worker.abandon(a) {
		as = scheduler.Cancelled
	}
	request.recordStatus(as)
	kind := Rejected
	if request.mayHaveExecuted {
		kind = Failed
	}
	f.respond(request, FinalResponse{Kind: kind, Reason: why, TimedOut: true, RetryAfter: f.settings.Scheduler.MaxRetryAfter})
	f.scheduler.ClientDisconnected(f.now, request.id)
	if a != nil {
		f.endAttempt(a, muxclient.Result{Status: as, Reason: why, QueueDepth: -1})
	}
}

// Close makes the Front refuse what arrives from now on; what it has goes on.
func (f *FrontEnd) StopAdmitting(now time.Duration) { f.now, f.shuttingDown = now, true }

// Abort ends all that is under way at once, each with its final answer.
func (f *FrontEnd) Abort(now time.Duration) {
	f.now = now
	for _, id := range sortedKeys(f.requests) {
		f.abort(f.requests[id], "this front end stops")
		f.runDeferred()
	}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		for _, l := range append(w.previousClients, w.client) {
			l.Stop()
		}
	}
}

// final gives a call its final answer and counts it.
func (f *FrontEnd) respond(request *Request, answer FinalResponse) {
	if !request.complete(answer) {
		return
	}
	f.recordTenantUse(request, answer.Kind)
	switch answer.Kind {
	case Served:
		f.counts.Served++
	case Rejected:
		f.counts.Rejected++
		f.logResponse(f.log.Debug(), request, answer)
	case Failed:
		f.counts.Failed++
		f.logResponse(f.log.Info(), request, answer)
	}
	f.forget(request)
}

// account tells how a call ended that its tenant was let make.
func (f *FrontEnd) recordTenantUse(request *Request, kind ResponseKind) {
	end := tenancy.RequestEnd{Served: kind == Served, MissedObjective: true}
	if request.attempts > 0 {
		end.Work = cmp.Or(request.runTime, request.function.cost.Expect())
	}
	switch kind {
	case Served:
		end.MissedObjective = f.now-request.StartedAt > f.settings.Scheduler.Classes[request.Class].LatencyObjective
	case Failed:
		end.MissedObjective = request.lastStatus == scheduler.Timeout || request.lastStatus == scheduler.Cancelled // else it is the function's or worker's own fault
	}
	f.tenancy.RequestEnded(f.now, request.Tenant, end)
}

// tell logs a final answer that is not a worker's.
func (f *FrontEnd) logResponse(line *zerolog.Event, request *Request, answer FinalResponse) {
	line.Str("call", request.ID).Str("function", request.Replica.Function).Str("class", f.settings.Classes[request.Class]).Int("attempts", request.attempts).
		Str("why", answer.Reason).Msg(answer.Kind.String())
}
