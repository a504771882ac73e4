// Package scheduler decides where a front end sends its requests, which requests wait, where functions are loaded, and
// which requests are rejected.
//
// Per function, a front end keeps as many requests in flight at every worker that it believes to have the function loaded
// as one replica executes at a time, and queues the rest. It loads the function on a cold worker only when draining the
// queue would take the warm ones longer than a load plus one run. docs/design.md says what was kept of the design's
// source, what was changed, and when each exception acts.
//
// The package knows no protocol and does no I/O. An owner (internal/gateway, internal/simhost, internal/shadow) reports
// events to a Scheduler with their times and carries out its Actions. All times are durations since a start that the owner
// chooses, the same for all events. No call returns an error: what is unknown or stale is ignored.
//
// The files that deploy/balancer.toml names under policy hold all decisions and tuned values, one concern a file; the
// others hold types, records and estimates.
package scheduler

import "time"

// Identifiers are opaque: they can be compared, sorted and hashed, no more.
type (
	// WorkerID names a worker; it survives a restart of the worker's process.
	WorkerID uint64
	// FunctionID names the function that a request needs loaded.
	FunctionID uint64
	// RequestID names one request as received once; a client's retry is another request. It is never used again.
	RequestID uint32
)

// Idempotency says what another attempt of a request may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may execute any number of times
	IdempotentByKey                    // workers that share a KeyScope drop repeats within KeyRetention
	NonIdempotent                      // must not execute twice
)

// KeyScope is the group of workers that drops the repeats of a request that is IdempotentByKey.
type KeyScope int

// The scopes of an idempotency key.
const (
	ScopeAll  KeyScope = iota // all workers
	ScopeZone                 // the workers of the zone where it was first sent
	ScopeCell                 // the workers of the cell where it was first sent
)

// Class describes one class of request.
type Class struct {
	LatencyObjective time.Duration // within which a response is in time, from when the request was received
	Timeout          time.Duration // after which the client gives up
	PriorityWeight   float64       // value of a response in time
	LateWeight       float64       // part of PriorityWeight that a later response still has
	Idempotency      Idempotency
	KeyScope         KeyScope      // for IdempotentByKey
	KeyRetention     time.Duration // for IdempotentByKey: how long repeats are dropped
}

// Tenant describes one customer.
type Tenant struct {
	Share float64 // of the requests of a front end, 0 to 1
	Quota float64 // requests a second over all front ends
}

// Settings are what a front end is configured with at its start. A Scheduler keeps its copy and changes nothing in it.
type Settings struct {
	Seed          uint64 // of all that is drawn at random
	FrontEndIndex int    // of this front end, from 0
	FrontEndCount int
	Zone          int // of this front end
	Classes       []Class
	Tenants       []Tenant

	AnswersNotLoaded   bool          // a worker without the function answers NotLoaded instead of loading it
	LoadOrdersAllowed  bool          // Actions.Load and Actions.Unload may be used
	ReportsColdStart   bool          // responses say whether the replica was loaded
	ReportsQueueDepth  bool          // responses say how many requests for the function the worker held
	ReplicaIdleTimeout time.Duration // for which an idle replica stays loaded at least
	LoadOrderTimeout   time.Duration // after which a load order without an answer ends
	LoadRateWindow     time.Duration // of the load rate limit; 0: there is none
	LoadRateBurst      float64       // load orders within the window, and
	LoadRatePerRequest float64       // so many more for each request received within it

	HealthChecksAllowed bool          // Actions.CheckHealth may be used
	CancelAllowed       bool          // Actions.Cancel may be used
	HedgingAllowed      bool          // a request may have two attempts in flight; the Scheduler never has
	MaxAttempts         int           // of a request
	MaxRetryAfter       time.Duration // the longest advice that clients follow
	ConnectTimeout      time.Duration
	WatchOnStart        bool // the endpoint list comes only after Actions.WatchEndpoints

	DrainGrace        time.Duration // after the notice of draining, for which new requests are still accepted
	SlowStartFraction float64       // of its warm capacity, that a worker has when its process starts
	SlowStartDuration time.Duration // until it has all, linearly
	OverloadFactor    float64       // sent more than so many times its capacity
	OverloadWindow    time.Duration // for so long, a worker that is not warmed up fails
	Resolution        time.Duration // shortest time between two events
	LoadReportFields  []string      // names of the values of a load report
	ScaleIsCapacity   bool          // WorkerInfo.Scale is the worker's relative capacity, and constant
}

