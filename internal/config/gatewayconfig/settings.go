// Package gatewayconfig reads the settings of a gateway: one directive a line, in the manner of classic daemons, with
// blocks that a word opens and "end" closes. All errors of a file are told at once, each with file, line and
// column, what was found and what is allowed. Every directive is declared once, in a table; the reference in
// docs/settings.md is made from it.
package gatewayconfig

import (
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/internal/directive"
	"havencart/scheduler"
)

// Settings are those of one gateway process. docs/settings.md tells each one's meaning.
type Settings struct {
	Name           string
	Listen         string
	Loops          int
	FrontEnds      int
	First          int
	Zone           string
	Zones          []string
	Directory      Directory
	Classes        []Class
	Tenants        []Tenant
	Shares         tenancy.ShareBasis
	Functions      []Function
	Watch          []Watch
	Probes         bool
	RetryAfter     bool
	Sized          bool
	FunctionsOnly  bool
	MissAnswered   bool
	Orders         bool
	TellsWarm      bool
	TellsCrowd     bool
	Cancel         bool
	KeepAlive      time.Duration
	OrderTimeout   time.Duration
	LoadWindow     time.Duration
	LoadFree       float64
	LoadShare      float64
	MaxAttempts    int
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	DrainGrace     time.Duration
	ColdFrom       float64
	ColdTime       time.Duration
	TipMultiple    float64
	TipWindow      time.Duration
	AnswerMargin   time.Duration
	MaxCalls       int
	Queue          int
	Window         int
	MaxBody        int
	MaxHeader      int
	MaxConns       int
	Pipeline       int
	IdleTime       time.Duration
	HeaderTime     time.Duration
	BodyTime       time.Duration
	WriteTime      time.Duration
	StallTime      time.Duration
	HalfClosed     bool
	StopWait       time.Duration
}

// Directory says where the list of workers comes from.
type Directory struct{ Kind, Where, Service string }

// Class is one class of call.
type Class struct {
	Name   string
	Aim    time.Duration
	GiveUp time.Duration
	Worth  float64
	Late   float64
	Repeat scheduler.Idempotency
	Scope  scheduler.KeyScope
	Memory time.Duration
	Size   int // MB of a copy
	Lanes  int
	Load   time.Duration
}

// Control is the class as the module has it.
func (c Class) Control() scheduler.Class {
	return scheduler.Class{LatencyObjective: c.Aim, Timeout: c.GiveUp, PriorityWeight: c.Worth, LateWeight: c.Late, Idempotency: c.Repeat, KeyScope: c.Scope,
		KeyRetention: c.Memory}
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Share float64
	Quota float64
}

// Function is one function that is listed.
type Function struct {
	Name  string
	Class string
	Size  int
	Lanes int
	Load  time.Duration
}

const (
	ms   = time.Millisecond
	hour = time.Hour
)

