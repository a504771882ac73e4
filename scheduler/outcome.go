package scheduler

import "time"

const (
	averageWindow     = 20                     // samples that a moving average remembers
	defaultRunTime    = 150 * time.Millisecond // before any response, and at most
	defaultRunDivisor = 4                      // this part of the latency objective
	defaultLoadTime   = time.Second            // before any load was seen
	minRunTime        = time.Millisecond       // guards every rate against a run of no time
)

// recordOutcome learns from the end of an attempt about the function, the replica and the worker.
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
		if replica.loading && replica.inFlight == 0 { // what was to trigger its load was never sent
			function.dropReplica(replica)
		}
	case Timeout, Cancelled: // a cancelled attempt tells of a delay as well
		if replica.loading {
			function.dropReplica(replica)
		}
		if request.triggeredLoad {
			return
		}
		if silent && outcome.Latency > s.responseTimeout(request) {
			s.eject(worker, function.class, minSilentEjectionTime, noResponse)
		} else if outcome.Latency > s.queueDelay(worker) { // else its client was impatient
			s.recordQueueDelay(worker, function.class, outcome.Latency)
		}
	}
}

// recordOverload takes an attempt that was rejected as overloaded, for want of memory or of an execution
// slot.
func (s *Scheduler) recordOverload(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	worker, function := replica.worker, request.function
	hasSlot := s.settings.ReportsQueueDepth && outcome.QueueDepth < function.concurrency
	if request.triggeredLoad || hasSlot { // no replica is loaded, and there is no memory for one
		worker.noLoadsUntil = s.now + freshnessWindow
		function.dropReplica(replica)
		return
	}
	s.decreaseLimit(worker)
	delay := 2 * (s.loadCost(function) + s.expectedRunTime(function)) // so that a load is sooner
	s.delay.set(worker, s.now, float64(delay))
}

// recordError takes an error response. It counts against the worker only where the function ran somewhere
// before: else it may be the function's own fault, as with one that does not exist.
func (s *Scheduler) recordError(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	function := request.function
	if request.triggeredLoad { // guards against a load that is awaited for ever and counts against all others
		function.dropReplica(replica)
	}
	if outcome.ColdStart == ColdStartFailed {
		function.dropReplica(replica)
		s.breaker.recordFailure(s.now, s.settings.Seed)
	} else if !request.triggeredLoad || function.runTime.Samples > 0 {
		s.recordHealth(replica.worker, function.class, false)
	}
}

// recordLoadResult takes the result of a load order.
func (s *Scheduler) recordLoadResult(replica *replicaRecord, result LoadResult) {
	worker, function := replica.worker, replica.function
	replica.loadOrdered, replica.loading, replica.lastUsed = false, false, s.now
	if result.Status != OK {
		worker.noLoadsUntil = s.now + freshnessWindow
		function.dropReplica(replica)
	} else if result.Latency > residencyQueryTimeout { // else it was loaded already
		s.recordLoadTime(function, result.Latency)
	}
	if result.Status == Timeout {
		s.recordHealth(worker, function.class, false)
	}
}

// connectionLost takes the connection or the process of a worker for gone: a dead process holds no replica.
// It guards against a death that the endpoint list reports late.
func (s *Scheduler) connectionLost(worker *workerRecord) {
	s.dropReplicasOn(worker)
	for class := range worker.healthByClass {
		s.eject(worker, class, minEjectionTime, lostConnection)
	}
}
