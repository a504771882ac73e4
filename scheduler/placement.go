package scheduler

import (
	"iter"
	"math"
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	demandMemory    = 10 * time.Second // memory of a function's part of the requested work
	demandSmoothing = 10               // runs as if of other functions, while few were requested
	placementSpread = 3.0              // times the workers that its part of the work fills
	rendezvousStep  = 32               // places of a rendezvous order that are made at least
	placementSearch = 256              // workers looked at for one that may load a function
)

// pickColdWorker picks the worker that loads a function: the first in placement order whose queue delay is
// not above the median (one without reports looks idle); an ejected one only when no other is left. All front
// ends rank the workers of a function alike, so that without communication they load it in the same places.
func (s *Scheduler) pickColdWorker(
	function *functionRecord, request *requestRecord, minIdle time.Duration,
) *workerRecord {
	if minIdle > anyIdle && s.now < s.endpoints.noneIdleUntil {
		return nil
	}
	var best *workerRecord
	leastDelay, searched := never, 0
	for worker := range s.coldCandidates(function, request) {
		if searched++; searched > placementSearch && !request.boundToKeyScope() {
			break
		}
		if s.now-worker.lastContact < minIdle || !s.mayLoad(function, request, worker) {
			continue
		}
		if delay := max(s.delay.median, s.queueDelay(worker)); delay < leastDelay {
			best, leastDelay = worker, delay
		}
		if best != nil && leastDelay == s.delay.median {
			return best // none has less
		}
	}
	if best == nil && minIdle > anyIdle {
		s.endpoints.noneIdleUntil = max(s.now+freshnessWindow, s.leastRecentContact()+minIdle)
	}
	return best
}

// coldCandidates are the workers that may load a function, in placement order. A request that is bound to a
// cell has few, which need not be searched for among all.
func (s *Scheduler) coldCandidates(function *functionRecord, request *requestRecord) iter.Seq[*workerRecord] {
	if request.boundToKeyScope() && request.class.KeyScope == ScopeCell {
		return slices.Values(s.cellMembers(function, request.firstWorker.Cell))
	}
	return s.placementOrder(function)
}

// mayLoad is whether a worker may load a function for a request now.
func (s *Scheduler) mayLoad(function *functionRecord, request *requestRecord, worker *workerRecord) bool {
	if !s.acceptsLoads(worker) || function.replicaOn(worker) != nil || !s.mayExecuteOn(request, worker) {
		return false
	}
	if worker.isEjected(function.class) && s.hasHealthy(function.class) && !request.boundToKeyScope() {
		return false
	}
	return s.hasHeadroom(worker, request)
}

// placementOrder lists the workers in the order in which this front end would load a function: the rendezvous
// order, begun at this front end's own place among the first targetReplicaCount, its own zone first there.
func (s *Scheduler) placementOrder(function *functionRecord) iter.Seq[*workerRecord] {
	return func(yield func(*workerRecord) bool) {
		nearest := s.nearestPlaces(function)
		for _, worker := range nearest {
			if !yield(worker) {
				return
			}
		}
		for i := len(nearest); i < len(s.endpoints.list); i++ {
			if !yield(s.rendezvousOrder(function, i+1)[i]) {
				return
			}
		}
	}
}

// nearestPlaces are the first targetReplicaCount workers in placement order, none where that is one.
func (s *Scheduler) nearestPlaces(function *functionRecord) []*workerRecord {
	target := s.targetReplicaCount(function)
	if target < 2 {
		return nil
	}
	cache := &function.nearest
	if cache.version == s.endpoints.version && len(cache.workers) == target {
		return cache.workers
	}
	order := s.rendezvousOrder(function, target)
	own := int(estimate.Mix(uint64(function.id), uint64(s.settings.FrontEndIndex+1)) % uint64(target))
	nearest := slices.Concat(order[own:target], order[:own])
	slices.SortStableFunc(nearest, func(a, b *workerRecord) int { return s.crossZone(a) - s.crossZone(b) })
	cache.version, cache.workers = s.endpoints.version, nearest
	return nearest
}

// rendezvousLength is how many places of a rendezvous order are made at once where count are needed of so
// many workers: most functions need the first few only, and an order that is made anew costs as much again.
func rendezvousLength(count, workers int) int {
	length := max(rendezvousStep, 2*count)
	if 2*length >= workers {
		return workers
	}
	return length
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
