package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file keeps the workers and what is known of each; it decides nothing.

// endpointTable holds the workers of the endpoint list, and those removed from it until expireRemoved.
type endpointTable struct {
	byID      map[WorkerID]*workerRecord
	list      []*workerRecord // by identifier
	version   int             // counts changes, to tell stale rendezvous orders
	meanScale float64
}

// workerRecord is what is known of a worker. A restart of its process resets all but the attempts in flight.
type workerRecord struct {
	WorkerInfo
	lastContact      time.Duration    // when it was first listed, or a request was last sent there
	inFlight         []*requestRecord // whose attempt is in flight there, oldest first
	sendTimes        []time.Duration  // of attempts within the overload window
	slowStart        slowStartWindow
	runTimeByClass   []estimate.MovingAverage // nanoseconds
	concurrencyLimit float64                  // requests of ours that it may hold
	limitDecreasedAt time.Duration
	queueDelay       estimate.Decayed // nanoseconds beyond an unloaded run
	observedDelay    float64          // the same as it was when last observed, not decayed since
	noLoadsUntil     time.Duration    // no load may start there before
	removedAt        time.Duration    // 0: it is listed
	healthByClass    []workerHealth
}

// slowStartWindow is what a worker in slow start was sent in the current overload window, for the log.
type slowStartWindow struct {
	window int     // number of the window since the worker's start
	sent   int     // requests of this front end
	budget float64 // the highest that applied
}

// workerHealth is what outlier ejection knows of how a worker serves one class.
type workerHealth struct {
	lastResponseAt time.Duration
	failureShare   float64 // of recent attempts
	ejected        bool
	ejectedUntil   time.Duration // when an ejected worker may be tried again
	backoff        time.Duration // how long it was last ejected
}

// ejectionReason says in the log why a worker was ejected.
type ejectionReason string

const (
	failures       ejectionReason = "failures"
	lostConnection ejectionReason = "connection lost"
	noResponse     ejectionReason = "no response"
	silence        ejectionReason = "silent"
)

// newWorker returns the record of a process that was just listed, with what its predecessor under that name has in
// flight.
func (s *Scheduler) newWorker(predecessor *workerRecord) workerRecord {
	classes := len(s.settings.Classes)
	return workerRecord{
		inFlight:         predecessor.inFlight,
		sendTimes:        predecessor.sendTimes,
		lastContact:      s.now,
		concurrencyLimit: initialLimit,
		runTimeByClass:   make([]estimate.MovingAverage, classes),
		healthByClass:    make([]workerHealth, classes),
	}
}

// updateEndpoints takes a change of the endpoint list, or the complete list. It returns the workers that hold no
// replicas for us any more: those whose process is another one than before, and those that are not ready.
func (s *Scheduler) updateEndpoints(list []WorkerInfo, complete bool) (changed []*workerRecord) {
	table, listed := &s.endpoints, map[WorkerID]bool{}
	for _, info := range list {
		listed[info.ID] = true
		worker := table.byID[info.ID]
		if worker == nil {
			worker = &workerRecord{}
			table.byID[info.ID] = worker
			table.list = append(table.list, worker)
		}
		isNew := worker.concurrencyLimit == 0
		if isNew || info.Started > worker.Started {
			changed = append(changed, worker)
			*worker = s.newWorker(worker)
		}
		worker.WorkerInfo = info
	}
	for _, worker := range table.list {
		if complete && !listed[worker.ID] {
			worker.State = Removed
		}
		if worker.State != Ready {
			changed = append(changed, worker)
		}
		if worker.State != Removed {
			worker.removedAt = 0
		} else if worker.removedAt == 0 {
			worker.removedAt = s.now
		}
	}
	table.list = slices.DeleteFunc(table.list, s.expireRemoved)
	slices.SortFunc(table.list, func(a, b *workerRecord) int { return cmp.Compare(a.ID, b.ID) })
	table.meanScale = 0
	for _, worker := range table.list {
		table.meanScale += worker.Scale / float64(len(table.list))
	}
	table.version++
	return changed
}

// expireRemoved forgets a worker that was removed so long ago that another process under its name would be warm.
func (s *Scheduler) expireRemoved(worker *workerRecord) bool {
	if worker.State != Removed || len(worker.inFlight) > 0 || s.now-worker.removedAt < s.settings.SlowStartDuration {
		return false
	}
	delete(s.endpoints.byID, worker.ID)
	return true
}

