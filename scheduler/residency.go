package scheduler

import "time"

const (
	residencyQueryTimeout = 30 * time.Millisecond // how long a request waits for answers
	residencyQueryFanout  = 5                     // number of workers queried, the first in placement order
	maxLoadOrders         = 2048                  // unanswered orders and queries above which none is added
)

// prewarm orders a load of the function at the first of this front end's preferred workers that is available,
// while requests continue to use loaded replicas. A lagging front end does not prewarm, because its requests
// need the processor time.
func (s *Scheduler) prewarm(function *functionRecord) {
	if !s.settings.LoadOrdersAllowed || s.stall.isLagging(s.now) {
		return
	}
	for _, worker := range s.preferredWorkers(function) {
		if !s.acceptsLoads(worker) || worker.isEjected(function.class) {
			continue
		}
		if s.queueDelay(worker) > s.delay.median+s.unloadedRunTime(function.class) {
			continue
		}
		if function.replicaOn(worker) == nil {
			s.startLoad(function, nil, worker, byQueueDelay)
		}
		return
	}
}

// queryResidency looks for replicas that other front ends have loaded before this front end starts a load. It
// is called when no replica is known to be warm, or when queue delays at the warm ones call for another load;
// a query costs milliseconds, a load hundreds. It queries the first workers in placement order and reports
// whether to wait for their answers. A lagging front end sends no queries: each may cost it a new connection,
// and without them it loads the function at the worker that the other front ends try first too. Neither does
// one with maxLoadOrders unanswered: workers may be silent while clients name ever new functions.
func (s *Scheduler) queryResidency(function *functionRecord) bool {
	if s.stall.isLagging(s.now) {
		return s.awaitsResidency(function)
	}
	tooSoon := s.now-function.queriedAt < freshnessWindow
	if !s.settings.LoadOrdersAllowed || tooSoon || len(s.loadOrders) > maxLoadOrders-residencyQueryFanout {
		return s.awaitsResidency(function)
	}
	function.queriedAt, function.pendingQueries = s.now, 0 // older unanswered queries are disregarded
	queried := 0
	for worker := range s.placementOrder(function) {
		if queried++; queried > residencyQueryFanout {
			break
		}
		key := replicaKey{worker.ID, function.id}
		if _, busy := s.loadOrders[key]; busy || worker.State != Ready {
			continue
		}
		if !worker.isEjected(function.class) && function.replicaOn(worker) == nil {
			s.activate(function)
			function.pendingQueries++
			s.loadOrders[key] = residencyQuery
			s.actions.Load(worker.ID, function.id, residencyQuery)
		}
	}
	return function.pendingQueries > 0
}
