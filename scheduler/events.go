package scheduler

import "time"

// This file passes events to the code that decides about them. It contains no scheduling decisions.

// WorkersChanged handles a change of the endpoint list, or the complete list if complete is set.
func (s *Scheduler) WorkersChanged(now time.Duration, list []WorkerInfo, complete bool) {
	s.now = now
	for _, worker := range s.updateEndpoints(list, complete) {
		s.dropReplicasOn(worker) // a worker that restarted, drains or was removed has no usable replicas
	}
	s.dispatchAll()
}

// WatchFailed handles a failure to get the endpoint list, and schedules another watch.
func (s *Scheduler) WatchFailed(now time.Duration) {
	s.now = now
	s.actions.SetTimer(watchRetryInterval, watchTimer)
}

// AttemptEnded handles the end of an attempt. It ignores attempts that the scheduler does not have in flight.
func (s *Scheduler) AttemptEnded(now time.Duration, outcome Outcome) {
	s.now = now
	request := s.requests[outcome.Request]
	if request == nil || request.replica == nil {
		return
	}
	replica := request.detach()
	s.recordOutcome(request, replica, &outcome)
	replica.lastEndedAt = request.sentAt + outcome.Latency
	if request.closed = request.closed || outcome.RequestClosed; request.closed {
		s.removeRequest(request)
	} else {
		s.retryOrFinish(request, outcome.Status)
	}
	s.dispatchAll() // offers the freed headroom to the queued requests of highest priority
}

// LoadEnded handles the result of a load order or of a residency query.
func (s *Scheduler) LoadEnded(now time.Duration, result LoadResult) {
	s.now = now
	key := replicaKey{result.Worker, result.Function}
	ordered, isOurs := s.loadOrders[key]
	function, worker := s.functions.byID[result.Function], s.endpoints.byID[result.Worker]
	delete(s.loadOrders, key)
	if !isOurs || worker == nil {
		return
	}
	if result.Status == ConnectFailed || result.Status == Reset {
		s.connectionLost(worker)
	}
	if function == nil {
		return
	}
	if replica := function.replicaOn(worker); ordered == residencyQuery {
		s.recordResidency(function, worker, result.Replicas)
	} else if replica != nil && replica.loadOrdered {
		s.recordLoadResult(replica, result)
	}
	s.dispatch(function)
}

// dispatchAll dispatches the queues of all active functions, highest priority first.
func (s *Scheduler) dispatchAll() {
	for _, function := range s.functions.active {
		s.dispatch(function)
	}
}

// ResponseStarted handles the start of a streamed response: the request may no longer be cancelled, because its
// timeout and latency objective no longer apply.
func (s *Scheduler) ResponseStarted(_ time.Duration, id RequestID) {
	if request := s.requests[id]; request != nil {
		request.streamed = true
	}
}

// HealthChecked handles the result of a health check. The scheduler sends no health checks, because a request that
// may be repeated provides the same evidence.
func (s *Scheduler) HealthChecked(now time.Duration, _ HealthCheckResult) { s.now = now }
