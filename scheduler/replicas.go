package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file defines the functions, their queues and the replicas assumed to be loaded. It contains no scheduling
// decisions.

// Numbers of replicas in a load order.
const (
	residencyQuery = 0 // only queries how many replicas are loaded
	oneReplica     = 1
)

// Values of startLoad's limit on the requests that wait for a load.
const (
	byQueueDelay  = 0
	singleRequest = 1
)

// anyIdle makes pickColdWorker consider workers regardless of how recently they were contacted.
const anyIdle time.Duration = 0

// backlogScope selects whose requests are included in the time to drain a function's queue.
type backlogScope int

const (
	ownBacklog  backlogScope = iota // requests of this front end
	allBacklogs                     // requests of all front ends, estimated from queue delays at the workers
)

// functionRecord is the state of a function and its queue at this front end.
type functionRecord struct {
	id                 FunctionID
	class              int
	sequence           uint64        // order in which functions were added to the table
	active             bool          // true if in functionTable.active, false if in functionTable.idle
	concurrency        int           // requests that one replica executes at a time
	advertisedLoadTime time.Duration // usual load time; 0 if not advertised
	requests           int           // requests that are queued or have an attempt in flight
	queue              []*requestRecord
	replicas           []*replicaRecord
	runTime            estimate.MovingAverage // nanoseconds
	loadTime           estimate.MovingAverage // nanoseconds
	rendezvous         workerOrder            // order shared by all front ends
	preferred          workerOrder            // first targetReplicaCount workers, in this front end's order
	rotation           int                    // index at which pickWarmReplica begins its search
	pendingQueries     int                    // unanswered residency queries
	queriedAt          time.Duration          // time of the last residency query
	lastUsed           time.Duration          // time of the last request
	requestedRunTime   estimate.Decayed       // nanoseconds requested of this front end, decayed
}

// replicaRecord is a replica that this front end assumes to be loaded at a worker, or that it is loading there. The
// assumption may be wrong: the worker may have evicted the replica.
type replicaRecord struct {
	worker             *workerRecord
	function           *functionRecord
	inFlight           int
	loadingConcurrency int  // requests that may wait at the replica while it is loading
	loading            bool // no response since the load began
	prewarmed          bool // ordered ahead of demand; queued requests do not wait for it
	loadOrdered        bool // a load order is in flight; no requests are sent until it ends
	loadStartedAt      time.Duration
	lastUsed           time.Duration
	lastEndedAt        time.Duration          // when the last attempt ended, by the latency that the worker reported
	runTime            estimate.MovingAverage // nanoseconds, at this replica
}

// replicaKey identifies the replica of a function at a worker.
type replicaKey struct {
	worker   WorkerID
	function FunctionID
}

// dropReplicasOn drops all replicas assumed to be loaded at a worker.
func (s *Scheduler) dropReplicasOn(worker *workerRecord) {
	for _, function := range s.functions.active {
		if replica := function.replicaOn(worker); replica != nil {
			function.dropReplica(replica)
		}
	}
}

// countLoadsInFlight counts the replicas that are loading for this front end.
func (s *Scheduler) countLoadsInFlight() (count int) {
	for _, function := range s.functions.active {
		for _, replica := range function.replicas {
			if replica.loading {
				count++
			}
		}
	}
	return count
}

// hasUsableReplica reports whether some replica is at a worker that may be sent requests now.
func (s *Scheduler) hasUsableReplica(function *functionRecord) bool {
	return slices.ContainsFunc(function.replicas, func(replica *replicaRecord) bool {
		return s.isUsable(replica.worker, function.class)
	})
}

// hasReplicaFor reports whether some replica may be sent the request once it has headroom.
func (s *Scheduler) hasReplicaFor(request *requestRecord) bool {
	function := request.function
	return slices.ContainsFunc(function.replicas, func(replica *replicaRecord) bool {
		return s.isUsable(replica.worker, function.class) && s.mayExecuteOn(request, replica.worker)
	})
}

// awaitsResidency reports whether answers to residency queries are still awaited.
func (s *Scheduler) awaitsResidency(function *functionRecord) bool {
	return function.pendingQueries > 0 && s.now-function.queriedAt < residencyQueryTimeout
}

// recordResidency handles the answer to a residency query.
func (s *Scheduler) recordResidency(function *functionRecord, worker *workerRecord, loaded int) {
	function.pendingQueries = max(0, function.pendingQueries-1)
	if loaded > 0 && function.replicaOn(worker) == nil && worker.State == Ready {
		s.activate(function)
		function.replicas = append(function.replicas, &replicaRecord{worker: worker, function: function, lastUsed: s.now})
	}
}

// replicaOn returns the replica assumed to be at a worker, or nil if there is none.
func (f *functionRecord) replicaOn(worker *workerRecord) *replicaRecord {
	for _, replica := range f.replicas {
		if replica.worker == worker {
			return replica
		}
	}
	return nil
}

func (f *functionRecord) dropReplica(replica *replicaRecord) {
	f.replicas = without(f.replicas, replica)
}

// dropIdleReplicas drops the replicas that were last used at or before a time, because they may have been unloaded.
func (f *functionRecord) dropIdleReplicas(lastUsed time.Duration) {
	f.replicas = slices.DeleteFunc(f.replicas, func(replica *replicaRecord) bool {
		return replica.inFlight == 0 && !replica.loading && replica.lastUsed <= lastUsed
	})
}

// hasLoadingReplica reports whether some replica is loading that queued requests may wait for.
func (f *functionRecord) hasLoadingReplica() bool {
	return slices.ContainsFunc(f.replicas, func(replica *replicaRecord) bool {
		return replica.loading && !replica.prewarmed
	})
}

// isReferenced reports whether the function has a queued request, a replica or a pending residency query.
func (f *functionRecord) isReferenced() bool {
	return len(f.queue)+len(f.replicas)+f.pendingQueries > 0
}

// isBusy reports whether the function has a request, queued or in flight, or a replica that is loading.
func (f *functionRecord) isBusy() bool {
	return f.requests > 0 || slices.ContainsFunc(f.replicas, func(replica *replicaRecord) bool { return replica.loading })
}

// inFlight counts the attempts in flight.
func (f *functionRecord) inFlight() (count int) {
	for _, replica := range f.replicas {
		count += replica.inFlight
	}
	return count
}

// newLoadingReplica returns a replica whose load starts now.
func newLoadingReplica(
	function *functionRecord, worker *workerRecord, concurrency int, now time.Duration,
) *replicaRecord {
	return &replicaRecord{
		worker:             worker,
		function:           function,
		loading:            true,
		loadingConcurrency: concurrency,
		loadStartedAt:      now,
		lastUsed:           now,
	}
}

// capacity returns how many requests of this front end the replica may hold.
func (r *replicaRecord) capacity() int {
	if r.loading {
		return r.loadingConcurrency
	}
	return r.function.concurrency
}

// without removes x from the list in place and returns the list.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}