// top are the directives outside blocks.
var top = []directive.Directive[Settings]{
	directive.Text("name", "a word", "havencart", "name of this process, unique in the installation",
		func(s *Settings) *string { return &s.Name }),
	directive.Text("listen", "HOST:PORT", "127.0.0.1:8080", "where clients connect",
		func(s *Settings) *string { return &s.Listen }),
	{Name: "directory", Takes: "consul URL SERVICE, or file PATH", Help: "where the list of workers comes from",
		Words: -1, Set: setDirectory},
	directive.Number("loops", 1, 256, "1", "front ends in this process, each a loop of its own",
		func(s *Settings) *int { return &s.Loops }),
	directive.Number("front-ends", 1, 100000, "1", "front ends in the whole installation, this process's included",
		func(s *Settings) *int { return &s.FrontEnds }),
	directive.Number("first", 0, 100000, "0", "number of this process's first front end among them",
		func(s *Settings) *int { return &s.First }),
	directive.Text("zone", "a word", "", "where this process stands", func(s *Settings) *string { return &s.Zone }),
	directive.OnOff("functions-only", "off", "call only functions that have a block", func(s *Settings) *bool { return &s.FunctionsOnly }),
	directive.Choice("on-miss", []string{"load", "miss"}, []bool{false, true}, "load",
		"what a worker does that lacks the function: load it, or answer miss", func(s *Settings) *bool { return &s.MissAnswered }),
	directive.OnOff("orders", "on", "workers take orders to load and unload", func(s *Settings) *bool { return &s.Orders }),
	directive.OnOff("tells-warm", "on", "answers tell whether a copy stood loaded", func(s *Settings) *bool { return &s.TellsWarm }),
	directive.OnOff("tells-crowd", "on", "answers tell the calls of the function held there",
		func(s *Settings) *bool { return &s.TellsCrowd }),
	directive.OnOff("probes", "on", "workers may be probed", func(s *Settings) *bool { return &s.Probes }),
	directive.OnOff("retry-after", "on", "a refusal says when to come back", func(s *Settings) *bool { return &s.RetryAfter }),
	directive.Choice("weights", []string{"silent", "nominal", "rough", "live"}, []bool{false, true, true, false}, "silent",
		"what the scale of a listed worker tells: nothing, its size, about its size, or its size less its load (not read)",
		func(s *Settings) *bool { return &s.Sized }),
	directive.OnOff("cancel", "on", "calls may be called back", func(s *Settings) *bool { return &s.Cancel }),
	directive.Duration("keep-alive", 100*ms, 24*hour, "10s", "an idle copy stays loaded at least this long",
		func(s *Settings) *time.Duration { return &s.KeepAlive }),
	directive.Duration("order-timeout", 10*ms, hour, "10s", "an order without an answer ends after this",
		func(s *Settings) *time.Duration { return &s.OrderTimeout }),
	directive.Duration("load-window", 0, hour, "0s", "orders to load are rationed within this; 0s is no ration",
		func(s *Settings) *time.Duration { return &s.LoadWindow }),
	directive.Real("load-free", 0, 1e6, "4", "orders in a window that are always allowed",
		func(s *Settings) *float64 { return &s.LoadFree }),
	directive.Real("load-share", 0, 100, "0.1", "and for each call taken in the window",
		func(s *Settings) *float64 { return &s.LoadShare }),
	directive.Number("max-attempts", 1, 100, "5", "attempts of one call", func(s *Settings) *int { return &s.MaxAttempts }),
	directive.Duration("max-retry-after", 0, hour, "1s", "longest advice when to come back",
		func(s *Settings) *time.Duration { return &s.MaxRetryAfter }),
	directive.Duration("connect-timeout", ms, hour, "250ms", "to connect to a worker and shake hands",
		func(s *Settings) *time.Duration { return &s.ConnectTimeout }),
	directive.Duration("drain-grace", ms, hour, "500ms", "nothing new to a worker later than this after a notice",
		func(s *Settings) *time.Duration { return &s.DrainGrace }),
	directive.Real("cold-from", 0.001, 1, "0.2", "share of its capacity that a worker starts with at least",
		func(s *Settings) *float64 { return &s.ColdFrom }),
	directive.Duration("cold-time", 0, hour, "15s", "a started worker is warm after this",
		func(s *Settings) *time.Duration { return &s.ColdTime }),
	directive.Real("tip-multiple", 1, 1000, "3", "sent more than this many times what it can do, a cold worker falls over",
		func(s *Settings) *float64 { return &s.TipMultiple }),
	directive.Duration("tip-window", 0, hour, "2s", "for this long; 0s: none falls over",
		func(s *Settings) *time.Duration { return &s.TipWindow }),
	directive.Duration("answer-margin", ms, hour, "15ms", "the final answer leaves this long before the client gives up",
		func(s *Settings) *time.Duration { return &s.AnswerMargin }),
	directive.Choice("shares", []string{"off", "work", "calls"}, []tenancy.ShareBasis{tenancy.NotEnforced, tenancy.ByWork, tenancy.ByRequestCount},
		"off", "by what tenants' shares are held: not at all, by what their calls take at the workers, or by their number",
		func(s *Settings) *tenancy.ShareBasis { return &s.Shares }),
	directive.Number("max-calls", 1, 1e6, "20000", "calls in hand of one front end; more are refused at once",
		func(s *Settings) *int { return &s.MaxCalls }),
	directive.Number("queue", 1, 1e6, "4096", "arrivals that wait for one front end; more are refused at once",
		func(s *Settings) *int { return &s.Queue }),
	directive.Size("window", 1<<10, 64<<20, "256k", "of one worker's answer, what may wait here",
		func(s *Settings) *int { return &s.Window }),
	directive.Size("max-body", 1, 8<<20, "1m", "of a call", func(s *Settings) *int { return &s.MaxBody }),
	directive.Size("max-header", 256, 1<<20, "16k", "of a call", func(s *Settings) *int { return &s.MaxHeader }),
	directive.Number("max-connections", 1, 1e6, "20000", "of clients; more are answered 503 and closed",
		func(s *Settings) *int { return &s.MaxConns }),
	directive.Number("pipeline", 1, 1000, "16", "calls of one connection in hand; more are not read",
		func(s *Settings) *int { return &s.Pipeline }),
	directive.Duration("idle-time", ms, 24*hour, "60s", "a client's connection without a call is closed after this",
		func(s *Settings) *time.Duration { return &s.IdleTime }),
	directive.Duration("header-time", ms, hour, "5s", "from a call's first byte to the end of its header",
		func(s *Settings) *time.Duration { return &s.HeaderTime }),
	directive.Duration("body-time", ms, hour, "10s", "to the end of its body", func(s *Settings) *time.Duration { return &s.BodyTime }),
	directive.Duration("write-time", ms, hour, "10s", "for each part of an answer to go out",
		func(s *Settings) *time.Duration { return &s.WriteTime }),
	directive.Duration("stall-time", ms, hour, "10s", "a worker's answer that stands still for so long is given up",
		func(s *Settings) *time.Duration { return &s.StallTime }),
	directive.Choice("half-closed", []string{"left", "waits"}, []bool{false, true}, "left",
		"a client that closed its side for writing has left, or waits for its answers",
		func(s *Settings) *bool { return &s.HalfClosed }),
	directive.Duration("stop-wait", 0, hour, "5s", "how long a stop waits for what is in hand",
		func(s *Settings) *time.Duration { return &s.StopWait }),
}

