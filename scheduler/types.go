// Package scheduler decides where a front end sends its calls, what it holds,
// what it loads and what it gives up on. It knows no wire: a front end feeds a
// Controller its events and carries out what the Controller asks of Actions.
package scheduler

import "time"

// Identifiers are opaque: they can be compared, sorted and hashed, no more.
type (
	// WorkerID names a worker; it survives a restart of the worker's process.
	WorkerID uint64
	// FunctionID names the function that a call needs loaded.
	FunctionID uint64
	// RequestID names one request of one client try; it is never used again.
	RequestID uint32
)

// Repeat says what another attempt of a request may do.
type Idempotency int

// The kinds of class.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of workers drops repeats for a while
	NonIdempotent                      // must never run twice
)

// Scope is the group of workers that drops the repeats of a keyed request.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of request.
type Class struct {
	LatencyObjective, Timeout  time.Duration // wanted within, given up after
	PriorityWeight, LateWeight float64       // of an answer in time; share of it left when late
	Idempotency                Idempotency
	KeyScope                   KeyScope      // for Keyed
	KeyRetention               time.Duration // for Keyed: how long the group remembers
}

// Tenant describes one customer.
type Tenant struct {
	Share float64 // of the service
	Quota float64 // requests a second over all front ends
}

// Settings are what a front end is told at its start.
type Settings struct {
	Seed          uint64
	FrontEndIndex int // this front end's number
	FrontEndCount int // how many there are
	Zone          int // where this front end stands
	Classes       []Class
	Tenants       []Tenant

	AnswersNotLoaded   bool          // a worker without the function answers Miss instead of loading it
	LoadOrdersAllowed  bool          // Load and Unload may be used
	ReportsColdStart   bool          // answers say whether a copy stood loaded
	ReportsQueueDepth  bool          // answers say how many calls of the function the worker held
	ReplicaIdleTimeout time.Duration // an idle copy stays at least this long
	LoadOrderTimeout   time.Duration // a Load order without an answer ends after this
	LoadRateWindow     time.Duration // ration of orders: within this window (0: no ration) at most
	LoadRateBurst      float64       // this many, and
	LoadRatePerRequest float64       // this share of the requests taken in the window

	HealthChecksAllowed, CancelAllowed, HedgingAllowed bool
	MaxAttempts                                        int
	MaxRetryAfter, ConnectTimeout                      time.Duration
	WatchOnStart                                       bool // the list of workers comes only when followed

	DrainGrace        time.Duration // nothing new to a worker later than this after a notice
	SlowStartFraction float64       // a started worker has at least this share of its capacity
	SlowStartDuration time.Duration // and is warm within this
	OverloadFactor    float64       // sent more than this many times its capacity
	OverloadWindow    time.Duration // for this long, it falls over
	Resolution        time.Duration // shortest gap between events
	LoadReportFields  []string      // names of the values of a load report
	ScaleIsCapacity   bool          // the Scale of a worker tells its size, and stays
}

// WorkerState is what the list of workers says of a worker's process.
type WorkerState int

// The states of a worker.
const (
	Ready WorkerState = iota + 1
	Draining
	Removed
)

// WorkerInfo is one entry of the list of workers.
type WorkerInfo struct {
	ID         WorkerID
	Zone, Cell int
	Kind       int
	Scale      float64
	Started    time.Duration // when its process last started; LongAgo if never told
	State      WorkerState
}

// LongAgo stands for a start before anyone remembers.
const UnknownStart = time.Duration(-1 << 62)

// Request is one client try that this front end took on.
type Request struct {
	ID                 RequestID
	Class              int
	Tenant             int
	Function           FunctionID
	Timeout            time.Duration // until the client gives up, from now
	WorkEstimate       time.Duration // rough work, 0 if not told
	ReplicaMemoryMB    float64       // of one loaded copy
	ReplicaConcurrency int           // calls that one copy runs at a time
	LoadTimeEstimate   time.Duration // usual time of a load, 0 if not told
}

// Status is how an attempt, a probe or an order ended.
type Status int

// The outcomes.
const (
	OK            Status = iota + 1
	Error                // answered with an error; it may have run
	Overloaded           // turned away unseen
	Timeout              // nothing heard in time; it may have run or still run
	ConnectFailed        // no connection; it never ran
	Reset                // connection lost; it may have run
	Cancelled            // withdrawn; it may have run
	NotSent              // never sent
	NotLoaded            // the function is not loaded there; it never ran
)

// Warmth is what an answer says of the copy that served it.
type ColdStart int

// The notes on an answer.
const (
	ColdStartUnknown ColdStart = iota
	WarmStart
	ColdStartTriggered
	ColdStartAwaited
	ColdStartFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Request       RequestID
	Attempt       int
	Worker        WorkerID
	Status        Status
	Latency       time.Duration
	RequestClosed bool // the request is over; no answer is owed
	ColdStart     ColdStart
	QueueDepth    int       // calls of the function held there on arrival, -1 if not told
	LoadReport    []float64 // load report, nil if none
}

// Probed is the answer to a probe.
type HealthCheckResult struct {
	Worker     WorkerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// Loaded is the answer to a Load order.
type LoadResult struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Latency  time.Duration
	Replicas int // that stand loaded now
}

// Actions is what a Controller asks of its front end. Each takes effect at the
// time of the event being handled, in the order of the calls.
type Actions interface {
	Send(r RequestID, w WorkerID, until time.Duration) // until 0: as long as the client waits
	Reject(r RequestID, retryAfter time.Duration)
	Fail(r RequestID)
	Cancel(r RequestID, attempt int)
	Load(w WorkerID, f FunctionID, copies int) // copies 0 only asks
	Unload(w WorkerID, f FunctionID)
	CheckHealth(w WorkerID)
	SetTimer(after time.Duration, token uint64)
	WatchEndpoints() // asks for the list of workers and its changes
	Log(text string)
}
