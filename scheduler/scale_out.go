package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	// idleProbeAfter is the time without contact after which a worker is probed: 12 times the 5 s of the
	// design's source.
	idleProbeAfter           = 60 * time.Second
	evictionMemory           = 10 * time.Second // time constant of the eviction estimates
	maxEvictionCost          = 3.0              // maximum number of reloads charged to one load
	noiseDivisor             = 5                // a queue delay below 1/noiseDivisor of a run is noise
	normalLoadingConcurrency = 2                // requests waiting for a load where the queue delay is noise
	minRunDivisor            = 4                // least run without delay: expected run / minRunDivisor
)

// considerScaleOut makes the design's comparison: it sends queued requests to a cold worker only if the warm
// replicas would take longer to drain the queue than a load and one run on the cold worker. It also makes the
// design's probe of a worker that has not been contacted for long.
func (s *Scheduler) considerScaleOut(function *functionRecord) {
	request := function.queue[0]
	if !s.hasUsableReplica(function) {
		if !s.queryResidency(function) {
			s.startLoad(function, request, s.pickColdWorker(function, request, anyIdle), function.concurrency)
		}
		return
	}
	if worker := s.pickColdWorker(function, request, anyIdle); worker != nil {
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
	for _, request := range slices.Clone(function.queue) { // no load helps: send despite the queue delay
		if replica := s.pickWarmReplica(request, infiniteDuration); replica != nil {
			s.sendAttempt(request, replica)
		}
	}
}

// loadCost returns the expected time of a load of the function plus that of reloading the replicas it evicts.
// As in the design's source, the number of reloads is estimated by the replicas found missing per load
// started.
func (s *Scheduler) loadCost(function *functionRecord) time.Duration {
	lost := s.evictions.lostReplicas.Read(s.now, evictionMemory)
	reloads := min(maxEvictionCost, lost/max(1, s.evictions.startedLoads.Read(s.now, evictionMemory)))
	return time.Duration(float64(s.expectedLoadTime(function)) * (1 + reloads))
}

// timeToDrain returns how long the usable replicas of a function need to serve the given number of requests.
// Loading replicas count from when their load should end. With allBacklogs, the requests of other front ends
// are included.
func (s *Scheduler) timeToDrain(function *functionRecord, requests int, backlog backlogScope) time.Duration {
	var servers []estimate.Server
	run, load := s.expectedRunTime(function), s.expectedLoadTime(function)
	for _, replica := range function.replicas {
		worker := replica.worker
		if !s.isUsable(worker, function.class) {
			continue
		}
		delay := time.Duration(backlog) * s.queueDelay(worker)
		runHere := max(run/minRunDivisor, replica.runTime.Duration(run)-delay) // its mean includes the delay
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
// The concurrency argument limits how many requests may wait for the load; byQueueDelay derives the limit
// from the worker's queue delay. It does nothing if worker is nil or a limit on loads forbids the load.
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
	if s.settings.ReportsNotLoaded || request == nil {
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
