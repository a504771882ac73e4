package invariant

import (
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/scheduler"
)

// Names of the rules, as reports and stored results write them.
const (
	ruleResponse  = "lost"   // each request has one final response in time
	ruleExecution = "twice"  // a request is not executed again unless that is safe for its class
	ruleDraining  = "drains" // a draining worker receives no new work after the drain grace
	ruleColdStart = "cold"   // a cold worker is not overloaded
	ruleLoadRate  = "loads"  // load orders stay within the load rate limit
)

// Rules holds the parameters of the invariants, as configured at the front ends.
type Rules struct {
	Classes        map[string]scheduler.Class
	DrainGrace     time.Duration
	LoadWindow     time.Duration // 0: no load rate limit
	LoadBurst      float64       // load orders allowed within the window without any request
	LoadPerRequest float64       // further load orders allowed for each request within the window
	// Tolerance is the greatest delay between an event and its record, which sockets and the operating system's
	// scheduler cause. Every time limit of a rule is relaxed by it, except the overload window of a cold worker.
	Tolerance time.Duration
}

// RulesOf returns the rules for front ends with the given settings.
func RulesOf(s *gatewayconfig.Settings, tolerance time.Duration) Rules {
	rules := Rules{
		Classes:        map[string]scheduler.Class{},
		DrainGrace:     s.DrainGrace,
		LoadWindow:     s.LoadRateWindow,
		LoadBurst:      s.LoadRateBurst,
		LoadPerRequest: s.LoadRatePerRequest,
		Tolerance:      tolerance,
	}
	for _, c := range s.Classes {
		rules.Classes[c.Name] = c.SchedulerClass()
	}
	return rules
}
