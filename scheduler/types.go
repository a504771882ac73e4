// Package scheduler decides where a front end sends its requests, which requests wait, where functions are loaded,
// and which requests are rejected.
//
// For each function, a front end keeps as many requests in flight at each worker that it assumes to have the function
// loaded as one replica executes at a time, and queues the rest. It loads the function on a cold worker only if the
// warm workers would take longer to drain the queue than a load plus one run. docs/design.md describes what was
// adopted from the design's source, what was changed, and when each exception applies.
//
// The package implements no protocol and performs no I/O. An owner (internal/gateway, internal/simhost,
// internal/shadow) reports timestamped events to a Scheduler and carries out its Actions. All times are durations
// since an origin that the owner chooses, the same for all events. No call returns an error: unknown or stale
// identifiers are ignored.
//
// The files listed under policy in deploy/balancer.toml contain all decisions and tuned values, one concern per file.
// The other files contain types, records and estimates.
package scheduler

import "time"

// Identifiers are opaque: they can only be compared, sorted and hashed.
type (
	// WorkerID identifies a worker. It survives a restart of the worker's process.
	WorkerID uint64
	// FunctionID identifies the function that a request needs loaded.
	FunctionID uint64
	// RequestID identifies one received request and is never reused. A client's retry is another request.
	RequestID uint32
)

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may execute any number of times
	IdempotentByKey                    // workers in the same KeyScope drop repeats within KeyRetention
	NonIdempotent                      // must not execute twice
)

// KeyScope is the group of workers that drop repeats of a request that is IdempotentByKey.
type KeyScope int

// The scopes of an idempotency key.
const (
	ScopeAll  KeyScope = iota // all workers
	ScopeZone                 // the workers in the zone of the first attempt
	ScopeCell                 // the workers in the cell of the first attempt
)

// Class describes one class of request.
type Class struct {
	LatencyObjective time.Duration // time from receipt within which a response is in time
	Timeout          time.Duration // time from receipt after which the client gives up
	PriorityWeight   float64       // value of a response in time
	LateWeight       float64       // fraction of PriorityWeight that a late response is worth
	Idempotency      Idempotency
	KeyScope         KeyScope      // applies to IdempotentByKey
	KeyRetention     time.Duration // applies to IdempotentByKey: how long repeats are dropped
}

// Tenant is the share and the quota of one tenant.
type Tenant struct {
	Share float64 // fraction of a front end's requests, from 0 to 1
	Quota float64 // requests per second over all front ends
}

// Settings is the configuration of a front end at its start. A Scheduler keeps a copy and does not modify it.
type Settings struct {
	Seed          uint64 // seed of all random draws
	FrontEndIndex int    // index of this front end, from 0
	FrontEndCount int
	Zone          int // zone of this front end
	Classes       []Class
	Tenants       []Tenant
	MaxFunctions  int // functions remembered, apart from those with requests or loads; 0 for defaultMaxFunctions

	ReportsNotLoaded   bool          // a worker without the function reports NotLoaded instead of loading it
	LoadOrdersAllowed  bool          // Actions.Load and Actions.Unload may be used
	ReportsColdStart   bool          // responses say whether the replica was loaded
	ReportsQueueDepth  bool          // responses say how many requests for the function the worker held
	ReplicaIdleTimeout time.Duration // minimum time that an idle replica stays loaded
	LoadOrderTimeout   time.Duration // time after which an unanswered load order ends
	LoadRateWindow     time.Duration // window of the load rate limit; 0 disables the limit
	LoadRateBurst      float64       // load orders allowed per window, regardless of the requests received
	LoadRatePerRequest float64       // further load orders allowed per request received in the window

	HealthChecksAllowed bool          // Actions.CheckHealth may be used
	CancelAllowed       bool          // Actions.Cancel may be used
	HedgingAllowed      bool          // a request may have two attempts in flight; the Scheduler does not use this
	MaxAttempts         int           // maximum number of attempts of a request
	MaxRetryAfter       time.Duration // longest retry delay that clients observe
	ConnectTimeout      time.Duration
	WatchOnStart        bool // the endpoint list is delivered only after Actions.WatchEndpoints

	DrainGrace        time.Duration // how long after the notice of draining a worker still accepts new requests
	SlowStartFraction float64       // fraction of its warm capacity that a worker has when its process starts
	SlowStartDuration time.Duration // time until capacity has grown linearly to its warm value
	OverloadFactor    float64       // a worker in slow start fails when sent more than this multiple of its capacity
	OverloadWindow    time.Duration // period over which the requests for OverloadFactor are counted
	Resolution        time.Duration // shortest time between two events
	LoadReportFields  []string      // names of the values of a load report
	ScaleIsCapacity   bool          // WorkerInfo.Scale is the worker's constant relative capacity
}

