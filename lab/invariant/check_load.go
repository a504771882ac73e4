package invariant

import (
	"fmt"
	"slices"
	"time"
)

// checkColdWorkers checks that no worker crashed from overload, and that the work that reached a cold worker within its
// overload window does not exceed its overload multiple of its capacity.
func (c *checker) checkColdWorkers() {
	for _, crash := range c.crashes {
		c.tally.WorkerCrashes++
		c.violated(ruleColdStart, "%s fell over at %v", crash.Worker, crash.At)
	}
	recent := map[string][]*Attempt{} // attempts within the overload window, by worker and incarnation
	for _, attempt := range c.attempts {
		if attempt.Capacity == 0 { // the worker was warm
			continue
		}
		window := time.Duration(attempt.OverloadWindowSeconds * float64(time.Second))
		id := fmt.Sprint(attempt.Worker, attempt.Incarnation)
		recent[id] = slices.DeleteFunc(append(recent[id], attempt), func(x *Attempt) bool { return x.At <= attempt.At-window })
		total := time.Duration(0)
		for _, x := range recent[id] {
			total += x.Work
		}
		allowed := time.Duration(attempt.OverloadMultiple * attempt.Capacity * float64(window))
		if window > 0 && total > allowed {
			c.violated(ruleColdStart, "%s was sent %v of work within %v, %v would push it over", attempt.Worker, total, window, allowed)
		}
	}
}

// checkLoadRate checks that the number of load orders that a front end sent within the load window stays within the
// limit for the number of requests that it received in the same window. The tolerance shortens the window of the load
// orders and lengthens that of the requests.
func (c *checker) checkLoadRate() {
	if c.rules.LoadWindow <= 0 {
		return
	}
	orderTimes, requestTimes := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range c.requests {
		requestTimes[r.FrontEnd] = append(requestTimes[r.FrontEnd], r.SentAt)
	}
	for _, o := range c.loadOrders {
		if o.Replicas == 0 { // a residency query
			continue
		}
		orderTimes[o.FrontEnd] = append(orderTimes[o.FrontEnd], o.At)
		orders := countWithin(orderTimes[o.FrontEnd], o.At-c.rules.LoadWindow+c.rules.Tolerance, o.At)
		requests := countWithin(requestTimes[o.FrontEnd], o.At-c.rules.LoadWindow-c.rules.Tolerance, o.At)
		if float64(orders) > c.rules.LoadBurst+c.rules.LoadPerRequest*float64(requests) {
			c.violated(ruleLoadRate, "%s gave %d orders for %d calls within %v", o.FrontEnd, orders, requests, c.rules.LoadWindow)
		}
	}
}

// countWithin counts the times that are after from and not after to. times is in ascending order.
func countWithin(times []time.Duration, from, to time.Duration) int {
	countUpTo := func(t time.Duration) int {
		i, _ := slices.BinarySearch(times, t+1)
		return i
	}
	return countUpTo(to) - countUpTo(from)
}
