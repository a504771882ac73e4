package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file defines the worker records. It contains no scheduling decisions.

// endpointTable holds the workers of the endpoint list, and removed workers until expireRemoved drops them.
type endpointTable struct {
	byID      map[WorkerID]*workerRecord
	list      []*workerRecord // sorted by identifier
	version   int             // counts changes of the list, cells and scales, to invalidate caches
	meanScale float64
	ranking   []rankedWorker // inputs of the ranks, in the order of list

	counts            servingCounts
	busy              []*workerRecord         // workers with attempts in flight at some time since the last tick
	cells             map[int][]*workerRecord // computed on demand by cellMembers
	cellsVersion      int                     // version for which cells was computed
	noIdleWorkerUntil time.Duration           // until then, no worker is without contact for idleProbeAfter
}

func newEndpointTable(classes int) endpointTable {
	return endpointTable{byID: map[WorkerID]*workerRecord{}, cells: map[int][]*workerRecord{}, counts: newServingCounts(classes)}
}

// workerRecord is the state of a worker. A restart of its process resets everything except the attempts in
// flight and the send times.
type workerRecord struct {
	WorkerInfo
	lastContact      time.Duration    // when the worker was first listed or a request was last sent to it
	inFlight         []*requestRecord // requests with their attempt in flight there, oldest first
	sendTimes        []time.Duration  // send times of attempts within the overload window
	slowStart        slowStartWindow
	runTimeByClass   []estimate.MovingAverage // nanoseconds
	concurrencyLimit float64                  // requests of this front end that the worker may hold
	limitDecreasedAt time.Duration
	queueDelay       workerDelay
	noLoadsUntil     time.Duration // time before which no load may start there
	removedAt        time.Duration // 0 while the worker is listed
	healthByClass    []workerHealth

	cold             bool // counted as in slow start
	servesByResponse bool // in servingCounts.servingByResponse
	busy             bool // in endpointTable.busy
}

// slowStartWindow counts what a worker in slow start was sent in the current overload window, for the log.
type slowStartWindow struct {
	window int     // number of the window since the worker's start
	sent   int     // requests sent by this front end
	budget float64 // highest budget that applied in the window
}

// workerHealth is the outlier ejection state of a worker for one class.
type workerHealth struct {
	lastResponseAt time.Duration
	failureShare   float64 // decayed share of failed attempts, from 0 to 1
	ejected        bool
	ejectedUntil   time.Duration // when an ejected worker may be probed
	backoff        time.Duration // length of the last ejection period

	countedHealthy bool // counted in servingCounts.healthy
	countedServing bool // counted in servingCounts.serving
}

// ejectionReason is the reason for an ejection, as logged.
type ejectionReason string

const (
	failures       ejectionReason = "failures"
	lostConnection ejectionReason = "connection lost"
	noResponse     ejectionReason = "no response"
	silence        ejectionReason = "silent"
)

// newWorker returns the record of a process that was just listed. It takes over the attempts in flight and their send
// times from the record of the worker's previous process.
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

// updateEndpoints applies a change of the endpoint list, or the complete list. It returns the workers whose replicas
// are no longer available: those with a new process and those that are no longer ready.
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

// unlisted returns the known workers that a complete list lacks, marked as removed.
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

// updateWorker applies one entry of the endpoint list. It reports whether the worker lost its replicas.
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

// expireRemoved drops a worker that was removed so long ago that a new process with the same identifier would have
// finished its slow start. It reports whether it did.
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

// busyWorkers returns the workers with attempts in flight, sorted by identifier.
func (s *Scheduler) busyWorkers() []*workerRecord {
	table := &s.endpoints
	table.busy = slices.DeleteFunc(table.busy, func(worker *workerRecord) bool {
		worker.busy = len(worker.inFlight) > 0
		return !worker.busy
	})
	slices.SortFunc(table.busy, compareWorkerIDs)
	return table.busy
}

// oldestContact returns the last contact time of the ready worker that has not been contacted for the longest time.
func (s *Scheduler) oldestContact() time.Duration {
	least := s.now
	for _, worker := range s.endpoints.list {
		if worker.State == Ready {
			least = min(least, worker.lastContact)
		}
	}
	return least
}

// relativeCapacity returns a worker's capacity relative to the mean of all, or 1 if capacities are not known.
func (s *Scheduler) relativeCapacity(worker *workerRecord) float64 {
	if !s.settings.ScaleIsCapacity || worker.Scale <= 0 || s.endpoints.meanScale <= 0 {
		return 1
	}
	return worker.Scale / s.endpoints.meanScale
}

// isWarmedUp reports whether the slow start of a worker's process is over, or its start time is unknown.
func (s *Scheduler) isWarmedUp(worker *workerRecord) bool {
	return worker.Started == UnknownStart || s.now-worker.Started >= s.settings.SlowStartDuration
}

// capacityFraction returns the fraction of its warm capacity that a worker has. It grows linearly during slow start.
func (s *Scheduler) capacityFraction(worker *workerRecord) float64 {
	if s.isWarmedUp(worker) {
		return 1
	}
	least, age := s.settings.SlowStartFraction, max(0, float64(s.now-worker.Started))
	return least + (1-least)*age/float64(s.settings.SlowStartDuration)
}

// removeSend removes a recorded send time because that attempt was not sent after all.
func (w *workerRecord) removeSend(at time.Duration) {
	if i := slices.Index(w.sendTimes, at); i >= 0 {
		w.sendTimes = slices.Delete(w.sendTimes, i, i+1)
	}
}

// respondedSince reports whether the worker responded to a request of any class at or after a time.
func (w *workerRecord) respondedSince(from time.Duration) bool {
	return slices.ContainsFunc(w.healthByClass, func(health workerHealth) bool {
		return health.lastResponseAt > 0 && health.lastResponseAt >= from
	})
}

// acceptsLoads reports whether a function may be loaded at a worker now: it is ready, and no recent rejection or failed
// load order indicates that it lacks memory.
func (s *Scheduler) acceptsLoads(worker *workerRecord) bool {
	return worker.State == Ready && s.now >= worker.noLoadsUntil
}

// isEjected reports whether a worker is ejected as an outlier for a class.
func (w *workerRecord) isEjected(class int) bool { return w.healthByClass[class].ejected }

// crossZone returns 1 for a worker in another zone than this front end, and 0 otherwise.
func (s *Scheduler) crossZone(worker *workerRecord) int {
	if worker.Zone != s.settings.Zone {
		return 1
	}
	return 0
}

// recordSlowStartSend counts a request sent to a worker in slow start. On the first request of a new window it logs
// the number of requests sent and the highest budget of the previous window.
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
