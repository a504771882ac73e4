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
	"havencart/internal/native/muxframe"
	"havencart/internal/shadow"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// Settings are what a FrontEnd needs beside the scheduler's own settings.
type Settings struct {
	Scheduler      scheduler.Settings
	Name           string   // of this front end, unique among all
	Classes        []string // names, in the order of Scheduler.Classes
	Tenants        []string // names, in the order of Scheduler.Tenants
	Zones          []string // names; Scheduler.Zone is an index into them
	Tenancy        tenancy.Settings
	EndpointRules  endpointlease.Rules // without a Silence, the endpoint list is valid without end
	DeadlineMargin time.Duration       // the final response is due this long before the client gives up
	MaxInFlight    int                 // requests in flight; more are rejected at once
	ClockStart     time.Time           // wall time at 0 of the clock
	// Guard is shared with the worker clients; nil: the FrontEnd has one of its own.
	Guard *workerconn.Guard

	// NewScheduler makes the scheduler; nil stands for scheduler.New.
	NewScheduler func(now time.Duration, set scheduler.Settings, a scheduler.Actions) Scheduler
	// Shadow, where not nil, are settings that decide nothing: the decisions in which they diverge are counted.
	Shadow *shadow.Settings
}

// Scheduler decides: it is a scheduler.Scheduler, or in the laboratory a baseline compared with it. The FrontEnd calls
// it from its own goroutine, and reports what its actions led to after the call that asked for them has returned.
type Scheduler interface {
	// WorkersChanged reports workers: all of them where whole is set, else only those that changed.
	WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool)
	// WatchFailed reports that the endpoint list could not be received.
	WatchFailed(now time.Duration)
	// TimerFired reports that the timer of an action SetTimer is due.
	TimerFired(now time.Duration, token uint64)
	// RequestReceived hands over an admitted request, which the scheduler sends, rejects or fails.
	RequestReceived(now time.Duration, r scheduler.Request)
	// AttemptEnded reports the outcome of an attempt, once each.
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	// ClientDisconnected reports that no final response is owed any longer.
	ClientDisconnected(now time.Duration, id scheduler.RequestID)
	// LoadEnded reports the result of a load order or residency query, once each.
	LoadEnded(now time.Duration, l scheduler.LoadResult)
	// ResponseStarted reports that a request is served; its attempt ends later.
	ResponseStarted(now time.Duration, id scheduler.RequestID)
	// HealthChecked reports the result of a health check.
	HealthChecked(now time.Duration, p scheduler.HealthCheckResult)
}

// WorkerClient is the client of one worker, as muxclient.Client is. None of its methods waits for the worker; what
// happens later is reported by events.
type WorkerClient interface {
	// Send queues an attempt. A result that is not nil is its outcome: no event follows.
	Send(*workerconn.Attempt) *workerconn.Result
	// CancelUnsent takes an attempt back if none of it was written, and reports whether it did.
	CancelUnsent(*workerconn.Attempt) (unsent bool)
	// Abandon gives an attempt up and reports whether the worker may have received it.
	Abandon(*workerconn.Attempt) (mayBeReceived bool)
	// Load sends a load order, or a residency query. A status other than 0 is its outcome: no event follows.
	Load(*workerconn.LoadOrder) scheduler.Status
	// AbandonLoad gives a load order up: no event follows.
	AbandonLoad(*workerconn.LoadOrder)
	// Unload asks for the idle replicas of a function to be unloaded. It has no response.
	Unload(function string)
	// CheckHealth sends a health check. A status other than 0 is its outcome: no event follows.
	CheckHealth(*workerconn.HealthCheck) scheduler.Status
	// AbandonHealthCheck gives a health check up.
	AbandonHealthCheck(*workerconn.HealthCheck)
	// Drain admits nothing new until Resume, and returns what was not sent yet.
	Drain(grace time.Duration) ([]*workerconn.Attempt, []*workerconn.LoadOrder)
	// Resume ends a drain.
	Resume()
	// Busy reports whether anything is in flight.
	Busy() bool
	// Stop closes all connections for good.
	Stop()
}

