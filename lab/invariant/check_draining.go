package invariant

import (
	"time"

	"havencart/scheduler"
)

// checkDraining checks that a worker receives no attempt and no load order from a front end later than the drain grace
// after that front end learned that the worker is not ready.
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

// checkDrainGrace checks the time at which a worker received a message from a front end. updates holds the endpoint
// lists of that front end, and message describes the message in the text of a violation.
func (c *checker) checkDrainGrace(updates []EndpointUpdate, message, frontEnd, worker string, at time.Duration) {
	since, notReady := notReadySince(updates, worker, at)
	if notReady && at > since+c.rules.DrainGrace+c.rules.Tolerance {
		c.violated(ruleDraining, "%s from %s reached %s %v after the notice", message, frontEnd, worker, at-since)
	}
}

// notReadySince reports whether a front end knew at the given time that a worker was not ready, and since when. updates
// holds the endpoint lists of that front end in the order in which it received them. A worker that is missing from the
// latest list is not ready.
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
