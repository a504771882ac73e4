package gatewayconfig

import (
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/internal/directive"
	"havencart/scheduler"
)

const (
	ms   = time.Millisecond
	hour = time.Hour
)

// settingsDirectives are the directives outside blocks. The directive names and values are part of the settings file
// format and must not change; the fields that they set have the terms that the rest of the code uses.
var settingsDirectives = []directive.Directive[Settings]{
	directive.Text("name", "a word", "havencart", "name of this process, unique within the installation",
		func(s *Settings) *string { return &s.Name }),
	directive.Text("listen", "HOST:PORT", "127.0.0.1:8080", "address that clients connect to",
		func(s *Settings) *string { return &s.ListenAddress }),
	{
		Name: "directory", AllowedValues: "consul URL SERVICE, or file PATH", Help: "source of the endpoint list, which contains the workers",
		ValueCount: directive.AnyValueCount, Set: setDirectory,
	},
	directive.Number("loops", 1, 256, "1", "number of front ends in this process, each with its own event loop",
		func(s *Settings) *int { return &s.EventLoops }),
	directive.Number("front-ends", 1, 100000, "1", "number of front ends in the whole installation, including those of this process",
		func(s *Settings) *int { return &s.FrontEndCount }),
	directive.Number("first", 0, 100000, "0", "index of this process's first front end among those of the installation, starting at 0",
		func(s *Settings) *int { return &s.FirstFrontEndIndex }),
	directive.Text("zone", "a word", "", "zone of this process",
		func(s *Settings) *string { return &s.Zone }),
	directive.OnOff("functions-only", "off", "serve only functions that have a function block",
		func(s *Settings) *bool { return &s.ListedFunctionsOnly }),
	directive.Choice("on-miss", []string{"load", "miss"}, []bool{false, true}, "load",
		"what a worker does with a request for a function that is not loaded: load the function, or respond that it is not loaded (miss)",
		func(s *Settings) *bool { return &s.ReportsNotLoaded }),
	directive.OnOff("orders", "on", "workers accept orders to load and unload functions",
		func(s *Settings) *bool { return &s.LoadOrdersAllowed }),
	directive.OnOff("tells-warm", "on", "responses report whether the replica was loaded (warm start)",
		func(s *Settings) *bool { return &s.ReportsColdStart }),
	directive.OnOff("tells-crowd", "on", "responses report the queue depth of the function at the worker",
		func(s *Settings) *bool { return &s.ReportsQueueDepth }),
	directive.OnOff("probes", "on", "health checks may be sent to workers",
		func(s *Settings) *bool { return &s.HealthChecksAllowed }),
	directive.OnOff("retry-after", "on", "rejections advise clients when to retry",
		func(s *Settings) *bool { return &s.RetryAfterAllowed }),
	directive.Choice("weights", []string{"silent", "nominal", "rough", "live"}, []bool{false, true, true, false}, "silent",
		"meaning of a worker's scale in the endpoint list: none, its capacity, roughly its capacity, or its capacity minus its load (not used)",
		func(s *Settings) *bool { return &s.ScaleIsCapacity }),
	directive.OnOff("cancel", "on", "requests may be cancelled at workers",
		func(s *Settings) *bool { return &s.CancelAllowed }),
	directive.Duration("keep-alive", 100*ms, 24*hour, "10s", "minimum time for which an idle replica stays loaded",
		func(s *Settings) *time.Duration { return &s.ReplicaIdleTimeout }),
	directive.Duration("order-timeout", 10*ms, hour, "10s", "timeout of a load order",
		func(s *Settings) *time.Duration { return &s.LoadOrderTimeout }),
	directive.Duration("load-window", 0, hour, "0s", "window of the load rate limit; 0s: no limit",
		func(s *Settings) *time.Duration { return &s.LoadRateWindow }),
	directive.Real("load-free", 0, 1e6, "4", "load orders allowed in each window",
		func(s *Settings) *float64 { return &s.LoadRateBurst }),
	directive.Real("load-share", 0, 100, "0.1", "additional load orders allowed for each request admitted in the window",
		func(s *Settings) *float64 { return &s.LoadRatePerRequest }),
	directive.Number("max-attempts", 1, 100, "5", "maximum number of attempts of a request",
		func(s *Settings) *int { return &s.MaxAttempts }),
	directive.Duration("max-retry-after", 0, hour, "1s", "longest Retry-After of a rejection",
		func(s *Settings) *time.Duration { return &s.MaxRetryAfter }),
	directive.Duration("connect-timeout", ms, hour, "250ms", "timeout for connecting to a worker, including the handshake",
		func(s *Settings) *time.Duration { return &s.ConnectTimeout }),
	directive.Duration("drain-grace", ms, hour, "500ms", "time after a worker is listed as draining during which it may still be sent new requests",
		func(s *Settings) *time.Duration { return &s.DrainGrace }),
	directive.Real("cold-from", 0.001, 1, "0.2", "slow start: fraction of its full capacity that a worker has when it starts",
		func(s *Settings) *float64 { return &s.SlowStartFraction }),
	directive.Duration("cold-time", 0, hour, "15s", "slow start: time after its start at which a worker has its full capacity",
		func(s *Settings) *time.Duration { return &s.SlowStartDuration }),
	directive.Real("tip-multiple", 1, 1000, "3", "overload: a worker in slow start fails if it is sent more than this multiple of its capacity",
		func(s *Settings) *float64 { return &s.OverloadFactor }),
	directive.Duration("tip-window", 0, hour, "2s", "overload: time for which a worker must be sent more than tip-multiple allows before it fails; 0s: workers do not fail from overload",
		func(s *Settings) *time.Duration { return &s.OverloadWindow }),
	directive.Duration("answer-margin", ms, hour, "15ms", "how long before the request's deadline the final response is sent",
		func(s *Settings) *time.Duration { return &s.DeadlineMargin }),
	directive.Choice("shares", []string{"off", "work", "calls"}, []tenancy.ShareBasis{tenancy.NotEnforced, tenancy.ByWork, tenancy.ByRequestCount}, "off",
		"measure of tenants' shares: none (not enforced), work of their requests at workers, or number of requests",
		func(s *Settings) *tenancy.ShareBasis { return &s.ShareBasis }),
	directive.Number("max-calls", 1, 1e6, "20000", "maximum number of requests in flight at one front end; further requests are rejected at once",
		func(s *Settings) *int { return &s.MaxInFlight }),
	directive.Number("max-functions", 1, 1e6, "16384", "number of functions without a request that one front end remembers; beyond it, those unused for the longest time are forgotten",
		func(s *Settings) *int { return &s.MaxFunctions }),
	directive.Number("queue", 1, 1e6, "4096", "maximum number of requests that wait for the event loop of one front end; further requests are rejected at once",
		func(s *Settings) *int { return &s.RequestQueue }),
	directive.Size("window", 1<<10, 64<<20, "256k", "flow control window: bytes of one response from a worker that may be buffered",
		func(s *Settings) *int { return &s.ResponseWindow }),
	directive.Size("max-body", 1, 8<<20, "1m", "largest body of a request",
		func(s *Settings) *int { return &s.MaxBody }),
	directive.Size("max-header", 256, 1<<20, "16k", "largest header of a request",
		func(s *Settings) *int { return &s.MaxHeader }),
	directive.Number("max-connections", 1, 1e6, "20000", "maximum number of client connections; further connections get a 503 response and are closed",
		func(s *Settings) *int { return &s.MaxConnections }),
	directive.Number("pipeline", 1, 1000, "16", "maximum number of requests in flight on one client connection; further requests are not read until a response is sent",
		func(s *Settings) *int { return &s.MaxPipelined }),
	directive.Duration("idle-time", ms, 24*hour, "60s", "time after which a client connection without a request is closed",
		func(s *Settings) *time.Duration { return &s.IdleTimeout }),
	directive.Duration("header-time", ms, hour, "5s", "timeout from a request's first byte to the end of its header",
		func(s *Settings) *time.Duration { return &s.HeaderTimeout }),
	directive.Duration("body-time", ms, hour, "10s", "timeout for reading a request's body",
		func(s *Settings) *time.Duration { return &s.BodyTimeout }),
	directive.Duration("write-time", ms, hour, "10s", "timeout for writing each part of a response",
		func(s *Settings) *time.Duration { return &s.WriteTimeout }),
	directive.Duration("stall-time", ms, hour, "10s", "a worker's response that makes no progress for this long is aborted",
		func(s *Settings) *time.Duration { return &s.StallTimeout }),
	directive.Choice("half-closed", []string{"left", "waits"}, []bool{false, true}, "left",
		"a client that closed its side for writing is treated as disconnected (left), or still gets its responses (waits)",
		func(s *Settings) *bool { return &s.AllowHalfClosed }),
	directive.Duration("stop-wait", 0, hour, "5s", "maximum time for which a graceful shutdown waits for requests in flight",
		func(s *Settings) *time.Duration { return &s.ShutdownTimeout }),
}