// Dependencies are what a FrontEnd reaches beside its worker clients.
type Dependencies interface {
	// OpenWorker starts a client; what happens on it is reported to the FrontEnd with this worker's identifier.
	OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient
	// WatchEndpoints requests the endpoint list anew.
	WatchEndpoints()
}

// FrontEnd is the state machine of one front end. It has no lock: one goroutine owns it and calls all its methods,
// with times that never go back. It is also the scheduler.Actions of its scheduler.
type FrontEnd struct {
	settings     Settings
	dependencies Dependencies
	log          zerolog.Logger
	trace        *trace
	guard        *workerconn.Guard
	scheduler    Scheduler
	shadow       *shadow.Scheduler // the scheduler, where shadow settings are evaluated; else nil
	incarnations *incarnation.Tracker
	lease        endpointlease.Lease // on the endpoint list
	leaseEnded   bool                // the log has that it ended
	shedder      loadshed.Shedder
	tenancy      *tenancy.Limiter
	lag          looplag.Estimator
	now          time.Duration // of the event that is handled

	timers        timerHeap
	requestTimers timerHeap // fire sooner, by the margin for the event loop's lag
	deferred      []func()  // outcomes deferred until the scheduler returns

	requests      map[scheduler.RequestID]*Request
	lastRequestID scheduler.RequestID
	attempts      map[*workerconn.Attempt]*requestAttempt
	loadOrders    map[*workerconn.LoadOrder]*loadOrder
	healthChecks  map[*workerconn.HealthCheck]*healthCheck
	workers       map[scheduler.WorkerID]*worker
	retiring      map[scheduler.WorkerID]*worker // those with clients that sweep is to stop
	overridden    map[scheduler.WorkerID]*worker // whose state or start differs from the list's until that is confirmed
	functions     map[scheduler.FunctionID]*function

	// Numbers of names for the scheduler, in the order in which they were first seen.
	zones map[string]int
	cells map[string]int
	kinds map[string]int

	shuttingDown bool // nothing is admitted any longer
	counts       Counts
}

// function is what is known of a function from its requests.
type function struct {
	replica  muxframe.ReplicaSpec
	lastUsed time.Duration
	cost     tenancy.WorkEstimator
}

// NewFrontEnd returns a FrontEnd that starts at now and knows no workers.
func NewFrontEnd(now time.Duration, settings Settings, dependencies Dependencies, log zerolog.Logger) *FrontEnd {
	frontEnd := &FrontEnd{
		settings:     settings,
		dependencies: dependencies,
		log:          log,
		guard:        cmp.Or(settings.Guard, &workerconn.Guard{}),
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
		retiring:     map[scheduler.WorkerID]*worker{},
		functions:    map[scheduler.FunctionID]*function{},
		zones:        map[string]int{},
		cells:        map[string]int{},
		kinds:        map[string]int{},
	}
	frontEnd.guard.SetEndpointLease(frontEnd.lease.Until())
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
	return frontEnd
}

// longestTimeout is the longest that a client of any class waits.
func longestTimeout(classes []scheduler.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// runDeferred reports to the scheduler what its own actions led to at once, after it has returned. Outcomes may be
// deferred meanwhile.
func (f *FrontEnd) runDeferred() {
	for len(f.deferred) > 0 {
		next := f.deferred[0]
		f.deferred = f.deferred[1:]
		next()
	}
}

// logShadowDifference logs a decision in which the shadow settings diverge.
func (f *FrontEnd) logShadowDifference(kind string) {
	f.log.Info().Str("decision", kind).Msg("shadow settings would have decided differently")
}

// Log implements scheduler.Actions: it logs a line of the scheduler's.
func (f *FrontEnd) Log(text string) { f.log.Info().Str("component", "scheduler").Msg(text) }
