package gateway

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/decide/incarnation"
	"havencart/internal/decide/loadshed"
	"havencart/internal/decide/looplag"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/shadow"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// Settings configure a FrontEnd and its scheduler.
type Settings struct {
	Scheduler      scheduler.Settings
	Name           string   // name of this front end, unique among all front ends
	Classes        []string // class names, in the order of Scheduler.Classes
	Tenants        []string // tenant names, in the order of Scheduler.Tenants
	Zones          []string // zone names; Scheduler.Zone is an index into them
	Tenancy        tenancy.Settings
	EndpointRules  endpointlease.Rules // if NotifiedAfterSilence is 0, the endpoint list never becomes invalid
	DeadlineMargin time.Duration       // how long before the client's timeout the final response is due
	MaxInFlight    int                 // limit of requests in flight; further ones are rejected immediately
	ClockStart     time.Time           // wall time at which the clock is 0
	// Guard is shared with the worker clients. If nil, the FrontEnd creates its own.
	Guard *workerconn.WriteGuard

	// NewScheduler creates the scheduler. If nil, scheduler.New is used.
	NewScheduler func(now time.Duration, settings scheduler.Settings, a scheduler.Actions) Scheduler
	// Shadow holds settings that are evaluated without effect, or nil. Decisions that would differ with them are
	// counted.
	Shadow *shadow.Settings
}

// Scheduler decides what happens to requests. It is a scheduler.Scheduler or, in experiments, a baseline that is
// compared with it. The FrontEnd calls it from the goroutine that owns the FrontEnd. The outcome of an action is
// reported only after the call in which the scheduler requested the action has returned.
type Scheduler interface {
	// WorkersChanged reports the complete list of workers if complete is set, and otherwise only the workers that
	// changed.
	WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, complete bool)
	// WatchFailed reports that the endpoint list could not be received.
	WatchFailed(now time.Duration)
	// TimerFired reports that a timer set with scheduler.Actions.SetTimer is due.
	TimerFired(now time.Duration, token uint64)
	// RequestReceived reports an admitted request. The scheduler must send, reject or fail it.
	RequestReceived(now time.Duration, r scheduler.Request)
	// AttemptEnded reports the outcome of an attempt. It is called once per attempt.
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	// ClientDisconnected reports that a request no longer needs a final response.
	ClientDisconnected(now time.Duration, id scheduler.RequestID)
	// LoadEnded reports the result of a load order or residency query. It is called once for each.
	LoadEnded(now time.Duration, l scheduler.LoadResult)
	// ResponseStarted reports that a request is being served with a streamed response. Its attempt ends later.
	ResponseStarted(now time.Duration, id scheduler.RequestID)
	// HealthChecked reports the result of a health check.
	HealthChecked(now time.Duration, p scheduler.HealthCheckResult)
}

// WorkerClient is the client of one worker, such as a muxclient.Client. Its methods do not wait for the worker: what
// happens after they return is reported by events.
type WorkerClient interface {
	// Send queues an attempt. A non-nil result is the outcome of the attempt, and no event follows.
	Send(*workerconn.Attempt) *workerconn.Result
	// CancelUnsent cancels an attempt if no part of it was written, and reports whether it did.
	CancelUnsent(*workerconn.Attempt) (unsent bool)
	// Abandon stops waiting for an attempt and reports whether the worker may have received it. An attempt whose permit
	// has ended, and which the worker is not known to have received, does not reach the worker afterwards.
	Abandon(*workerconn.Attempt) (mayBeReceived bool)
	// IsReceived reports whether the worker is known to have received an attempt, or the attempt has ended. An attempt
	// that was sent and is not known to be received may arrive later.
	IsReceived(*workerconn.Attempt) bool
	// Load sends a load order or a residency query. A nonzero status is its outcome, and no event follows.
	Load(*workerconn.LoadOrder) scheduler.Status
	// AbandonLoad stops waiting for a load order or residency query. No event follows.
	AbandonLoad(*workerconn.LoadOrder)
	// Unload asks the worker to unload the idle replicas of a function. The worker sends no response.
	Unload(function string)
	// CheckHealth sends a health check. A nonzero status is its outcome, and no event follows.
	CheckHealth(*workerconn.HealthCheck) scheduler.Status
	// AbandonHealthCheck stops waiting for a health check.
	AbandonHealthCheck(*workerconn.HealthCheck)
	// Drain stops accepting new work until Resume is called. It returns the attempts and the orders to load replicas
	// that were not sent.
	Drain(grace time.Duration) ([]*workerconn.Attempt, []*workerconn.LoadOrder)
	// Resume ends a drain.
	Resume()
	// Busy reports whether the client has work in flight.
	Busy() bool
	// Stop permanently closes all connections.
	Stop()
}

// Dependencies provides a FrontEnd with worker clients and with access to endpoint discovery.
type Dependencies interface {
	// OpenWorker starts a client of a worker. The client's events are reported to the FrontEnd with the worker's
	// identifier.
	OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient
	// WatchEndpoints requests the endpoint list again.
	WatchEndpoints()
}

