package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file keeps the workers and what is known of each; it decides nothing.

// endpointTable holds the workers of the endpoint list, and those removed from it until expireRemoved.
type endpointTable struct {
	byID      map[WorkerID]*workerRecord
	list      []*workerRecord // by identifier
	version   int             // counts changes of the list, of cells and of scales, to tell what is stale
	meanScale float64
	ranking   []rankedWorker // of list, in its order

	counts            servingCounts
	busy              []*workerRecord         // with attempts in flight, and some that had until the last tick
	cells             map[int][]*workerRecord // made when it is needed, see cellMembers
	cellsVersion      int                     // of the list that cells was made from
	noIdleWorkerUntil time.Duration           // no worker is without contact for idleProbeAfter before
}

func newEndpointTable(classes int) endpointTable {
	return endpointTable{byID: map[WorkerID]*workerRecord{}, cells: map[int][]*workerRecord{}, counts: newServingCounts(classes)}
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
	queueDelay       workerDelay
	noLoadsUntil     time.Duration // no load may start there before
	removedAt        time.Duration // 0: it is listed
	healthByClass    []workerHealth

	cold             bool // it is counted as in slow start
	servesByResponse bool // it is in servingCounts.servingByResponse
	busy             bool // it is in endpointTable.busy
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

	countedHealthy bool // in servingCounts.healthy
	countedServing bool // in servingCounts.serving
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
		busy:             predecessor.busy,
		sendTimes:        predecessor.sendTimes,
		lastContact:      s.now,
		concurrencyLimit: initialLimit,
		runTimeByClass:   make([]estimate.MovingAverage, classes),
		healthByClass:    make([]workerHealth, classes),
	}
}

// updateEndpoints takes a change of the endpoint list, or the complete list. It returns the workers that hold no
// replicas for us any more: those whose process is another one than before, and those that are no longer ready.
func (s *Scheduler) updateEndpoints(list []WorkerInfo, complete bool) (changed []*workerRecord) {
	table, before := &s.endpoints, s.endpoints.version
	if complete {
		list = slices.Concat(list, s.unlisted(list))
	}
	for _, info := range list {
		if worker, lostReplicas := s.updateWorker(info); lostReplicas {
			changed = append(changed, worker)
		}
	}
	known := len(table.list)
	table.list = slices.DeleteFunc(table.list, s.expireRemoved)
	table.version += known - len(table.list)
	if table.version != before {
		s.rankWorkers()
	}
	return changed
}

// unlisted returns the workers that a complete list lacks, as removed.
func (s *Scheduler) unlisted(list []WorkerInfo) (missing []WorkerInfo) {
	listed := make(map[WorkerID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
	}
	for _, worker := range s.endpoints.list {
		if !listed[worker.ID] {
			info := worker.WorkerInfo
			info.State = Removed
			missing = append(missing, info)
		}
	}
	return missing
}

// updateWorker takes an entry of the endpoint list. It reports whether the worker lost the replicas that it held.
func (s *Scheduler) updateWorker(info WorkerInfo) (worker *workerRecord, lostReplicas bool) {
	table := &s.endpoints
	worker = table.byID[info.ID]
	isNew := worker == nil
	if isNew {
		worker = &workerRecord{WorkerInfo: info}
		table.byID[info.ID] = worker
		i, _ := slices.BinarySearchFunc(table.list, worker, compareWorkerIDs)
		table.list = slices.Insert(table.list, i, worker)
	} else {
		s.uncount(worker)
		s.delay.removeFromOrder(worker)
	}
	lostReplicas = worker.State == Ready && info.State != Ready
	if isNew || worker.Scale != info.Scale || worker.Cell != info.Cell {
		table.version++
	}
	if isNew || info.Started > worker.Started {
		lostReplicas = true
		s.dropRunTimes(worker)
		*worker = s.newWorker(worker)
	}
	worker.WorkerInfo = info
	switch {
	case worker.State != Removed:
		worker.removedAt = 0
	case worker.removedAt == 0:
		worker.removedAt = s.now
	}
	s.count(worker)
	s.delay.addToOrder(worker)
	return worker, lostReplicas
}

func compareWorkerIDs(a, b *workerRecord) int { return cmp.Compare(a.ID, b.ID) }

// expireRemoved forgets a worker that was removed so long ago that another process under its name would be warm.
func (s *Scheduler) expireRemoved(worker *workerRecord) bool {
	if worker.State != Removed || len(worker.inFlight) > 0 || s.now-worker.removedAt < s.settings.SlowStartDuration {
		return false
	}
	delete(s.endpoints.byID, worker.ID)
	s.uncount(worker)
	s.delay.removeFromOrder(worker)
	s.dropRunTimes(worker)
	return true
}

// busyWorkers lists the workers with attempts in flight, by identifier.
func (s *Scheduler) busyWorkers() []*workerRecord {
	table := &s.endpoints
	table.busy = slices.DeleteFunc(table.busy, func(worker *workerRecord) bool {
		worker.busy = len(worker.inFlight) > 0
		return !worker.busy
	})
	slices.SortFunc(table.busy, compareWorkerIDs)
	return table.busy
}

// oldestContact is when the ready worker was contacted that was not for the longest time.
func (s *Scheduler) oldestContact() time.Duration {
	least := s.now
	for _, worker := range s.endpoints.list {
		if worker.State == Ready {
			least = min(least, worker.lastContact)
		}
	}
	return least
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

// removeSend takes back that an attempt was sent at a time: it never was.
func (w *workerRecord) removeSend(at time.Duration) {
	if i := slices.Index(w.sendTimes, at); i >= 0 {
		w.sendTimes = slices.Delete(w.sendTimes, i, i+1)
	}
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
