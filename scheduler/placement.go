package scheduler

import (
	"iter"
	"math"
	"time"

	"havencart/internal/estimate"
)

const (
	demandMemory     = 10 * time.Second // time constant of the demand estimates
	demandSmoothing  = 10               // runs added to the total demand, for shares of few requests
	placementSpread  = 3.0              // replicas for each worker that the function's demand would fill
	rendezvousStep   = 32               // constant number of workers ranked beyond those needed
	rendezvousMargin = 2                // a further worker is ranked per rendezvousMargin needed
)

// placementOrder returns the workers in the order in which this front end would load a function. The first
// targetReplicaCount workers of the rendezvous order are rotated to start at a position specific to this
// front end, with workers of its own zone first; the rest follow in rendezvous order.
func (s *Scheduler) placementOrder(function *functionRecord) iter.Seq[*workerRecord] {
	return func(yield func(*workerRecord) bool) {
		preferred := s.preferredWorkers(function)
		for _, worker := range preferred {
			if !yield(worker) {
				return
			}
		}
		for i := len(preferred); i < len(s.endpoints.list); i++ {
			if !yield(s.rendezvousOrder(function, i+1)[i]) {
				return
			}
		}
	}
}

// preferredWorkers returns the first targetReplicaCount workers in placement order, or nil if that count is
// one.
func (s *Scheduler) preferredWorkers(function *functionRecord) []*workerRecord {
	target := s.targetReplicaCount(function)
	if target < 2 {
		return nil
	}
	preferred := &function.preferred
	if preferred.version == s.endpoints.version && len(preferred.workers) == target {
		return preferred.workers
	}
	order := s.rendezvousOrder(function, target)
	own := int(estimate.HashPair(uint64(function.id), uint64(s.settings.FrontEndIndex+1)) % uint64(target))
	preferred.version = s.endpoints.version
	preferred.workers = s.ownZoneFirst(order[own:target], order[:own])
	return preferred.workers
}

// ownZoneFirst joins two lists of workers and moves those in this front end's zone to the front.
func (s *Scheduler) ownZoneFirst(first, second []*workerRecord) []*workerRecord {
	joined := make([]*workerRecord, 0, len(first)+len(second))
	for crossZone := range 2 {
		for _, part := range [][]*workerRecord{first, second} {
			for _, worker := range part {
				if s.crossZone(worker) == crossZone {
					joined = append(joined, worker)
				}
			}
		}
	}
	return joined
}

// rendezvousLength returns how many workers of a rendezvous order to compute at once when count are needed.
// Most functions need only the first few, but extending an order later means computing it again from the
// start.
func rendezvousLength(count, workers int) int {
	length := rendezvousStep + count + count/rendezvousMargin
	if 2*length >= workers {
		return workers
	}
	return length
}

// targetReplicaCount returns on how many workers a function should be loaded for the requests of all front
// ends. A single front end has few requests at a time and no backlog, but its requests are a sample of all
// requests: a function with a given share of the work needs that share of the workers, multiplied by
// placementSpread because these workers serve other functions too. This does harm if memory is scarce, or if
// this front end's clients use functions that the clients of other front ends do not.
func (s *Scheduler) targetReplicaCount(function *functionRecord) int {
	run := float64(s.expectedRunTime(function)) // a function's first request is no evidence of more to come
	own := max(0, function.requestedRunTime.Read(s.now, demandMemory)-run)
	share := own / (s.demand.runTime.Read(s.now, demandMemory) + demandSmoothing*run)
	workers := len(s.endpoints.list)
	return min(workers, int(math.Ceil(max(1, placementSpread*share*float64(workers)))))
}