// setDirectory sets the source of the endpoint list from the values of the directory directive.
func setDirectory(s *Settings, values []string) error {
	if len(values) == 0 {
		return directive.ErrValue
	}
	kind := DiscoveryKind(values[0])
	switch {
	case kind == DiscoveryConsul && len(values) == 3:
		s.Discovery = DiscoverySource{Kind: kind, Location: values[1], Service: values[2]}
	case kind == DiscoveryFile && len(values) == 2:
		s.Discovery = DiscoverySource{Kind: kind, Location: values[1]}
	default:
		return directive.ErrValue
	}
	return nil
}

// classDirectives are the directives of a class's block.
var classDirectives = []directive.Directive[Class]{
	directive.Duration("aim", ms, hour, "500ms", "latency objective",
		func(c *Class) *time.Duration { return &c.LatencyObjective }),
	directive.Duration("give-up", ms, hour, "2s", "timeout of a request that does not set a shorter one",
		func(c *Class) *time.Duration { return &c.Timeout }),
	directive.Real("worth", 0, 1e6, "1", "priority weight of a response within the latency objective",
		func(c *Class) *float64 { return &c.PriorityWeight }),
	directive.Real("late", 0, 1, "0.3", "fraction of the priority weight that a response after the latency objective has",
		func(c *Class) *float64 { return &c.LateWeight }),
	directive.Choice("repeat", []string{"safe", "keyed", "unsafe"},
		[]scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NonIdempotent}, "unsafe",
		"idempotency: requests may be executed any number of times, are deduplicated by idempotency key, or must not be executed twice",
		func(c *Class) *scheduler.Idempotency { return &c.Idempotency }),
	directive.Choice("scope", []string{"all", "zone", "cell"},
		[]scheduler.KeyScope{scheduler.ScopeAll, scheduler.ScopeZone, scheduler.ScopeCell}, "cell",
		"group of workers within which requests are deduplicated by idempotency key",
		func(c *Class) *scheduler.KeyScope { return &c.KeyScope }),
	directive.Duration("memory", 0, 24*hour, "5s", "how long workers remember an idempotency key",
		func(c *Class) *time.Duration { return &c.KeyRetention }),
	directive.Number("size", 1, 1<<20, "256", "memory of a replica in megabytes, if neither the function's block nor the request sets it",
		func(c *Class) *int { return &c.ReplicaMemoryMB }),
	directive.Number("lanes", 1, 1000, "2", "concurrency of a replica, if neither the function's block nor the request sets it",
		func(c *Class) *int { return &c.ReplicaConcurrency }),
	directive.Duration("load", 0, hour, "0s", "usual load time of a function, if neither the function's block nor the request sets it; 0s: not known",
		func(c *Class) *time.Duration { return &c.LoadTimeEstimate }),
}

// tenantDirectives are the directives of a tenant's block.
var tenantDirectives = []directive.Directive[Tenant]{
	directive.Real("share", 0, 1, "1", "fraction of the service that the tenant is entitled to",
		func(t *Tenant) *float64 { return &t.Share }),
	directive.Real("quota", 0, 1e9, "0", "requests per second over all front ends, each of which allows an equal part; 0: no limit",
		func(t *Tenant) *float64 { return &t.Quota }),
}

// functionDirectives are the directives of a function's block.
var functionDirectives = []directive.Directive[Function]{
	directive.Text("class", "a class's name", "", "class of the function; the first class if not given",
		func(f *Function) *string { return &f.Class }),
	directive.Number("size", 0, 1<<20, "0", "memory of a replica in megabytes; 0: the value of its class",
		func(f *Function) *int { return &f.ReplicaMemoryMB }),
	directive.Number("lanes", 0, 1000, "0", "concurrency of a replica; 0: the value of its class",
		func(f *Function) *int { return &f.ReplicaConcurrency }),
	directive.Duration("load", 0, hour, "0s", "usual load time; 0s: the value of its class",
		func(f *Function) *time.Duration { return &f.LoadTimeEstimate }),
}
