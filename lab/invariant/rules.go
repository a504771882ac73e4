package invariant

import (
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/scheduler"
)

// Names of the invariants, as reports and stored results have them.
const (
	ruleResponse  = "lost"   // each request has one final response in time
	ruleExecution = "twice"  // a request is not executed again where that is not safe
	ruleDraining  = "drains" // a worker that drains receives nothing new
	ruleColdStart = "cold"   // a cold worker is not overloaded
	ruleLoadRate  = "loads"  // load orders stay within the load rate limit
)

// Rules are the invariants in figures, as the front ends were configured.
type Rules struct {
	Classes    map[string]scheduler.Class
	DrainGrace time.Duration
	LoadWindow time.Duration // 0: no load rate limit
	LoadFree   float64       // load orders within the window that need no requests
	LoadShare  float64       // load orders for each request within the window
	// Tolerance is how much later than it happened something may be recorded: sockets and the operating system's
	// scheduler lie between. It is added where a rule names a time.
	Tolerance time.Duration
}

// RulesOf returns the rules that settings configure.
func RulesOf(s *gatewayconfig.Settings, tolerance time.Duration) Rules {
	rules := Rules{
		Classes:    map[string]scheduler.Class{},
		DrainGrace: s.DrainGrace,
		LoadWindow: s.LoadRateWindow,
		LoadFree:   s.LoadRateBurst,
		LoadShare:  s.LoadRatePerRequest,
		Tolerance:  tolerance,
	}
	for _, c := range s.Classes {
		rules.Classes[c.Name] = c.SchedulerClass()
	}
	return rules
}
