package baseline

import (
	"cmp"
	"time"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Estimator estimates the response times of requests from the exact state of the workers, which a front end does not
// know.
type Estimator interface {
	// Estimate returns how long a request for a function would wait for a load if it were sent now, and how long it
	// would take in addition, waiting for a replica and executing. usable is false if the request would get no response
	// or must not be sent to the worker.
	Estimate(w scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, usable bool)
}

// oracle is a policy that knows the exact state of the workers. It sends each request to the worker that would serve it
// first, or queues the request if no worker would serve it within the oracle's bound. No single bound is best in all
// scenarios, so the reference for the scheduler is the best of several oracles.
//
// The bound does not include the wait for a load: an oracle that never waits for a load never gets a replica.
type oracle struct {
	name  string
	bound func(p *policy, r *request) time.Duration // longest time until the response, not counting a load
	order func(p *policy, a, b *request) int        // order of queued requests; nil: first in, first out
}

var oracles = []oracle{
	{name: "oracle-late", bound: remainingTime},
	{name: "oracle-aim", bound: objective},
	{name: "oracle-worth", bound: weightedObjective, order: heaviestNewestFirst},
}

// remainingTime returns the time until the request's deadline.
func remainingTime(p *policy, r *request) time.Duration { return r.deadline - p.now }

// objective returns objectiveShare for the whole latency objective.
func objective(p *policy, r *request) time.Duration { return objectiveShare(p, r, 1) }

// weightedObjective scales the latency objective by the ratio of the class's weight to the greatest weight of a class.
func weightedObjective(p *policy, r *request) time.Duration {
	greatest := 0.0
	for _, c := range p.settings.Classes {
		greatest = max(greatest, c.PriorityWeight)
	}
	return objectiveShare(p, r, p.settings.Classes[r.Class].PriorityWeight/greatest)
}

// heaviestNewestFirst orders requests by decreasing class weight. Requests of equal weight are ordered newest first.
func heaviestNewestFirst(p *policy, a, b *request) int {
	return cmp.Or(
		cmp.Compare(p.settings.Classes[b.Class].PriorityWeight, p.settings.Classes[a.Class].PriorityWeight),
		cmp.Compare(b.receivedAt, a.receivedAt))
}

// objectiveShare returns a share of the latency objective, but at most the time that is left until the objective is
// missed. Once it is missed, the share is multiplied by the class's weight of late responses, and the limit is the time
// that is left until the deadline.
func objectiveShare(p *policy, r *request, share float64) time.Duration {
	class := &p.settings.Classes[r.Class]
	left := r.receivedAt + class.LatencyObjective - p.now
	if left <= 0 {
		share, left = share*class.LateWeight, r.deadline-p.now
	}
	return min(left, time.Duration(share*float64(class.LatencyObjective)))
}

// Oracles returns the names of the oracles.
func Oracles() (names []string) {
	for _, o := range oracles {
		names = append(names, o.name)
	}
	return names
}

// Oracle returns the constructor of the oracle with the given name, or nil if there is none.
func Oracle(name string, estimator Estimator) Constructor {
	for _, o := range oracles {
		if o.name == name {
			return o.constructor(estimator)
		}
	}
	return nil
}

func (o oracle) constructor(estimator Estimator) Constructor {
	pick := func(p *policy, r *request, candidates []*worker) *worker { return o.pick(p, r, candidates, estimator) }
	return func(now time.Duration, settings scheduler.Settings, actions scheduler.Actions) gateway.Scheduler {
		p := newPolicy(now, settings, actions, pick)
		if o.order != nil {
			p.queueOrder = func(a, b *request) int { return o.order(p, a, b) }
		}
		return p
	}
}

// pick returns the worker that would serve a request first, or nil if no worker would serve it within the bound and the
// deadline.
func (o oracle) pick(p *policy, r *request, candidates []*worker, estimator Estimator) *worker {
	var best *worker
	soonest, bound := remainingTime(p, r), o.bound(p, r)
	for _, w := range candidates {
		load, rest, usable := estimator.Estimate(w.info.ID, r.Function, r.Request)
		if usable && rest < bound && load+rest < soonest {
			best, soonest = w, load+rest
		}
	}
	return best
}
