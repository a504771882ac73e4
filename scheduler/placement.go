package scheduler

import (
	"iter"
	"math"
	"time"

	"havencart/internal/estimate"
)

const (
	demandMemory     = 10 * time.Second // memory of a function's part of the requested work
	demandSmoothing  = 10               // runs as if of other functions, while few were requested
	placementSpread  = 3.0              // times the workers that its part of the work fills
	rendezvousStep   = 32               // workers of a rendezvous order that are ranked beyond those needed
	rendezvousMargin = 2                // one more for so many that are needed
)

// placementOrder lists the workers in the order in which this front end would load a function: the rendezvous
// order, begun at this front end's own place among the first targetReplicaCount, its own zone first there.
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

// preferredWorkers are the first targetReplicaCount workers in placement order, none where that is one.
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
	own := int(estimate.Mix(uint64(function.id), uint64(s.settings.FrontEndIndex+1)) % uint64(target))
	preferred.version = s.endpoints.version
	preferred.workers = s.ownZoneFirst(order[own:target], order[:own])
	return preferred.workers
}

// ownZoneFirst joins two lists of workers, those of this front end's zone first.
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

// rendezvousLength is how many workers of a rendezvous order are ranked at once where count are needed of so
// many: most functions need the first few only, and an order that is made anew costs as much again.
func rendezvousLength(count, workers int) int {
	length := rendezvousStep + count + count/rendezvousMargin
	if 2*length >= workers {
		return workers
	}
	return length
}

// targetReplicaCount is on how many workers the requests of all front ends for a function should be loaded.
// One of many front ends has a request at a time and no backlog, but what it receives is a sample of what all
// do: a function with a part of the work needs that part of the workers, several times over, as others are
// there too. It would harm where memory is short, and where a front end's clients want what no other's do.
func (s *Scheduler) targetReplicaCount(function *functionRecord) int {
	run := float64(s.expectedRunTime(function)) // the first request says nothing of how many follow
	own := max(0, function.requestedRunTime.Read(s.now, demandMemory)-run)
	share := own / (s.demand.runTime.Read(s.now, demandMemory) + demandSmoothing*run)
	workers := len(s.endpoints.list)
	return min(workers, int(math.Ceil(max(1, placementSpread*share*float64(workers)))))
}
