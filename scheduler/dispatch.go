package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// headroomByRank is the fraction of a worker's concurrency limit that requests of each queue rank may fill.
var headroomByRank = [...]float64{inTime: 1, pastObjective: 0.5, overQuota: 0.35}

// crossZoneCost is the cost of sending to a worker in another zone, expressed in requests in flight.
const crossZoneCost = 0.5

// comparePriority orders functions by the priority weight of their class, highest first, and within equal
// weights by when they were first requested. Freed headroom is offered to queued functions in this order.
func (s *Scheduler) comparePriority(a, b *functionRecord) int {
	classes := s.settings.Classes
	byWeight := cmp.Compare(classes[b.class].PriorityWeight, classes[a.class].PriorityWeight)
	return cmp.Or(byWeight, cmp.Compare(a.sequence, b.sequence))
}

// dispatch sends queued requests of a function to its warm replicas while these have headroom, and then
// decides whether to scale out for the remaining requests.
func (s *Scheduler) dispatch(function *functionRecord) {
	if len(function.queue) == 0 {
		return
	}
	slices.SortStableFunc(function.queue, func(a, b *requestRecord) int {
		return int(s.queueRank(a) - s.queueRank(b))
	})
	for _, request := range slices.Clone(function.queue) {
		soonerThanLoad := s.loadCost(function) + s.expectedRunTime(function) + s.delay.median
		if replica := s.pickWarmReplica(request, soonerThanLoad); replica != nil {
			s.sendAttempt(request, replica)
		} else if !request.mayHaveExecuted {
			break
		} else if request.boundToKeyScope() && !s.hasReplicaFor(request) {
			s.startLoad(function, request, s.pickColdWorker(function, request, anyIdle), singleRequest)
		}
	}
	if len(function.queue) > 0 {
		s.considerScaleOut(function)
	}
}

// queueRank returns the rank of a queued request: requests within quota and in time come first, then those
// past their latency objective, then those over their tenant's quota.
func (s *Scheduler) queueRank(request *requestRecord) queueRank {
	switch {
	case request.overQuota:
		return overQuota
	case s.now+s.expectedRunTime(request.function) > request.objectiveAt:
		return pastObjective
	}
	return inTime
}

// pickWarmReplica picks the replica with the lowest cost in requests in flight, queue delay and zone
// crossing, rotating among ties, from those with headroom. It skips replicas whose queue delay exceeds
// maxDelay or the time left until the latency objective (until the timeout, for a late request), and returns
// nil if none remains. The limit guards against work whose result nobody awaits: when clients time out
// quickly and their retries fill the queues, late responses would displace responses in time.
func (s *Scheduler) pickWarmReplica(request *requestRecord, maxDelay time.Duration) *replicaRecord {
	function := request.function
	var best *replicaRecord
	leastCost := math.Inf(1)
	run := float64(s.expectedRunTime(function))
	remaining := min(request.objectiveAt, request.deadline) - s.now - s.serviceTime(function)
	if remaining < 0 {
		remaining += max(0, request.deadline-request.objectiveAt)
	}
	n := len(function.replicas)
	for i := range n {
		replica := function.replicas[(function.rotation+i)%n]
		if !s.accepts(replica, request, min(maxDelay, remaining)) {
			continue
		}
		worker := replica.worker
		cost := float64(len(worker.inFlight)+1) + float64(s.queueDelay(worker))/run +
			crossZoneCost*float64(s.crossZone(worker))
		if cost < leastCost {
			best, leastCost = replica, cost
		}
	}
	function.rotation++
	return best
}

// accepts reports whether a replica may be sent a request now.
func (s *Scheduler) accepts(replica *replicaRecord, request *requestRecord, maxDelay time.Duration) bool {
	worker, class := replica.worker, request.function.class
	if replica.loadOrdered || replica.inFlight >= replica.capacity() || s.queueDelay(worker) > maxDelay {
		return false
	}
	if !s.isUsable(worker, class) || !s.mayExecuteOn(request, worker) {
		return false
	}
	if request.class.Idempotency == NonIdempotent && worker.isEjected(class) {
		return false
	}
	return s.hasHeadroom(worker, request)
}

// hasHeadroom reports whether a worker may be sent one more request. Lower queue ranks get less headroom, so
// that when workers are scarce, requests in time and within quota are preferred across all functions.
func (s *Scheduler) hasHeadroom(worker *workerRecord, request *requestRecord) bool {
	limit := max(1, worker.concurrencyLimit*headroomByRank[s.queueRank(request)])
	return float64(len(worker.inFlight)) < limit && s.slowStartAllows(worker, request)
}
