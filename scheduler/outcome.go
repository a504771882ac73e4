package scheduler

import "time"

const (
	averageWindow = 20 // number of samples that a moving average spans
	// defaultRunTime is the upper bound of the run time assumed before any response was received.
	defaultRunTime = 150 * time.Millisecond
	// defaultRunDivisor divides the latency objective to give the other upper bound.
	defaultRunDivisor = 4
	defaultLoadTime   = time.Second      // assumed before any load was observed
	minRunTime        = time.Millisecond // keeps rates finite when a run takes no measurable time
)

// recordOutcome updates the state of the function, the replica and the worker after an attempt has ended.
func (s *Scheduler) recordOutcome(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	worker, function := replica.worker, request.function
	health := &worker.healthByClass[function.class]
	silent := health.lastResponseAt < request.sentAt
	if outcome.Status.isResponse() {
		health.lastResponseAt = s.now
		s.recount(worker)
	}
	if !request.triggeredLoad && (outcome.Status == NotLoaded || outcome.waitedForLoad()) {
		s.evictions.lostReplicas.Add(s.now, evictionMemory, 1)
	}
	switch outcome.Status {
	case OK:
		s.recordSuccess(request, replica, outcome)
	case Overloaded:
		s.recordOverload(request, replica, outcome)
	case NotLoaded:
		function.dropReplica(replica)
		if outcome.ColdStart == ColdStartFailed {
			s.breaker.recordFailure(s.now, s.settings.Seed)
		}
	case ConnectFailed, Reset:
		s.connectionLost(worker)
	case Error:
		s.recordError(request, replica, outcome)
	case NotSent:
		if !outcome.ReachedWorker {
			worker.removeSend(request.sentAt)
		}
		if replica.loading && replica.inFlight == 0 { // the request that triggers the load was not sent
			function.dropReplica(replica)
		}
	case Timeout, Cancelled: // a cancelled attempt is evidence of a delay too
		if replica.loading {
			function.dropReplica(replica)
		}
		if request.triggeredLoad {
			return
		}
		if silent && outcome.Latency > s.responseTimeout(request) {
			s.eject(worker, function.class, minSilentEjectionTime, noResponse)
		} else if outcome.Latency > s.queueDelay(worker) { // otherwise the timeout was too short to tell
			s.recordQueueDelay(worker, function.class, outcome.Latency)
		}
	}
}

// recordOverload handles an attempt that was rejected as overloaded, for lack of either memory or an
// execution slot.
func (s *Scheduler) recordOverload(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	worker, function := replica.worker, request.function
	hasSlot := s.settings.ReportsQueueDepth && outcome.QueueDepth < function.concurrency
	if request.triggeredLoad || hasSlot { // no replica is loaded, and memory is too short for one
		worker.noLoadsUntil = s.now + freshnessWindow
		function.dropReplica(replica)
		return
	}
	s.decreaseLimit(worker)
	delay := 2 * (s.loadCost(function) + s.expectedRunTime(function)) // so long that a load is faster
	s.delay.set(worker, s.now, float64(delay))
}

// recordError handles an error response. It counts against the worker only if the function has run somewhere
// before; otherwise the function itself may be at fault, for example because it does not exist.
func (s *Scheduler) recordError(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	function := request.function
	// Without this, the replica would be awaited indefinitely and count against the limit of loads in flight.
	if request.triggeredLoad {
		function.dropReplica(replica)
	}
	if outcome.ColdStart == ColdStartFailed {
		function.dropReplica(replica)
		s.breaker.recordFailure(s.now, s.settings.Seed)
	} else if !request.triggeredLoad || function.runTime.Samples > 0 {
		s.recordHealth(replica.worker, function.class, false)
	}
}

// recordLoadResult handles the result of a load order.
func (s *Scheduler) recordLoadResult(replica *replicaRecord, result LoadResult) {
	worker, function := replica.worker, replica.function
	replica.loadOrdered, replica.loading, replica.lastUsed = false, false, s.now
	if result.Status != OK {
		worker.noLoadsUntil = s.now + freshnessWindow
		function.dropReplica(replica)
	} else if result.Latency > residencyQueryTimeout { // a shorter one means the function was already loaded
		s.recordLoadTime(function, result.Latency)
	}
	if result.Status == Timeout {
		s.recordHealth(worker, function.class, false)
	}
}

// connectionLost assumes that the worker's process has ended: it drops the worker's replicas and ejects the
// worker for all classes. It guards against a crash that the endpoint list reports late.
func (s *Scheduler) connectionLost(worker *workerRecord) {
	s.dropReplicasOn(worker)
	for class := range worker.healthByClass {
		s.eject(worker, class, minEjectionTime, lostConnection)
	}
}