func setDirectory(s *Settings, v []string) error {
	switch {
	case len(v) == 3 && v[0] == "consul":
		s.Directory = Directory{v[0], v[1], v[2]}
	case len(v) == 2 && v[0] == "file":
		s.Directory = Directory{Kind: v[0], Where: v[1]}
	default:
		return directive.ErrValue
	}
	return nil
}

var classTable = []directive.Directive[Class]{
	directive.Duration("aim", ms, hour, "500ms", "an answer is wanted within", func(c *Class) *time.Duration { return &c.Aim }),
	directive.Duration("give-up", ms, hour, "2s", "a client gives up after, where it tells nothing shorter",
		func(c *Class) *time.Duration { return &c.GiveUp }),
	directive.Real("worth", 0, 1e6, "1", "of an answer in time", func(c *Class) *float64 { return &c.Worth }),
	directive.Real("late", 0, 1, "0.3", "share of the worth that a late answer keeps", func(c *Class) *float64 { return &c.Late }),
	directive.Choice("repeat", []string{"safe", "keyed", "unsafe"}, []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NonIdempotent},
		"unsafe", "what another attempt may do", func(c *Class) *scheduler.Idempotency { return &c.Repeat }),
	directive.Choice("scope", []string{"all", "zone", "cell"}, []scheduler.KeyScope{scheduler.ScopeAll, scheduler.ScopeZone, scheduler.ScopeCell},
		"cell", "workers that drop each other's repeats of a keyed call", func(c *Class) *scheduler.KeyScope { return &c.Scope }),
	directive.Duration("memory", 0, 24*hour, "5s", "how long they remember a key", func(c *Class) *time.Duration { return &c.Memory }),
	directive.Number("size", 1, 1<<20, "256", "megabytes of a loaded copy, where nothing tells it", func(c *Class) *int { return &c.Size }),
	directive.Number("lanes", 1, 1000, "2", "calls that a copy runs at a time, where nothing tells it", func(c *Class) *int { return &c.Lanes }),
	directive.Duration("load", 0, hour, "0s", "usual time of a load, where nothing tells it; 0s is not told",
		func(c *Class) *time.Duration { return &c.Load }),
}

var tenantTable = []directive.Directive[Tenant]{
	directive.Real("share", 0, 1, "1", "part of the service", func(t *Tenant) *float64 { return &t.Share }),
	directive.Real("quota", 0, 1e9, "0", "calls a second over all front ends at most; each has its part; 0: no limit",
		func(t *Tenant) *float64 { return &t.Quota }),
}

var functionTable = []directive.Directive[Function]{
	directive.Text("class", "a class's name", "", "its class; the first if not given", func(f *Function) *string { return &f.Class }),
	directive.Number("size", 0, 1<<20, "0", "megabytes of a loaded copy; 0: as its class", func(f *Function) *int { return &f.Size }),
	directive.Number("lanes", 0, 1000, "0", "calls that a copy runs at a time; 0: as its class", func(f *Function) *int { return &f.Lanes }),
	directive.Duration("load", 0, hour, "0s", "usual time of a load; 0s: as its class", func(f *Function) *time.Duration { return &f.Load }),
}
