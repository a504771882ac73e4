// Package gatewayconfig parses the settings file of a gateway. Each line has one directive; a keyword such as "class"
// opens a block and "end" closes it. All errors in a file are reported together, each with file, line and column, the
// invalid text and the allowed values. Each directive is declared once, in a table; docs/settings.md is generated from
// the tables.
//
// The package does no I/O except reading the settings file and the files that it includes. Settings do not change after
// they were read, and are then safe for concurrent use.
package gatewayconfig

import (
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// Settings are the settings of one gateway process. Fields for the scheduler have the same names as in
// scheduler.Settings, which describes them. The defaults are those of the directives.
type Settings struct {
	// The process and its position in the installation.

	Name               string // process name, unique within the installation
	ListenAddress      string // host:port that clients connect to
	EventLoops         int    // number of front ends in this process, each with its own event loop
	FrontEndCount      int    // number of front ends in the whole installation
	FirstFrontEndIndex int    // index of this process's first front end among those of the installation, starting at 0
	Zone               string
	Zones              []string // additional zones; not set by any directive
	Discovery          DiscoverySource

	// Classes, tenants and functions that are served.

	Classes             []Class
	Tenants             []Tenant
	ShareBasis          tenancy.ShareBasis // measure of tenants' shares
	Functions           []Function
	ListedFunctionsOnly bool // requests for functions that are not in Functions are rejected
	Shadows             []Shadow

	// Capabilities of workers and their platform.

	ReportsNotLoaded    bool // a worker reports that a function is not loaded instead of loading it
	LoadOrdersAllowed   bool // load and unload orders may be sent
	ReportsColdStart    bool // responses report whether the replica was loaded
	ReportsQueueDepth   bool // responses report the function's queue depth at the worker
	HealthChecksAllowed bool // health checks may be sent
	ScaleIsCapacity     bool // a worker's scale is its capacity
	CancelAllowed       bool // requests may be cancelled
	RetryAfterAllowed   bool // rejections advise clients when to retry

	// Parameters of the scheduler.

	ReplicaIdleTimeout time.Duration // minimum time for which an idle replica stays loaded
	LoadOrderTimeout   time.Duration
	LoadRateWindow     time.Duration // window of the load rate limit; 0 for no limit
	LoadRateBurst      float64       // load orders allowed in each window
	LoadRatePerRequest float64       // additional load orders allowed for each request admitted in the window
	MaxAttempts        int
	MaxRetryAfter      time.Duration
	ConnectTimeout     time.Duration
	DrainGrace         time.Duration // time for which new requests may still be sent to a draining worker
	SlowStartFraction  float64       // fraction of its full capacity that a worker has when it starts
	SlowStartDuration  time.Duration
	OverloadFactor     float64
	OverloadWindow     time.Duration

	// Limits and timeouts of the front end.

	DeadlineMargin  time.Duration // how long before the request's deadline the final response is sent
	MaxInFlight     int           // requests in flight at one front end
	MaxFunctions    int           // functions without a request that one front end remembers
	RequestQueue    int           // requests that wait for the event loop of one front end
	ResponseWindow  int           // bytes of one response from a worker that may be buffered
	MaxBody         int           // largest request body in bytes
	MaxHeader       int           // largest request header in bytes
	MaxConnections  int           // client connections
	MaxPipelined    int           // requests in flight on one client connection
	IdleTimeout     time.Duration
	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	WriteTimeout    time.Duration
	StallTimeout    time.Duration // a worker's response that makes no progress for this long is aborted
	AllowHalfClosed bool          // a client that closed its side for writing still gets its responses
	ShutdownTimeout time.Duration // maximum time for which a graceful shutdown waits for requests in flight
}

// DiscoveryKind is the kind of source of the endpoint list.
type DiscoveryKind string

// The kinds of source, with the values used in the directory directive.
const (
	DiscoveryConsul DiscoveryKind = "consul"
	DiscoveryFile   DiscoveryKind = "file"
)

// DiscoverySource is the source of the endpoint list: a service registered in Consul, or a file.
type DiscoverySource struct {
	Kind     DiscoveryKind
	Location string // URL of Consul, or path of the file
	Service  string // name of the service in Consul; empty for a file
}

// Class is a class of requests.
type Class struct {
	Name               string
	LatencyObjective   time.Duration
	Timeout            time.Duration // timeout of a request that does not set a shorter one
	PriorityWeight     float64       // priority weight of a response within LatencyObjective
	LateWeight         float64       // fraction of PriorityWeight that a later response has, 0 to 1
	Idempotency        scheduler.Idempotency
	KeyScope           scheduler.KeyScope
	KeyRetention       time.Duration // how long workers remember an idempotency key
	ReplicaMemoryMB    int           // memory of a replica in megabytes
	ReplicaConcurrency int           // requests that one replica executes at a time
	LoadTimeEstimate   time.Duration // usual load time; 0 if not known
}

// SchedulerClass returns the class as scheduler.Class.
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
	Share float64 // fraction of the service that the tenant is entitled to, 0 to 1
	Quota float64 // requests per second over all front ends; 0 for no limit
}

// Function is a function that has a block in the settings file. Zero values stand for the values of its class.
type Function struct {
	Name               string
	Class              string // class name; empty for the first class
	ReplicaMemoryMB    int    // memory of a replica in megabytes
	ReplicaConcurrency int    // requests that one replica executes at a time
	LoadTimeEstimate   time.Duration
}

// ClassIndex returns the index in Classes of the class with the given name, or -1 if there is none.
func (s *Settings) ClassIndex(name string) int {
	for i, class := range s.Classes {
		if class.Name == name {
			return i
		}
	}
	return -1
}

// EffectiveMaxRetryAfter returns the longest Retry-After of a rejection, or 0 if rejections have none.
func (s *Settings) EffectiveMaxRetryAfter() time.Duration {
	if !s.RetryAfterAllowed {
		return 0
	}
	return s.MaxRetryAfter
}