// WorkerState is the state of a worker's process in the endpoint list.
type WorkerState int

// The states of a worker.
const (
	Ready    WorkerState = iota + 1 // accepts requests and load orders
	Draining                        // finishes its requests and must not be sent new ones
	Removed                         // is not in the endpoint list
)

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID      WorkerID
	Zone    int
	Cell    int
	Kind    int
	Scale   float64       // see Settings.ScaleIsCapacity
	Started time.Duration // start time of the current process; UnknownStart if not known
	State   WorkerState
}

// UnknownStart is the start time of a process that is assumed to be warm.
const UnknownStart = time.Duration(-1 << 62)

// Request is a request that this front end received.
type Request struct {
	ID                 RequestID
	Class              int // index into Settings.Classes
	Tenant             int // index into Settings.Tenants; a tenant outside the range has no quota
	Function           FunctionID
	Timeout            time.Duration // time from now until the client gives up
	WorkEstimate       time.Duration // approximate run time; 0 if unknown
	ReplicaMemoryMB    float64       // memory of one replica
	ReplicaConcurrency int           // requests that one replica executes at a time
	LoadTimeEstimate   time.Duration // usual load time; 0 if unknown
}

// Status is how an attempt, a health check or a load order ended.
type Status int

// The statuses.
const (
	OK            Status = iota + 1
	Error                // error response; it may have executed
	Overloaded           // rejected as overloaded; it did not execute
	Timeout              // no response in time; it may have executed or may still execute
	ConnectFailed        // no connection; it did not execute
	Reset                // connection lost; it may have executed
	Cancelled            // cancelled by Actions.Cancel or for a disconnected client; it may have executed
	NotSent              // not sent; it did not execute
	NotLoaded            // the function was not loaded at the worker; it did not execute
)

// ColdStart describes the state of the replica that answered an attempt.
type ColdStart int

// The kinds of start.
const (
	ColdStartUnknown   ColdStart = iota // not reported
	WarmStart                           // the replica was loaded
	ColdStartTriggered                  // the request triggered the load
	ColdStartAwaited                    // the request waited for a load that another request triggered
	ColdStartFailed                     // the load failed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Request       RequestID
	Attempt       int // number of the attempt, from 0
	Worker        WorkerID
	Status        Status
	Latency       time.Duration // time since the attempt was sent
	RequestClosed bool          // the client is owed no response any longer
	ReachedWorker bool          // with NotSent: the worker itself reported that the request had ended
	ColdStart     ColdStart
	QueueDepth    int       // requests for the function at the worker on arrival; -1 if not reported
	LoadReport    []float64 // in the order of Settings.LoadReportFields; nil if there is none
}

// HealthCheckResult is the answer to Actions.CheckHealth.
type HealthCheckResult struct {
	Worker     WorkerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64 // in the order of Settings.LoadReportFields; nil if there is none
}

// LoadResult is the answer to Actions.Load.
type LoadResult struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Latency  time.Duration
	Replicas int // replicas that are now loaded
}

// Actions are the operations that a Scheduler requests from its owner while it handles an event. Each takes effect at
// the time of that event, in the order of the calls. An implementation must not call the Scheduler.
type Actions interface {
	// Send starts an attempt of a request at a worker. The attempt ends with the client's timeout, or at until if
	// that is not 0. AttemptEnded reports its end exactly once.
	Send(request RequestID, worker WorkerID, until time.Duration)
	// Reject tells the client that nothing was executed or that a repeat does no harm, and when to retry.
	Reject(request RequestID, retryAfter time.Duration, cause FinishCause)
	// Fail tells the client that the request failed and may have executed.
	Fail(request RequestID, cause FinishCause)
	// Cancel cancels an attempt in flight, numbered from 0. AttemptEnded still reports its end.
	Cancel(request RequestID, attempt int)
	// Load orders a worker to load replicas of a function; with 0 replicas it only queries how many are loaded.
	// LoadEnded reports the result.
	Load(worker WorkerID, function FunctionID, replicas int)
	// Unload orders a worker to unload a function.
	Unload(worker WorkerID, function FunctionID)
	// CheckHealth sends a health check. HealthChecked reports the result.
	CheckHealth(worker WorkerID)
	// SetTimer schedules a call of TimerFired with the token after the given time.
	SetTimer(after time.Duration, token uint64)
	// WatchEndpoints requests the endpoint list and its changes. WorkersChanged delivers them; WatchFailed reports a
	// failure.
	WatchEndpoints()
	// Log writes a line to the owner's log.
	Log(text string)
}
