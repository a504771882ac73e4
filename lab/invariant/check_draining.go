package invariant

import (
	"time"

	"havencart/scheduler"
)

// checkDraining checks that nothing new reaches a worker later than the drain grace after its front end learned that
// the worker is not ready.
func (c *checker) checkDraining() {
	updates := map[string][]EndpointUpdate{}
	for _, u := range c.endpointUpdates {
		updates[u.FrontEnd] = append(updates[u.FrontEnd], u)
	}
	for _, a := range c.attempts {
		c.checkDrainGrace(updates[a.FrontEnd], "call "+a.RequestID, a.FrontEnd, a.Worker, a.At)
	}
	for _, o := range c.loadOrders {
		c.tally.LoadOrders++
		if o.Replicas > 0 {
			c.checkDrainGrace(updates[o.FrontEnd], "order for "+o.Function, o.FrontEnd, o.Worker, o.At)
		}
	}
}

func (c *checker) checkDrainGrace(updates []EndpointUpdate, what, frontEnd, worker string, at time.Duration) {
	since, notReady := notReadySince(updates, worker, at)
	if notReady && at > since+c.rules.DrainGrace+c.rules.Tolerance {
		c.violated(ruleDraining, "%s from %s reached %s %v after the notice", what, frontEnd, worker, at-since)
	}
}

// notReadySince reports whether a front end knew at a time that a worker was not ready, and since when. updates are the
// front end's, in the order in which it received them.
func notReadySince(updates []EndpointUpdate, worker string, at time.Duration) (since time.Duration, notReady bool) {
	for _, u := range updates {
		if u.At > at {
			break
		}
		state, listed := u.States[worker]
		ready := listed && state == scheduler.Ready
		if !ready && !notReady {
			since = u.At
		}
		notReady = !ready
	}
	return since, notReady
}
