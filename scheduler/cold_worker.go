package scheduler

import (
	"iter"
	"slices"
	"time"
)

// placementSearch is how many workers are looked at for one that may load a function.
const placementSearch = 256

// pickColdWorker picks the worker that loads a function: the first in placement order whose queue delay is
// not above the median (one without reports looks idle); an ejected one only when no other is left. All front
// ends rank the workers of a function alike, so that without communication they load it in the same places.
func (s *Scheduler) pickColdWorker(
	function *functionRecord, request *requestRecord, minIdle time.Duration,
) *workerRecord {
	if minIdle > noMinIdle && s.now < s.endpoints.noIdleWorkerUntil {
		return nil
	}
	var best *workerRecord
	leastDelay, searched := infiniteDuration, 0
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
	if best == nil && minIdle > noMinIdle {
		s.endpoints.noIdleWorkerUntil = max(s.now+freshnessWindow, s.oldestContact()+minIdle)
	}
	return best
}

// coldCandidates are the workers that may load a function, in placement order. A request that is bound to a
// small cell has few, which need not be searched for among all.
func (s *Scheduler) coldCandidates(function *functionRecord, request *requestRecord) iter.Seq[*workerRecord] {
	if request.boundToKeyScope() && request.class.KeyScope == ScopeCell {
		members := s.cellMembers(request.firstWorker.Cell)
		if len(members) <= placementSearch {
			return slices.Values(s.inRendezvousOrder(function, members))
		}
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
