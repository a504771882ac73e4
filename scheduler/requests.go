package scheduler

import "time"

// This file keeps the requests; it decides nothing.

// requestRecord is a request that is queued here or has an attempt in flight.
type requestRecord struct {
	Request
	class           *Class
	function        *functionRecord
	deadline        time.Duration // when its client gives up
	objectiveAt     time.Duration // until when its response is in time
	attempts        int
	replica         *replicaRecord // where its attempt is in flight; nil while queued
	sentAt          time.Duration
	queuedBehindOwn bool // sent while our own requests used the replica's whole concurrency
	triggeredLoad   bool // sent to a replica that was not known to be loaded
	mayHaveExecuted bool // an earlier attempt may have executed
	firstSentAt     time.Duration
	firstWorker     WorkerInfo // where, for the scope of its idempotency key
	closed          bool       // no answer is owed any more
	streamed        bool       // its response has begun
	overQuota       bool       // of its tenant
}

// queueRank is the order of queued requests, first to last.
type queueRank int

const (
	inTime queueRank = iota
	pastObjective
	overQuota
)

// addRequest records a request and puts it into the queue of its function.
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

// closeRequest notes that no answer is owed any more, and forgets the request unless an attempt is in flight.
func (s *Scheduler) closeRequest(request *requestRecord) {
	request.closed = true
	if request.replica == nil {
		request.function.queue = without(request.function.queue, request)
		delete(s.requests, request.ID)
	}
}

// detach ends the attempt in flight and returns the replica that it was sent to.
func (r *requestRecord) detach() *replicaRecord {
	replica := r.replica
	replica.worker.inFlight = without(replica.worker.inFlight, r)
	replica.inFlight--
	r.replica = nil
	return replica
}

// recordPossibleExecution notes that the attempt that ended at a worker may have executed; the first one counts.
func (r *requestRecord) recordPossibleExecution(worker *workerRecord) {
	if !r.mayHaveExecuted {
		r.mayHaveExecuted, r.firstSentAt, r.firstWorker = true, r.sentAt, worker.WorkerInfo
	}
}

// boundToKeyScope is whether the request may be sent only to the workers that drop its repeats.
func (r *requestRecord) boundToKeyScope() bool {
	return r.mayHaveExecuted && r.class.Idempotency == IdempotentByKey
}

// isResponse is whether the worker itself answered.
func (s Status) isResponse() bool {
	return s == OK || s == Overloaded || s == NotLoaded || s == Error
}

// waitedForLoad is whether the attempt waited for a load, its own or another request's.
func (o *Outcome) waitedForLoad() bool {
	return o.ColdStart == ColdStartTriggered || o.ColdStart == ColdStartAwaited
}
