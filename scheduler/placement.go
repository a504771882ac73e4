package scheduler

import (
	"math"
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	demandMemory          = 10 * time.Second      // memory of a function's part of the requested work
	demandSmoothing       = 10                    // runs as if of other functions, while few were requested
	placementSpread       = 3.0                   // times the workers that its part of the work fills
	residencyQueryTimeout = 30 * time.Millisecond // how long a request waits for answers
	residencyQueryFanout  = 5                     // workers queried, the first in placement order
)

// pickColdWorker picks the worker that loads a function: the first in placement order whose queue delay is
// not above the median (one without reports looks idle); an ejected one only when no other is left. All front
// ends rank the workers of a function alike, so that without communication they load it in the same places.
func (s *Scheduler) pickColdWorker(
	function *functionRecord, request *requestRecord, minIdle time.Duration,
) *workerRecord {
	var best *workerRecord
	healthy, leastDelay := s.healthyCount(function.class), never
	for _, worker := range s.placementOrder(function) {
		delay := max(s.delay.median, s.queueDelay(worker))
		if !s.acceptsLoads(worker) || function.replicaOn(worker) != nil || !s.mayExecuteOn(request, worker) {
			continue
		}
		if !s.hasHeadroom(worker, request) {
			continue
		}
		if worker.isEjected(function.class) && healthy > 0 && !request.boundToKeyScope() {
			continue
		}
		if s.now-worker.lastContact >= minIdle && delay < leastDelay {
			best, leastDelay = worker, delay
		}
	}
	return best
}

// placementOrder lists the workers in the order in which this front end would load a function: the rendezvous
// order, begun at this front end's own place among the first targetReplicaCount, its own zone first there.
func (s *Scheduler) placementOrder(function *functionRecord) []*workerRecord {
	order := s.rendezvousOrder(function)
	target := s.targetReplicaCount(function)
	if target < 2 {
		return order
	}
	own := int(estimate.Mix(uint64(function.id), uint64(s.settings.FrontEndIndex+1)) % uint64(target))
	nearest := slices.Concat(order[own:target], order[:own])
	slices.SortStableFunc(nearest, func(a, b *workerRecord) int { return s.crossZone(a) - s.crossZone(b) })
	return append(nearest, order[target:]...)
}

// targetReplicaCount is on how many workers the requests of all front ends for a function should be loaded.
// One of many front ends has a request at a time and no backlog, but what it receives is a sample of what all
// do: a function with a part of the work needs that part of the workers, several times over, as others are
// there too. It would harm where memory is short, and where a front end's clients want what no other's do.
func (s *Scheduler) targetReplicaCount(function *functionRecord) int {
	run := float64(s.expectedRunTime(function)) // the first request says nothing of how many follow
	own := max(0, function.requestedRunTime.Read(s.now, demandMemory)-run)
	share := own / (s.demand.runTime.Read(s.now, demandMemory) + demandSmoothing*run)
	workers := len(s.endpoints.list)
	return min(workers, int(math.Ceil(max(1, placementSpread*share*float64(workers)))))
}

// prewarm orders a function loaded at this front end's own place, while its requests go on to loaded
// replicas.
func (s *Scheduler) prewarm(function *functionRecord) {
	target := s.targetReplicaCount(function)
	if target < 2 || !s.settings.LoadOrdersAllowed {
		return
	}
	for _, worker := range s.placementOrder(function)[:target] {
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
// answers.
func (s *Scheduler) queryResidency(function *functionRecord) bool {
	if !s.settings.LoadOrdersAllowed || s.now-function.queriedAt < freshnessWindow {
		return s.awaitsResidency(function)
	}
	function.queriedAt, function.pendingQueries = s.now, 0 // an older query without an answer says nothing
	order := s.placementOrder(function)
	for _, worker := range order[:min(residencyQueryFanout, len(order))] {
		key := replicaKey{worker.ID, function.id}
		if _, busy := s.loadOrders[key]; busy || worker.State != Ready {
			continue
		}
		if !worker.isEjected(function.class) && function.replicaOn(worker) == nil {
			function.pendingQueries++
			s.loadOrders[key] = residencyQuery
			s.actions.Load(worker.ID, function.id, residencyQuery)
		}
	}
	return function.pendingQueries > 0
}
