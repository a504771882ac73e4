package baseline

import (
	"cmp"
	"time"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Truth is what an oracle sees: the true state of each worker.
type Truth interface {
	// Estimate is how long a request for a function would wait for a load if it were sent now, and how long it would
	// take beside that, for a place at a replica and its execution. It reports false where the request would get no
	// response, or must not be sent.
	Estimate(w scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, usable bool)
}

// oracle sees the truth and sends each request where it would be served first, or queues it where that takes longer
// than the oracle accepts. No one rule is best in all scenarios, so the reference is the best of several.
//
// The bound leaves out the wait for a load: who never waits for one never has a replica.
type oracle struct {
	name  string
	bound func(p *policy, r *request) time.Duration // how long a response may take beside a load
	order func(p *policy, a, b *request) int        // of queued requests; nil: first in, first out
}

var oracles = []oracle{
	{name: "oracle-late", bound: remainingTime},
	{name: "oracle-aim", bound: objective},
	{name: "oracle-worth", bound: weightedObjective, order: heaviestNewestFirst},
}

// remainingTime is the time to the deadline.
func remainingTime(p *policy, r *request) time.Duration { return r.deadline - p.now }

// objective is the class's latency objective.
func objective(p *policy, r *request) time.Duration { return objectiveShare(p, r, 1) }

// weightedObjective is the share of the latency objective that the class's weight is of the greatest one.
func weightedObjective(p *policy, r *request) time.Duration {
	greatest := 0.0
	for _, c := range p.set.Classes {
		greatest = max(greatest, c.PriorityWeight)
	}
	return objectiveShare(p, r, p.set.Classes[r.Class].PriorityWeight/greatest)
}

// heaviestNewestFirst orders requests by weight, and those of one weight the newest first.
func heaviestNewestFirst(p *policy, a, b *request) int {
	return cmp.Or(
		cmp.Compare(p.set.Classes[b.Class].PriorityWeight, p.set.Classes[a.Class].PriorityWeight),
		cmp.Compare(b.receivedAt, a.receivedAt))
}

// objectiveShare is a share of the latency objective, within what is left of it; less once the objective has passed and
// a late response earns less.
func objectiveShare(p *policy, r *request, share float64) time.Duration {
	class := &p.set.Classes[r.Class]
	left := r.receivedAt + class.LatencyObjective - p.now
	if left <= 0 {
		share, left = share*class.LateWeight, r.deadline-p.now
	}
	return min(left, time.Duration(share*float64(class.LatencyObjective)))
}

// Oracles are the names of the oracles.
func Oracles() (names []string) {
	for _, o := range oracles {
		names = append(names, o.name)
	}
	return names
}

// Oracle returns the constructor of an oracle by its name, nil for a name that is unknown.
func Oracle(name string, truth Truth) Constructor {
	for _, o := range oracles {
		if o.name == name {
			return o.constructor(truth)
		}
	}
	return nil
}

func (o oracle) constructor(truth Truth) Constructor {
	pick := func(p *policy, r *request, candidates []*worker) *worker { return o.pick(p, r, candidates, truth) }
	return func(now time.Duration, set scheduler.Settings, actions scheduler.Actions) gateway.Scheduler {
		p := newPolicy(now, set, actions, pick)
		if o.order != nil {
			p.queueOrder = func(a, b *request) int { return o.order(p, a, b) }
		}
		return p
	}
}

// pick is the worker that would serve a request first, nil if none would within the bound and the deadline.
func (o oracle) pick(p *policy, r *request, candidates []*worker, truth Truth) *worker {
	var best *worker
	soonest, bound := remainingTime(p, r), o.bound(p, r)
	for _, w := range candidates {
		load, rest, usable := truth.Estimate(w.info.ID, r.Function, r.Request)
		if usable && rest < bound && load+rest < soonest {
			best, soonest = w, load+rest
		}
	}
	return best
}
