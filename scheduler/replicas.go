package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file keeps the functions, their queues, and the beliefs about where they are loaded; it decides nothing.

// Replicas that a load order asks for.
const (
	residencyQuery = 0 // none: it only asks how many are loaded
	oneReplica     = 1
)

// Limits of the requests that wait for a load, as startLoad takes them.
const (
	byQueueDelay  = 0
	singleRequest = 1
)

// anyIdle lets pickColdWorker take workers however lately they were contacted.
const anyIdle time.Duration = 0

// backlogScope says whose requests the time to drain a function's queue includes.
type backlogScope int

const (
	ownBacklog  backlogScope = iota // this front end's
	allBacklogs                     // all front ends', as the queue delays at the workers tell
)

// functionRecord is what is known of a function, and its requests that wait here.
type functionRecord struct {
	id                 FunctionID
	class              int
	sequence           uint64        // of its addition to the table
	active             bool          // it is in functionTable.active, else in idle
	concurrency        int           // requests that one replica executes at a time
	advertisedLoadTime time.Duration // usual load time, 0 if not advertised
	queue              []*requestRecord
	replicas           []*replicaRecord
	runTime            estimate.MovingAverage // nanoseconds
	loadTime           estimate.MovingAverage // nanoseconds
	rendezvous         workerOrder            // in the order that all front ends share
	preferred          workerOrder            // the first targetReplicaCount, in the order of this front end
	rotation           int                    // where pickWarmReplica begins
	pendingQueries     int                    // residency queries without an answer
	queriedAt          time.Duration          // when residency was last queried
	lastUsed           time.Duration          // when it was last requested
	requestedRunTime   estimate.Decayed       // nanoseconds, requested of this front end
}

// replicaRecord is the belief that a worker holds a function loaded, or is loading it for us.
type replicaRecord struct {
	worker             *workerRecord
	function           *functionRecord
	inFlight           int
	loadingConcurrency int  // requests that may wait there while it is loading
	loading            bool // no response since its load began
	prewarmed          bool // ordered ahead of requests, which go elsewhere and need not wait for it
	loadOrdered        bool // its load order is in flight; requests wait here until that ends
	loadStartedAt      time.Duration
	lastUsed           time.Duration
	lastEndedAt        time.Duration          // when an attempt last ended, by the time that the worker reported
	runTime            estimate.MovingAverage // nanoseconds, here
}

// replicaKey names the replica of a function at a worker.
type replicaKey struct {
	worker   WorkerID
	function FunctionID
}

// dropReplicasOn drops every belief about what a worker holds.
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

// hasUsableReplica is whether some believed replica is at a worker that may be sent requests now.
func (s *Scheduler) hasUsableReplica(function *functionRecord) bool {
	return slices.ContainsFunc(function.replicas, func(replica *replicaRecord) bool {
		return s.isUsable(replica.worker, function.class)
	})
}

// hasReplicaFor is whether some believed replica may be sent the request once it has headroom.
func (s *Scheduler) hasReplicaFor(request *requestRecord) bool {
	function := request.function
	return slices.ContainsFunc(function.replicas, func(replica *replicaRecord) bool {
		return s.isUsable(replica.worker, function.class) && s.mayExecuteOn(request, replica.worker)
	})
}

// awaitsResidency is whether answers to residency queries are still waited for.
func (s *Scheduler) awaitsResidency(function *functionRecord) bool {
	return function.pendingQueries > 0 && s.now-function.queriedAt < residencyQueryTimeout
}

// recordResidency takes the answer to a residency query.
func (s *Scheduler) recordResidency(function *functionRecord, worker *workerRecord, loaded int) {
	function.pendingQueries = max(0, function.pendingQueries-1)
	if loaded > 0 && function.replicaOn(worker) == nil && worker.State == Ready {
		s.activate(function)
		function.replicas = append(function.replicas, &replicaRecord{worker: worker, function: function, lastUsed: s.now})
	}
}

// replicaOn returns the replica believed to be at a worker, nil if none is.
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

// dropIdleReplicas drops the beliefs in replicas that were last used at a time or before: they may be unloaded by now.
func (f *functionRecord) dropIdleReplicas(lastUsed time.Duration) {
	f.replicas = slices.DeleteFunc(f.replicas, func(replica *replicaRecord) bool {
		return replica.inFlight == 0 && !replica.loading && replica.lastUsed <= lastUsed
	})
}

// hasLoadingReplica is whether a replica is loading that queued requests may wait for.
func (f *functionRecord) hasLoadingReplica() bool {
	return slices.ContainsFunc(f.replicas, func(replica *replicaRecord) bool {
		return replica.loading && !replica.prewarmed
	})
}

// isReferenced is whether a request, a replica or a residency query of the function is left.
func (f *functionRecord) isReferenced() bool {
	return len(f.queue)+len(f.replicas)+f.pendingQueries > 0
}

// inFlight counts the attempts in flight.
func (f *functionRecord) inFlight() (count int) {
	for _, replica := range f.replicas {
		count += replica.inFlight
	}
	return count
}

// newLoadingReplica returns the belief in a replica whose load starts now.
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

// capacity is how many requests of ours the replica may hold.
func (r *replicaRecord) capacity() int {
	if r.loading {
		return r.loadingConcurrency
	}
	return r.function.concurrency
}

// without returns the list with x taken out of it.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}
