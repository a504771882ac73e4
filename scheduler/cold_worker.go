package scheduler

import (
	"iter"
	"slices"
	"time"
)

// placementSearch is the maximum number of workers examined when choosing one to load a function.
const placementSearch = 256

// pickColdWorker picks the worker that loads a function: the first in placement order whose queue delay is at
// most the median, or the one with the lowest delay if all are above it. Delays below the median count as the
// median, because a worker without observations looks idle. An ejected worker is used only if no healthy one
// is left, or for a request bound to its key scope. All front ends rank the workers of a function alike, so
// that they load it at the same workers without communicating.
func (s *Scheduler) pickColdWorker(
	function *functionRecord, request *requestRecord, minIdle time.Duration,
) *workerRecord {
	if minIdle > anyIdle && s.now < s.endpoints.noIdleWorkerUntil {
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
			return best // no other candidate has a lower delay
		}
	}
	if best == nil && minIdle > anyIdle {
		s.endpoints.noIdleWorkerUntil = max(s.now+freshnessWindow, s.oldestContact()+minIdle)
	}
	return best
}

// coldCandidates returns the workers that may load a function, in placement order. For a request bound to a
// small cell it returns only the members of that cell, which avoids a search of all workers.
func (s *Scheduler) coldCandidates(function *functionRecord, request *requestRecord) iter.Seq[*workerRecord] {
	if request.boundToKeyScope() && request.class.KeyScope == ScopeCell {
		members := s.cellMembers(request.firstLocation.cell)
		if len(members) <= placementSearch {
			return slices.Values(s.inRendezvousOrder(function, members))
		}
	}
	return s.placementOrder(function)
}

// mayLoad reports whether a worker may load a function for a request now.
func (s *Scheduler) mayLoad(function *functionRecord, request *requestRecord, worker *workerRecord) bool {
	if !s.acceptsLoads(worker) || function.replicaOn(worker) != nil || !s.mayExecuteOn(request, worker) {
		return false
	}
	if worker.isEjected(function.class) && s.hasHealthy(function.class) && !request.boundToKeyScope() {
		return false
	}
	return s.hasHeadroom(worker, request)
}
