package baseline

import (
	"cmp"
	"time"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Truth is what an oracle sees: the true state of each worker.
type Truth interface {
	// Estimate is how long a call of a function would wait for a load, from now, and how long it would take beside
	// that, for a lane and its run; false where it would not be answered, or must not be sent.
	Estimate(w scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, may bool)
}

// An oracle sees the truth and sends each call where it would be answered first, or holds it where that would be
// later than the oracle takes. No one rule is best on all days, so the top is the best of several.
//
// The bound leaves out the wait for a load: who never waits for one never has a copy.
type oracle struct {
	name       string
	bound      func(p *policy, r *request) time.Duration // how long an answer may take beside a load
	queueOrder func(p *policy, a, b *request) int        // order of what is held; nil: as it came
}

var oracles = []oracle{
	{name: "oracle-late", bound: func(p *policy, r *request) time.Duration { return r.deadline - p.now }},
	{name: "oracle-aim", bound: func(p *policy, r *request) time.Duration { return bestWithin(p, r, 1) }},
	{name: "oracle-worth", bound: func(p *policy, r *request) time.Duration {
		best := 0.0
		for _, c := range p.set.Classes {
			best = max(best, c.PriorityWeight)
		}
		return bestWithin(p, r, p.set.Classes[r.Class].PriorityWeight/best)
	}, queueOrder: func(p *policy, a, b *request) int { // the worthiest, and of these the newest
		return cmp.Or(cmp.Compare(p.set.Classes[b.Class].PriorityWeight, p.set.Classes[a.Class].PriorityWeight), cmp.Compare(b.receivedAt, a.receivedAt))
	}},
}

// bestWithin is the part of the aim that a call may take, within what is left of it; less once the aim has passed
// and a late answer is worth less.
func bestWithin(p *policy, r *request, part float64) time.Duration {
	class := &p.set.Classes[r.Class]
	left := r.receivedAt + class.LatencyObjective - p.now
	if left <= 0 {
		part, left = part*class.LateWeight, r.deadline-p.now
	}
	return min(left, time.Duration(part*float64(class.LatencyObjective)))
}

// Oracles names the oracles.
func Oracles() (names []string) {
	for _, o := range oracles {
		names = append(names, o.name)
	}
	return names
}

// Oracle returns what makes an oracle by its name, nil for a name that is none.
func Oracle(name string, truth Truth) func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler {
	for _, o := range oracles {
		if o.name != name {
			continue
		}
		return func(now time.Duration, set scheduler.Settings, a scheduler.Actions) gateway.Scheduler {
			p := newPolicy(now, set, a, func(p *policy, r *request, among []*worker) *worker {
				var best *worker
				soonest, bound := r.deadline-p.now, o.bound(p, r)
				for _, w := range among {
					load, rest, may := truth.Estimate(w.info.ID, r.Function, r.Request)
					if may && rest < bound && load+rest < soonest {
						best, soonest = w, load+rest
					}
				}
				return best
			})
			if o.queueOrder != nil {
				p.queueOrder = func(a, b *request) int { return o.queueOrder(p, a, b) }
			}
			return p
		}
	}
	return nil
}
