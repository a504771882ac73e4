// Package incarnation determines the start time of each worker process from the endpoint list and from the worker's
// own report. The rule that no cold worker may be overloaded depends on that start time, and both sources are
// unreliable: the list arrives late and takes its times from another machine's wall clock; the worker's report is exact
// but is available only after a connection is established. The package does no I/O and reads no clock: times are passed
// in and returned as durations since the start of the front end.
package incarnation

import (
	"maps"
	"time"

	"havencart/scheduler"
)

const (
	// startTolerance is the maximum difference between two reported times of the same start. Reports differ because
	// workers and front ends have different clocks.
	startTolerance = 2 * time.Second
	// maxUnlistedWorkers is the number of workers tracked beyond the size of the endpoint list. If there are more, the
	// workers that are not in the list are removed from the tracker.
	maxUnlistedWorkers = 256
)

// Tracker keeps the current incarnation of each worker. It is not safe for concurrent use.
type Tracker struct {
	workers map[scheduler.WorkerID]*worker
}

// worker is the tracked state of one worker.
type worker struct {
	info          scheduler.WorkerInfo // entry as last returned, with the effective start time in Started
	listedStart   time.Duration        // start time in the last list, uncorrected
	incarnationID uint64               // ID last reported by the worker, 0 before the first report
}

// New returns a Tracker without workers.
func New() *Tracker { return &Tracker{workers: map[scheduler.WorkerID]*worker{}} }

// ObserveList processes a complete endpoint list received at now, with uncorrected Started fields, and returns a copy
// with the effective start times. Workers that are missing from the list are kept, because they may reappear with the
// same process.
//
// A listed start time in the future is replaced by now: if a worker's clock is ahead, the worker would otherwise count
// as cold forever. A start time is corrected only once, when it is first listed, so that it does not change with each
// list. A start time before the effective one is ignored, because the list may be older than the connection that gave
// the effective start time.
func (t *Tracker) ObserveList(now time.Duration, list []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	effective := t.observeEntries(now, list)
	t.removeUnlisted(list)
	return effective
}

// ObserveChanges processes the changed entries of an endpoint list in the same way as ObserveList processes a complete
// list. The parameter listed is the number of workers now in the list. If many more workers are tracked, those in state
// Removed are dropped from the tracker.
func (t *Tracker) ObserveChanges(now time.Duration, changed []scheduler.WorkerInfo, listed int) []scheduler.WorkerInfo {
	effective := t.observeEntries(now, changed)
	if len(t.workers) > listed+maxUnlistedWorkers {
		maps.DeleteFunc(t.workers, func(_ scheduler.WorkerID, tracked *worker) bool { return tracked.info.State == scheduler.Removed })
	}
	return effective
}

// observeEntries processes entries of a list and returns them with the effective start times.
func (t *Tracker) observeEntries(now time.Duration, entries []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	effective := make([]scheduler.WorkerInfo, len(entries))
	for i, info := range entries {
		effective[i] = t.observeListed(now, info)
	}
	return effective
}

// observeListed processes one entry of a list and returns it with the effective start time.
func (t *Tracker) observeListed(now time.Duration, info scheduler.WorkerInfo) scheduler.WorkerInfo {
	tracked, known := t.workers[info.ID]
	if !known {
		tracked = &worker{}
		t.workers[info.ID] = tracked
	}
	listedStart := info.Started
	if known && tracked.sameStart(listedStart) {
		info.Started = tracked.info.Started
	} else {
		info.Started = min(listedStart, now)
	}
	tracked.info, tracked.listedStart = info, listedStart
	return info
}

// sameStart reports whether a listed start time belongs to the known incarnation: it equals the last listed one, or is
// not later than the effective start time plus the tolerance.
func (w *worker) sameStart(listedStart time.Duration) bool {
	return listedStart == w.listedStart || listedStart <= w.info.Started+startTolerance
}

// removeUnlisted bounds the number of tracked workers: if there are too many, those missing from the complete list are
// removed.
func (t *Tracker) removeUnlisted(list []scheduler.WorkerInfo) {
	if len(t.workers) <= len(list)+maxUnlistedWorkers {
		return
	}
	listed := map[scheduler.WorkerID]bool{}
	for _, info := range list {
		listed[info.ID] = true
	}
	maps.DeleteFunc(t.workers, func(id scheduler.WorkerID, _ *worker) bool { return !listed[id] })
}

// ObserveConnection processes a worker's report at now on a new connection: incarnationID differs between processes of
// the worker, and uptime is the process's running time by its own monotonic clock. It returns the worker's entry and
// whether it is a new incarnation. For a worker that was never listed it returns false, as no request may be sent
// there.
//
// The report reveals a restart that the list shows late or, because of a wrong clock, not at all.
func (t *Tracker) ObserveConnection(
	now time.Duration, id scheduler.WorkerID, incarnationID uint64, uptime time.Duration,
) (info scheduler.WorkerInfo, restarted bool) {
	tracked := t.workers[id]
	if tracked == nil {
		return scheduler.WorkerInfo{}, false
	}
	otherIncarnation := tracked.incarnationID != 0 && tracked.incarnationID != incarnationID
	tracked.incarnationID = incarnationID
	started := now - max(0, uptime)
	if otherIncarnation {
		started = max(started, tracked.info.Started+1) // a new process started later, even if its reported uptime is wrong
	}
	if !otherIncarnation && started <= tracked.info.Started+startTolerance {
		return tracked.info, false
	}
	tracked.info.Started = started
	return tracked.info, true
}
