// Package incarnation decides from when a worker process counts as started, out of what the endpoint list says and
// what the worker reports of itself. The rule that no cold worker is overloaded depends on that time, and neither
// source is certain: the list arrives late and its times are another machine's wall clock; the worker's own report is
// exact but exists only once there is a connection. It is pure: times come in and go out as durations since the
// front end's start.
package incarnation

import (
	"maps"
	"time"

	"havencart/scheduler"
)

const (
	// startTolerance is how far apart two reports of one start may lie: workers and front ends have different clocks.
	startTolerance = 2 * time.Second
	// maxUnlistedWorkers is how many more workers than a list names are remembered; beyond that, those it lacks are
	// forgotten.
	maxUnlistedWorkers = 256
)

// Tracker remembers the current incarnation of each worker. It is not safe for concurrent use.
type Tracker struct {
	workers map[scheduler.WorkerID]*worker
}

// worker is what is known of one worker.
type worker struct {
	info          scheduler.WorkerInfo // as last returned; its Started is the effective one
	listedStart   time.Duration        // start as last listed, uncorrected
	incarnationID uint64               // as last reported by the worker, 0 if it never was
}

// New returns a Tracker that knows no worker.
func New() *Tracker { return &Tracker{workers: map[scheduler.WorkerID]*worker{}} }

// ObserveList takes an endpoint list received at now, whose Started fields are the list's own, and returns a copy
// with the effective starts. Workers that a whole list lacks are remembered, as they may come back with the same
// process.
//
// A listed start in the future counts as now: that guards against a worker's clock that is ahead, which would leave
// it cold for good. A start is corrected once, when the list first gives it, so that it does not move with
// each list. A start earlier than the effective one changes nothing: a list may be older than a connection.
func (t *Tracker) ObserveList(now time.Duration, list []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	effective := t.observeEntries(now, list)
	t.forgetUnlisted(list)
	return effective
}

// ObserveChanges takes the entries of an endpoint list that changed, as ObserveList takes all of them. listed is how many
// workers the list names now: where many more are remembered, those that were removed are forgotten.
func (t *Tracker) ObserveChanges(now time.Duration, changed []scheduler.WorkerInfo, listed int) []scheduler.WorkerInfo {
	effective := t.observeEntries(now, changed)
	if len(t.workers) > listed+maxUnlistedWorkers {
		maps.DeleteFunc(t.workers, func(_ scheduler.WorkerID, w *worker) bool { return w.info.State == scheduler.Removed })
	}
	return effective
}

// observeEntries returns entries of a list with the effective starts.
func (t *Tracker) observeEntries(now time.Duration, entries []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	effective := make([]scheduler.WorkerInfo, len(entries))
	for i, info := range entries {
		effective[i] = t.observeListed(now, info)
	}
	return effective
}

// observeListed takes one entry of a list and returns it with the effective start.
func (t *Tracker) observeListed(now time.Duration, info scheduler.WorkerInfo) scheduler.WorkerInfo {
	w, known := t.workers[info.ID]
	if !known {
		w = &worker{}
		t.workers[info.ID] = w
	}
	listedStart := info.Started
	if known && w.sameStart(listedStart) {
		info.Started = w.info.Started
	} else {
		info.Started = min(listedStart, now)
	}
	w.info, w.listedStart = info, listedStart
	return info
}

// sameStart reports whether a listed start is no news: it was listed before, or is not later than the effective one.
func (w *worker) sameStart(listedStart time.Duration) bool {
	return listedStart == w.listedStart || listedStart <= w.info.Started+startTolerance
}

// forgetUnlisted bounds the memory: where too many workers are remembered, those that a whole list lacks go.
func (t *Tracker) forgetUnlisted(list []scheduler.WorkerInfo) {
	if len(t.workers) <= len(list)+maxUnlistedWorkers {
		return
	}
	listed := map[scheduler.WorkerID]bool{}
	for _, info := range list {
		listed[info.ID] = true
	}
	maps.DeleteFunc(t.workers, func(id scheduler.WorkerID, _ *worker) bool { return !listed[id] })
}

// ObserveConnection takes what a worker reports at now on a new connection: incarnationID differs between its
// processes, and uptime is how long this one has run by its own monotonic clock. It returns the worker's entry and
// whether that is a new incarnation; a worker that was never listed returns false, as no request may be sent to it.
//
// It guards against a list that shows a restart late or, its clock being wrong, not at all.
func (t *Tracker) ObserveConnection(
	now time.Duration, id scheduler.WorkerID, incarnationID uint64, uptime time.Duration,
) (info scheduler.WorkerInfo, restarted bool) {
	w := t.workers[id]
	if w == nil {
		return scheduler.WorkerInfo{}, false
	}
	otherIncarnation := w.incarnationID != 0 && w.incarnationID != incarnationID
	w.incarnationID = incarnationID
	started := now - max(0, uptime)
	if otherIncarnation {
		started = max(started, w.info.Started+1) // whatever its clock says, it is not the process of before
	}
	if !otherIncarnation && started <= w.info.Started+startTolerance {
		return w.info, false
	}
	w.info.Started = started
	return w.info, true
}
