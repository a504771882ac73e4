package scheduler

import "time"

// This file hands events to the stages that decide about them; it decides nothing itself.

// WorkersChanged takes a change of the endpoint list, or the whole list where complete is set.
func (s *Scheduler) WorkersChanged(now time.Duration, list []WorkerInfo, complete bool) {
	s.now = now
	for _, worker := range s.updateEndpoints(list, complete) {
		s.dropReplicasOn(worker) // a process that restarted, drains or was removed holds nothing for us
	}
	s.dispatchAll()
}

// WatchFailed takes the news that the endpoint list could not be had.
func (s *Scheduler) WatchFailed(now time.Duration) {
	s.now = now
	s.actions.SetTimer(watchRetryInterval, watchTimer)
}

// AttemptEnded takes the end of an attempt; one that the scheduler does not have in flight is ignored.
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
		delete(s.requests, request.ID)
	} else {
		s.retryOrFinish(request, replica.worker, outcome.Status)
	}
	s.dispatchAll() // the headroom that came free goes to the highest priority that is queued
}

// LoadEnded takes the result of a load order or of a residency query.
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

// dispatchAll dispatches the queues of all functions that have one, highest priority first.
func (s *Scheduler) dispatchAll() {
	for _, function := range s.functions.active {
		s.dispatch(function)
	}
}

// ResponseStarted takes the news that a streamed response began: the request may no longer be cancelled, as neither
// its timeout nor its latency objective holds any longer.
func (s *Scheduler) ResponseStarted(_ time.Duration, id RequestID) {
	if request := s.requests[id]; request != nil {
		request.streamed = true
	}
}

// HealthChecked takes the result of a health check. The scheduler asks for none: a request that may be repeated tells
// as much.
func (s *Scheduler) HealthChecked(now time.Duration, _ HealthCheckResult) { s.now = now }
