// Package baseline contains scheduling policies with which the scheduler is compared in simulations. They receive
// the same events and use the same actions as the scheduler. They retry a request only where that is safe, and send
// requests only to workers that are ready in the endpoint list, but they maintain none of the scheduler's other
// invariants. A run in which a policy violates an invariant does not count, as it would not for the scheduler.
package baseline

import (
	"time"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Constructor creates the scheduler of one front end.
type Constructor = func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler

// Names lists the policies that New knows.
var Names = []string{"random", "round-robin", "least-out", "two-choices", "rendezvous"}

var pickers = map[string]picker{
	"random":      random,
	"round-robin": roundRobin,
	"least-out":   leastInFlight,
	"two-choices": twoChoices,
	"rendezvous":  rendezvous,
}

// New returns the constructor of the policy with the given name, or nil if there is none.
func New(name string) Constructor {
	pick := pickers[name]
	if pick == nil {
		return nil
	}
	return func(now time.Duration, settings scheduler.Settings, actions scheduler.Actions) gateway.Scheduler {
		return newPolicy(now, settings, actions, pick)
	}
}