// rendezvousOrder lists the workers in the order that every front end computes alike for a function.
func (s *Scheduler) rendezvousOrder(function *functionRecord) []*workerRecord {
	if function.rendezvousVersion != s.endpoints.version {
		function.rendezvousVersion = s.endpoints.version
		function.rendezvous = slices.Clone(s.endpoints.list)
		slices.SortFunc(function.rendezvous, func(a, b *workerRecord) int {
			return cmp.Compare(s.rendezvousRank(function, a), s.rendezvousRank(function, b))
		})
	}
	return function.rendezvous
}

// rendezvousRank is lower for workers that come sooner in the rendezvous order, by weighted rendezvous hashing: with u
// a hash of both identifiers in (0, 1), -ln(1-u) / capacity. A worker comes first for as large a part of the functions
// as it has of the capacity.
//
// Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998;
// with weights: Schindelhauer, Schomaker: "Weighted distributed hash tables", SPAA 2005.
func (s *Scheduler) rendezvousRank(function *functionRecord, worker *workerRecord) float64 {
	draw := estimate.UnitInterval(estimate.Mix(uint64(function.id), uint64(worker.ID))) + 0.5/(1<<53)
	return -math.Log1p(-draw) / s.relativeCapacity(worker)
}

// relativeCapacity is a worker's capacity relative to the mean of all, 1 where the endpoint list does not tell.
func (s *Scheduler) relativeCapacity(worker *workerRecord) float64 {
	if !s.settings.ScaleIsCapacity || worker.Scale <= 0 || s.endpoints.meanScale <= 0 {
		return 1
	}
	return worker.Scale / s.endpoints.meanScale
}

// isWarmedUp is whether the slow start of a worker's process is over, or its start is not known.
func (s *Scheduler) isWarmedUp(worker *workerRecord) bool {
	return worker.Started == UnknownStart || s.now-worker.Started >= s.settings.SlowStartDuration
}

// capacityFraction is the part of its warm capacity that a worker has: it grows linearly during slow start.
func (s *Scheduler) capacityFraction(worker *workerRecord) float64 {
	if s.isWarmedUp(worker) {
		return 1
	}
	least, age := s.settings.SlowStartFraction, max(0, float64(s.now-worker.Started))
	return least + (1-least)*age/float64(s.settings.SlowStartDuration)
}

// servingCapacity is to how many warm workers those amount that served, or may have served, what was completed within a
// time before now: those that are ready and not ejected for a class, and those that responded meanwhile.
func (s *Scheduler) servingCapacity(class int, within time.Duration) (sum float64) {
	for _, worker := range s.endpoints.list {
		isServing := worker.State == Ready && !worker.isEjected(class)
		if isServing || worker.respondedSince(s.now-within) {
			sum += s.capacityFraction(worker)
		}
	}
	return sum
}

// respondedSince is whether the worker responded to a request of any class since a time.
func (w *workerRecord) respondedSince(from time.Duration) bool {
	return slices.ContainsFunc(w.healthByClass, func(health workerHealth) bool {
		return health.lastResponseAt > 0 && health.lastResponseAt >= from
	})
}

// acceptsLoads is whether a function may be loaded at a worker now, which then has memory for it as far as is known.
func (s *Scheduler) acceptsLoads(worker *workerRecord) bool {
	return worker.State == Ready && s.now >= worker.noLoadsUntil
}

// isEjected is whether a worker is ejected as an outlier for a class.
func (w *workerRecord) isEjected(class int) bool { return w.healthByClass[class].ejected }

// healthyCount counts the workers that are ready and not ejected for a class.
func (s *Scheduler) healthyCount(class int) (count int) {
	for _, worker := range s.endpoints.list {
		if worker.State == Ready && !worker.isEjected(class) {
			count++
		}
	}
	return count
}

// crossZone is 1 for a worker in another zone than this front end, else 0.
func (s *Scheduler) crossZone(worker *workerRecord) int {
	if worker.Zone != s.settings.Zone {
		return 1
	}
	return 0
}

// recordSlowStartSend counts a request that is sent to a worker in slow start, and logs for each window what was sent
// and the highest budget of it, when the next window's first request is sent.
func (s *Scheduler) recordSlowStartSend(worker *workerRecord) {
	if s.settings.OverloadWindow <= 0 || s.isWarmedUp(worker) {
		return
	}
	window := int((s.now - worker.Started) / s.settings.OverloadWindow)
	previous := &worker.slowStart
	if window != previous.window {
		if previous.sent > 0 {
			s.actions.Log(fmt.Sprintf("worker %x in slow start: window %d, sent %d, budget %.2f",
				worker.ID, previous.window, previous.sent, previous.budget))
		}
		*previous = slowStartWindow{window: window}
	}
	previous.sent++
}