// FrontEnd is the state machine of one front end. It is not safe for concurrent use: one goroutine owns it and calls
// all its methods, with times that never decrease. It also implements scheduler.Actions for its scheduler.
type FrontEnd struct {
	settings     Settings
	dependencies Dependencies
	log          zerolog.Logger
	trace        *trace
	guard        *workerconn.WriteGuard
	scheduler    Scheduler
	shadow       *shadow.Scheduler // same as scheduler if shadow settings are evaluated, else nil
	incarnations *incarnation.Tracker
	lease        endpointlease.Lease // endpoint lease
	leaseEnded   bool                // whether the end of the endpoint lease was logged
	// awaitsFirstConfirmation is whether the endpoint list may still be confirmed for the first time without delay.
	awaitsFirstConfirmation bool
	shedReasons             ReasonCounts // requests that were rejected without being admitted
	shedder                 loadshed.Shedder
	tenancy                 *tenancy.Limiter
	lag                     looplag.Estimator
	now                     time.Duration // time of the event that is being handled

	timers        timerHeap
	requestTimers timerHeap // these fire early, by the margin for the event loop's lag
	deferred      []func()  // calls deferred until the scheduler returns; see runDeferred

	requests      map[scheduler.RequestID]*Request
	lastRequestID scheduler.RequestID
	attempts      map[*workerconn.Attempt]*requestAttempt
	loadOrders    map[*workerconn.LoadOrder]*loadOrder
	healthChecks  map[*workerconn.HealthCheck]*healthCheck
	workers       map[scheduler.WorkerID]*worker
	retiring      map[scheduler.WorkerID]*worker // workers with clients that sweep has to stop
	overridden    map[scheduler.WorkerID]*worker // state or start is not as listed; until the list is confirmed
	addresses     map[string]scheduler.WorkerID  // the worker that has each address; at most one for each worker
	functions     *functionTable
	abandoned     abandonedRequests

	// Numbers that stand for names in the scheduler, assigned in the order in which the names are first seen.
	zones map[string]int
	cells map[string]int
	kinds map[string]int

	lastUnidentifiedCell int // last readiness.unidentifiedCell that was assigned

	shuttingDown bool // whether all new requests are rejected
	counts       Counts
}

// NewFrontEnd returns a FrontEnd that starts at now, without workers.
func NewFrontEnd(now time.Duration, settings Settings, dependencies Dependencies, log zerolog.Logger) *FrontEnd {
	frontEnd := &FrontEnd{
		settings:     settings,
		dependencies: dependencies,
		log:          log,
		guard:        cmp.Or(settings.Guard, &workerconn.WriteGuard{}),
		trace:        newTrace(log, settings.Classes),
		incarnations: incarnation.New(),
		lease:        endpointlease.New(settings.EndpointRules, now),
		tenancy:      tenancy.New(settings.Tenancy),
		lag:          looplag.New(longestTimeout(settings.Scheduler.Classes)),
		now:          now,
		requests:     map[scheduler.RequestID]*Request{},
		attempts:     map[*workerconn.Attempt]*requestAttempt{},
		loadOrders:   map[*workerconn.LoadOrder]*loadOrder{},
		healthChecks: map[*workerconn.HealthCheck]*healthCheck{},
		overridden:   map[scheduler.WorkerID]*worker{},
		workers:      map[scheduler.WorkerID]*worker{},
		addresses:    map[string]scheduler.WorkerID{},
		retiring:     map[scheduler.WorkerID]*worker{},
		functions:    newFunctionTable(settings.Scheduler.FunctionLimit()),
		zones:        map[string]int{},
		cells:        map[string]int{},
		kinds:        map[string]int{},
	}
	frontEnd.guard.SetEndpointLease(frontEnd.lease.ValidUntil())
	for _, zone := range settings.Zones {
		intern(frontEnd.zones, zone)
	}
	switch {
	case settings.NewScheduler != nil:
		frontEnd.scheduler = settings.NewScheduler(now, settings.Scheduler, frontEnd)
	case settings.Shadow != nil:
		frontEnd.shadow = shadow.New(now, settings.Scheduler, *settings.Shadow, frontEnd, frontEnd.logShadowDifference)
		frontEnd.scheduler = frontEnd.shadow
	default:
		frontEnd.scheduler = scheduler.New(now, settings.Scheduler, frontEnd)
	}
	frontEnd.timers.add(&timer{kind: sweepTimer, due: now + sweepInterval})
	frontEnd.beginFirstConfirmationWait()
	return frontEnd
}

// longestTimeout returns the longest request timeout of all classes.
func longestTimeout(classes []scheduler.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// runDeferred makes the deferred calls. They report the immediate outcomes of actions to the scheduler, and wait
// until the scheduler has returned from the call in which it requested the actions. Deferred calls may defer further
// calls.
func (f *FrontEnd) runDeferred() {
	for len(f.deferred) > 0 {
		next := f.deferred[0]
		f.deferred = f.deferred[1:]
		next()
	}
}

// logShadowDifference logs a decision that would have been different with the shadow settings.
func (f *FrontEnd) logShadowDifference(kind string) {
	f.log.Info().Str("decision", kind).Msg("shadow settings would have decided differently")
}

// Log implements scheduler.Actions: it logs a message from the scheduler.
func (f *FrontEnd) Log(text string) { f.log.Info().Str("component", "scheduler").Msg(text) }
