package scheduler

import "time"

// This file defines the request records. It contains no scheduling decisions.

// requestRecord is a request that is queued here or has an attempt in flight.
type requestRecord struct {
	Request
	class           *Class
	function        *functionRecord
	deadline        time.Duration // time at which the client gives up
	objectiveAt     time.Duration // time until which a response is in time
	attempts        int
	replica         *replicaRecord // replica of the attempt in flight; nil while queued
	sentAt          time.Duration
	queuedBehindOwn bool          // sent while this front end's requests used the replica's whole concurrency
	triggeredLoad   bool          // sent to a replica that was not known to be loaded
	mayHaveExecuted bool          // an earlier attempt may have executed
	firstSentAt     time.Duration // send time of the first attempt that may have executed
	sentTo          location      // of the worker of the attempt in flight, when it was sent
	firstLocation   location      // sentTo of the first attempt that may have executed, for the scope of its idempotency key
	closed          bool          // no response is owed any longer
	streamed        bool          // the response has begun
	overQuota       bool          // over the quota of its tenant
}

// location is a worker's zone and cell, to which the scope of an idempotency key refers.
type location struct{ zone, cell int }

// queueRank is the rank of a queued request; lower ranks are sent first.
type queueRank int

const (
	inTime queueRank = iota
	pastObjective
	overQuota
)

// addRequest records a request and appends it to the queue of its function.
func (s *Scheduler) addRequest(received Request) *requestRecord {
	function := s.trackFunction(received.Function, received.Class)
	function.concurrency = max(1, received.ReplicaConcurrency)
	function.advertisedLoadTime = received.LoadTimeEstimate
	function.lastUsed = s.now
	class := &s.settings.Classes[received.Class]
	request := &requestRecord{
		Request:     received,
		class:       class,
		function:    function,
		deadline:    s.now + received.Timeout,
		objectiveAt: s.now + class.LatencyObjective,
	}
	if s.tenants.has(received.Tenant) {
		request.overQuota = s.tenants.exceeds(received.Tenant, s.settings.Tenants[received.Tenant].Share)
	}
	s.requests[received.ID] = request
	function.requests++
	s.loadRate.recordRequest(s.now, s.settings.LoadRateWindow)
	s.recordDemand(request)
	function.queue = append(function.queue, request)
	return request
}

// sendAttempt sends a queued request to the worker of a replica.
func (s *Scheduler) sendAttempt(request *requestRecord, replica *replicaRecord) {
	function, worker := request.function, replica.worker
	function.queue = without(function.queue, request)
	request.replica, request.sentAt = replica, s.now
	request.sentTo = location{replica.worker.Zone, replica.worker.Cell}
	request.triggeredLoad = replica.loading
	request.queuedBehindOwn = replica.inFlight >= function.concurrency
	request.attempts++
	replica.inFlight++
	replica.lastUsed, worker.lastContact = s.now, s.now
	worker.inFlight = append(worker.inFlight, request)
	if !worker.busy {
		worker.busy = true
		s.endpoints.busy = append(s.endpoints.busy, worker)
	}
	s.recordSlowStartSend(worker)
	worker.sendTimes = append(dropBefore(worker.sendTimes, s.now-s.settings.OverloadWindow), s.now)
	s.actions.Send(request.ID, worker.ID, 0)
}

// closeRequest marks a request as owed no response any longer, and removes it unless an attempt is in flight.
func (s *Scheduler) closeRequest(request *requestRecord) {
	request.closed = true
	if request.replica == nil {
		request.function.queue = without(request.function.queue, request)
		s.removeRequest(request)
	}
}

// removeRequest removes the record of a closed request that has no attempt in flight.
func (s *Scheduler) removeRequest(request *requestRecord) {
	delete(s.requests, request.ID)
	request.function.requests--
}

// detach removes the attempt in flight from its replica and worker, and returns the replica.
func (r *requestRecord) detach() *replicaRecord {
	replica := r.replica
	replica.worker.inFlight = without(replica.worker.inFlight, r)
	replica.inFlight--
	r.replica = nil
	return replica
}

// recordPossibleExecution records that the attempt that has just ended may have executed. Only the first such
// attempt is recorded.
func (r *requestRecord) recordPossibleExecution() {
	if !r.mayHaveExecuted {
		r.mayHaveExecuted, r.firstSentAt, r.firstLocation = true, r.sentAt, r.sentTo
	}
}

// boundToKeyScope reports whether the request may be sent only to workers that drop its repeats.
func (r *requestRecord) boundToKeyScope() bool {
	return r.mayHaveExecuted && r.class.Idempotency == IdempotentByKey
}

// isResponse reports whether the worker itself answered.
func (s Status) isResponse() bool {
	return s == OK || s == Overloaded || s == NotLoaded || s == Error
}

// waitedForLoad reports whether the attempt waited for a load, triggered by itself or by another request.
func (o *Outcome) waitedForLoad() bool {
	return o.ColdStart == ColdStartTriggered || o.ColdStart == ColdStartAwaited
}
