// Package baseline holds scheduling policies that the laboratory compares the scheduler with, on the same events and
// actions. They execute nothing twice where that is not safe and follow the endpoint list, and keep no other
// invariant: a run in which they violate one counts for nothing, as the scheduler's would.
package baseline

import (
	"time"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Constructor makes the scheduler of one front end.
type Constructor = func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler

// Names are the policies that New makes.
var Names = []string{"random", "round-robin", "least-out", "two-choices", "rendezvous"}

var pickers = map[string]picker{
	"random":      random,
	"round-robin": roundRobin,
	"least-out":   leastInFlight,
	"two-choices": twoChoices,
	"rendezvous":  rendezvous,
}

// New returns the constructor of a policy by its name, nil for a name that is unknown.
func New(name string) Constructor {
	pick := pickers[name]
	if pick == nil {
		return nil
	}
	return func(now time.Duration, set scheduler.Settings, actions scheduler.Actions) gateway.Scheduler {
		return newPolicy(now, set, actions, pick)
	}
}