// WorkerState is what the endpoint list says of a worker's process.
type WorkerState int

// The states of a worker.
const (
	Ready    WorkerState = iota + 1 // may be sent requests and load orders
	Draining                        // ends what it has, may be sent nothing new
	Removed                         // is not there
)

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID      WorkerID
	Zone    int
	Cell    int
	Kind    int
	Scale   float64       // see Settings.ScaleIsCapacity
	Started time.Duration // when its process last started; UnknownStart if that was never told
	State   WorkerState
}

// UnknownStart stands for the start of a process that is taken to be warm.
const UnknownStart = time.Duration(-1 << 62)

// Request is a request that this front end received.
type Request struct {
	ID                 RequestID
	Class              int // index into Settings.Classes
	Tenant             int // index into Settings.Tenants; others have no quota
	Function           FunctionID
	Timeout            time.Duration // until the client gives up, from now
	WorkEstimate       time.Duration // rough run time, 0 if not told
	ReplicaMemoryMB    float64       // of one replica
	ReplicaConcurrency int           // requests that one replica executes at a time
	LoadTimeEstimate   time.Duration // usual time of a load, 0 if not told
}

// Status is how an attempt, a health check or a load order ended.
type Status int

// The outcomes.
const (
	OK            Status = iota + 1
	Error                // error response; it may have executed
	Overloaded           // rejected as overloaded; it did not execute
	Timeout              // no response in time; it may have executed or still execute
	ConnectFailed        // no connection; it did not execute
	Reset                // connection lost; it may have executed
	Cancelled            // cancelled by Actions.Cancel or for a disconnected client; it may have executed
	NotSent              // not sent; it did not execute
	NotLoaded            // the function is not loaded there; it did not execute
)

// ColdStart is what a response says of the replica that it came from.
type ColdStart int

// The kinds of start.
const (
	ColdStartUnknown   ColdStart = iota // not told
	WarmStart                           // the replica was loaded
	ColdStartTriggered                  // the request triggered the load
	ColdStartAwaited                    // the request waited for a load that another one triggered
	ColdStartFailed                     // the load failed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Request       RequestID
	Attempt       int // from 0
	Worker        WorkerID
	Status        Status
	Latency       time.Duration // from when it was sent
	RequestClosed bool          // no answer is owed to the client any more
	ReachedWorker bool          // with NotSent: the worker itself said that the request had ended
	ColdStart     ColdStart
	QueueDepth    int       // requests for the function that the worker held on arrival, -1 if not told
	LoadReport    []float64 // in the order of Settings.LoadReportFields, nil if there is none
}

// HealthCheckResult is the answer to Actions.CheckHealth.
type HealthCheckResult struct {
	Worker     WorkerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64 // in the order of Settings.LoadReportFields, nil if there is none
}

// LoadResult is the answer to Actions.Load.
type LoadResult struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Latency  time.Duration
	Replicas int // that are loaded now
}

// Actions is what a Scheduler asks of its owner while it handles an event. Each call takes effect at the time of that
// event, in the order of the calls; none may call the Scheduler back.
type Actions interface {
	// Send starts an attempt of a request at a worker. It ends with the client's timeout, or at until where that is
	// not 0, and is answered by one AttemptEnded.
	Send(request RequestID, worker WorkerID, until time.Duration)
	// Reject answers the client that nothing was executed, or that a repeat does no harm, and when to retry.
	Reject(request RequestID, retryAfter time.Duration, cause FinishCause)
	// Fail answers the client that the request failed and may have executed.
	Fail(request RequestID, cause FinishCause)
	// Cancel withdraws an attempt in flight, counted from 0; it is still answered by AttemptEnded.
	Cancel(request RequestID, attempt int)
	// Load orders a worker to load replicas of a function, or with 0 only asks how many are loaded. It is answered by
	// LoadEnded.
	Load(worker WorkerID, function FunctionID, replicas int)
	// Unload orders a worker to unload a function.
	Unload(worker WorkerID, function FunctionID)
	// CheckHealth sends a health check, answered by HealthChecked.
	CheckHealth(worker WorkerID)
	// SetTimer calls TimerFired with the token after a time.
	SetTimer(after time.Duration, token uint64)
	// WatchEndpoints asks for the endpoint list and its changes, which come by WorkersChanged, or WatchFailed.
	WatchEndpoints()
	// Log writes a line to the owner's log.
	Log(text string)
}
