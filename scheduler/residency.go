package scheduler

import "time"

const (
	residencyQueryTimeout = 30 * time.Millisecond // how long a request waits for answers
	residencyQueryFanout  = 5                     // workers queried, the first in placement order
)

// prewarm orders a function loaded at this front end's own place, while its requests go on to loaded
// replicas. A front end that lags does not: its requests need what processor time it has.
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

// queryResidency finds replicas that others loaded before a load is started: it acts when no replica is
// believed warm, or the queue delays at the warm ones call for a load, and costs milliseconds where a load
// costs hundreds. It queries the first workers in placement order and reports whether to wait for their
// answers. A front end that lags asks nobody: each query may cost it a connection, and the place where it
// loads then is the first that others load in too.
func (s *Scheduler) queryResidency(function *functionRecord) bool {
	if s.stall.isLagging(s.now) {
		return s.awaitsResidency(function)
	}
	if !s.settings.LoadOrdersAllowed || s.now-function.queriedAt < freshnessWindow {
		return s.awaitsResidency(function)
	}
	function.queriedAt, function.pendingQueries = s.now, 0 // an older query without an answer says nothing
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
