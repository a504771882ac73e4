// Package gatewayconfig reads the settings file of a gateway: one directive a line, with blocks that a word opens and
// "end" closes. All errors of a file are reported at once, each with file, line and column, what was found and what is
// allowed. Every directive is declared once, in a table; docs/settings.md is generated from the tables.
//
// The only I/O is the reading of the file and of those that it includes. Settings are not changed once they are read,
// and may then be used from any goroutine.
package gatewayconfig

import (
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// Settings are the settings of one gateway process. Those that the scheduler takes have its names; scheduler.Settings
// describes them. Default values are those of the directives.
type Settings struct {
	// The process and its place in the installation.

	Name               string // unique in the installation
	ListenAddress      string // host:port that clients connect to
	EventLoops         int    // front ends in this process, each with an event loop of its own
	FrontEndCount      int    // front ends in the whole installation
	FirstFrontEndIndex int    // index of this process's first front end among them
	Zone               string
	Zones              []string // further zones; no directive sets them
	Discovery          DiscoverySource

	// What is served.

	Classes             []Class
	Tenants             []Tenant
	ShareBasis          tenancy.ShareBasis // what tenants' shares are measured in
	Functions           []Function
	ListedFunctionsOnly bool // requests for functions that are not listed are rejected
	Shadows             []Shadow

	// What workers and their platform can do.

	AnswersNotLoaded    bool // a worker without the function answers so in place of loading it
	LoadOrdersAllowed   bool // load and unload orders may be sent
	ReportsColdStart    bool // responses report whether the replica was loaded
	ReportsQueueDepth   bool // responses report the function's queue depth at the worker
	HealthChecksAllowed bool // health checks may be sent
	ScaleIsCapacity     bool // a worker's scale is its capacity
	CancelAllowed       bool // requests may be cancelled
	RetryAfterAllowed   bool // a rejection says when to retry

	// What the scheduler goes by.

	ReplicaIdleTimeout time.Duration // an idle replica stays loaded for at least this long
	LoadOrderTimeout   time.Duration
	LoadRateWindow     time.Duration // window of the load rate limit; 0: no limit
	LoadRateBurst      float64       // load orders allowed in each window
	LoadRatePerRequest float64       // further ones for each request admitted in the window
	MaxAttempts        int
	MaxRetryAfter      time.Duration
	ConnectTimeout     time.Duration
	DrainGrace         time.Duration // requests may still be sent to a draining worker for this long
	SlowStartFraction  float64       // share of its capacity that a worker starts with
	SlowStartDuration  time.Duration
	OverloadFactor     float64
	OverloadWindow     time.Duration

	// Bounds and timeouts of the front end.

	DeadlineMargin  time.Duration // the final response is sent this long before the request's deadline
	MaxInFlight     int           // requests in flight at one front end
	RequestQueue    int           // requests that wait for one event loop
	ResponseWindow  int           // bytes of one response that may be buffered
	MaxBody         int           // bytes
	MaxHeader       int           // bytes
	MaxConnections  int           // connections of clients
	MaxPipelined    int           // requests in flight on one connection
	IdleTimeout     time.Duration
	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	WriteTimeout    time.Duration
	StallTimeout    time.Duration // a worker's response that makes no progress for this long is given up
	AllowHalfClosed bool          // a client that closed its side for writing still waits for responses
	ShutdownTimeout time.Duration // a graceful shutdown waits this long for requests in flight
}

// DiscoveryKind is the kind of source that the endpoint list comes from.
type DiscoveryKind string

// The kinds of source, as the directive writes them.
const (
	DiscoveryConsul DiscoveryKind = "consul"
	DiscoveryFile   DiscoveryKind = "file"
)

// DiscoverySource is where the endpoint list comes from: a service at Consul, or a file.
type DiscoverySource struct {
	Kind     DiscoveryKind
	Location string // Consul's URL, or the file's path
	Service  string // the service's name at Consul
}

// Class is a class of requests.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // latency objective
	Timeout            time.Duration // timeout of a request that sets none that is shorter
	PriorityWeight     float64       // priority weight of a response within the objective
	LateWeight         float64       // share of the weight that a later response keeps, 0 to 1
	Idempotency        scheduler.Idempotency
	KeyScope           scheduler.KeyScope
	KeyRetention       time.Duration // idempotency keys are remembered for this long
	ReplicaMemoryMB    int           // megabytes of a replica
	ReplicaConcurrency int           // concurrency of a replica
	LoadTimeEstimate   time.Duration // usual load time; 0: not known
}

// SchedulerClass returns the class as the scheduler has it.
func (c Class) SchedulerClass() scheduler.Class {
	return scheduler.Class{
		LatencyObjective: c.LatencyObjective,
		Timeout:          c.Timeout,
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
		Idempotency:      c.Idempotency,
		KeyScope:         c.KeyScope,
		KeyRetention:     c.KeyRetention,
	}
}

// Tenant is a tenant of the installation.
type Tenant struct {
	Name  string
	Share float64 // of the service, 0 to 1
	Quota float64 // requests a second over all front ends; 0: no limit
}

// Function is a listed function. Values that are zero are those of its class.
type Function struct {
	Name               string
	Class              string // empty: the first class
	ReplicaMemoryMB    int    // megabytes of a replica
	ReplicaConcurrency int    // concurrency of a replica
	LoadTimeEstimate   time.Duration
}

// ClassIndex returns the index of the class of that name, or -1 if there is none.
func (s *Settings) ClassIndex(name string) int {
	for i, class := range s.Classes {
		if class.Name == name {
			return i
		}
	}
	return -1
}

// EffectiveMaxRetryAfter returns the longest Retry-After that a rejection gives, 0 if it gives none.
func (s *Settings) EffectiveMaxRetryAfter() time.Duration {
	if !s.RetryAfterAllowed {
		return 0
	}
	return s.MaxRetryAfter
}
