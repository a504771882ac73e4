package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	idleProbeAfter           = 60 * time.Second // without contact until a worker is probed: 12 times the source's 5 s
	evictionMemory           = 10 * time.Second // memory of what loads evicted
	maxEvictionCost          = 3.0              // loads that one load may cost others, at most
	noiseDivisor             = 5                // a queue delay of this part of a run is noise
	normalLoadingConcurrency = 2                // requests that wait for a load at a worker that is not slower
	minRunDivisor            = 4                // of the expected run, that a run without its delay takes at least
)

// considerScaleOut is the comparison of the design: queued requests go to a cold worker only where the warm
// replicas need longer to drain the queue than a load and one run there take.
func (s *Scheduler) considerScaleOut(function *functionRecord) {
	request := function.queue[0]
	if !s.hasUsableReplica(function) {
		if !s.queryResidency(function) {
			s.startLoad(function, request, s.pickColdWorker(function, request, noMinIdle), function.concurrency)
		}
		return
	}
	if worker := s.pickColdWorker(function, request, noMinIdle); worker != nil {
		pending, run := len(function.queue)+function.inFlight(), s.serviceTime(function)
		coldRun := s.queueDelay(worker) + run
		usualRun := s.delay.median + run
		if s.timeToDrain(function, pending, ownBacklog) > s.expectedLoadTime(function)+coldRun ||
			s.timeToDrain(function, pending, allBacklogs) > s.loadCost(function)+max(coldRun, usualRun) {
			if !s.queryResidency(function) {
				s.startLoad(function, request, worker, byQueueDelay)
			}
			return
		}
	}
	if function.hasLoadingReplica() {
		return
	}
	if worker := s.pickColdWorker(function, request, idleProbeAfter); worker != nil { // the design's probe
		s.startLoad(function, request, worker, singleRequest)
		return
	}
	for _, request := range slices.Clone(function.queue) { // no load helps, however long the queue delay
		if replica := s.pickWarmReplica(request, infiniteDuration); replica != nil {
			s.sendAttempt(request, replica)
		}
	}
}

// loadCost is the time of a load of the function and, as in the design's source, of loading again what it
// evicts: as often as replicas that we counted on were found gone for each load of ours.
func (s *Scheduler) loadCost(function *functionRecord) time.Duration {
	lost := s.evictions.lostReplicas.Read(s.now, evictionMemory)
	reloads := min(maxEvictionCost, lost/max(1, s.evictions.startedLoads.Read(s.now, evictionMemory)))
	return time.Duration(float64(s.expectedLoadTime(function)) * (1 + reloads))
}

// timeToDrain is how long the usable replicas of a function need for so many requests, loading ones from the
// time they should be loaded; with allBacklogs also behind the requests of other front ends there.
func (s *Scheduler) timeToDrain(function *functionRecord, requests int, backlog backlogScope) time.Duration {
	var servers []estimate.Server
	run, load := s.expectedRunTime(function), s.expectedLoadTime(function)
	for _, replica := range function.replicas {
		worker := replica.worker
		if !s.isUsable(worker, function.class) {
			continue
		}
		delay := time.Duration(backlog) * s.queueDelay(worker)
		runHere := max(run/minRunDivisor, replica.runTime.Duration(run)-delay) // its mean contains the delay
		concurrency := min(float64(function.concurrency), worker.concurrencyLimit)
		server := estimate.Server{Rate: concurrency / float64(runHere), From: float64(delay)}
		if replica.loading {
			server.From = float64(max(0, replica.loadStartedAt+load-s.now))
		}
		servers = append(servers, server)
	}
	return estimate.DrainTime(servers, float64(max(1, requests)), infiniteDuration)
}

// startLoad starts a load of a function on a cold worker, by a load order or by sending the request there.
// concurrency limits the requests that wait for the load; byQueueDelay lets the queue delay there decide. It
// does nothing where worker is nil or a limit on loads forbids it.
func (s *Scheduler) startLoad(function *functionRecord, request *requestRecord, worker *workerRecord,
	concurrency int,
) {
	if worker == nil || !s.breaker.allows(s.now) {
		return
	}
	if concurrency == byQueueDelay && s.queueDelay(worker) <= s.unloadedRunTime(function.class)/noiseDivisor {
		concurrency = normalLoadingConcurrency
	}
	replica := newLoadingReplica(function, worker, max(singleRequest, concurrency), s.now)
	if s.settings.AnswersNotLoaded || request == nil {
		key := replicaKey{worker.ID, function.id}
		_, busy := s.loadOrders[key]
		if busy || !s.settings.LoadOrdersAllowed || !s.loadRate.allows(s.now, &s.settings) {
			return
		}
		replica.loadOrdered, replica.prewarmed, s.loadOrders[key] = true, request == nil, oneReplica
		s.actions.Load(worker.ID, function.id, oneReplica)
	} else {
		s.sendAttempt(request, replica)
	}
	s.breaker.loadsInFlight++
	s.evictions.startedLoads.Add(s.now, evictionMemory, 1)
	s.activate(function)
	function.replicas = append(function.replicas, replica)
}
