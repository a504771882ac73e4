// Package incarnation decides from when a worker's process counts as started, out of what the list of workers says
// and what the worker says of itself. The rule that no cold worker is pushed over stands on that time, and
// neither source is sure: the list comes late and its times are another machine's wall clock; the worker's own
// word is exact but comes only once there is a connection.
package incarnation

import (
	"maps"
	"time"

	"havencart/scheduler"
)

// sameStart is how far apart two tellings of one start may lie.
const sameStart = 2 * time.Second

// spare is how many workers more than a list names are remembered; beyond, those that it lacks are forgotten.
const spare = 256

// Roster remembers what was said of each worker.
type Tracker struct {
	workers map[scheduler.WorkerID]*entry
}

type entry struct {
	info   scheduler.WorkerInfo // as last given to the module
	listed time.Duration        // start as the list last told it, uncorrected
	life   uint64               // as the worker last told it, 0 if it never did
}

// New returns a Roster that knows nobody.
func New() *Tracker { return &Tracker{workers: map[scheduler.WorkerID]*entry{}} }

// Listed takes a list at now, whose Started fields are the list's own, and returns it with the times that
// count. Workers that a whole list lacks are kept in mind, as they may come back with the same process.
//
// A start told in the future is now: it guards against a worker's clock that is ahead, which would leave it
// cold for good. A start is corrected once, when the list first tells it, so that it does not move with each
// list. A start earlier than the one that counts changes nothing: a list may be older than a connection.
func (r *Tracker) ObserveList(now time.Duration, list []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	out := make([]scheduler.WorkerInfo, len(list))
	for i, info := range list {
		e := r.workers[info.ID]
		told := info.Started
		switch {
		case e == nil:
			e = &entry{}
			r.workers[info.ID] = e
			info.Started = min(told, now)
		case told == e.listed || told <= e.info.Started+sameStart:
			info.Started = e.info.Started
		default:
			info.Started = min(told, now)
		}
		e.info, e.listed = info, told
		out[i] = info
	}
	r.bound(list)
	return out
}

// bound forgets workers that a whole list lacks where there are too many of them.
func (r *Tracker) bound(list []scheduler.WorkerInfo) {
	if len(r.workers) <= len(list)+spare {
		return
	}
	named := map[scheduler.WorkerID]bool{}
	for _, info := range list {
		named[info.ID] = true
	}
	maps.DeleteFunc(r.workers, func(id scheduler.WorkerID, _ *entry) bool { return !named[id] })
}

// Met takes at now what a worker says on a new connection: a number that differs between its lives, and how
// long its process runs by its own monotonic clock. It returns the worker's entry and whether it is news.
//
// It guards against a list that tells a restart late or, its clock being wrong, not at all.
func (r *Tracker) ObserveConnection(now time.Duration, id scheduler.WorkerID, life uint64, up time.Duration) (scheduler.WorkerInfo, bool) {
	e := r.workers[id]
	if e == nil {
		return scheduler.WorkerInfo{}, false // nobody may be sent to that no list named
	}
	another := e.life != 0 && e.life != life
	e.life = life
	started := now - max(0, up)
	if another {
		started = max(started, e.info.Started+1) // whatever its clock says, it is not the process of before
	}
	if !another && started <= e.info.Started+sameStart {
		return e.info, false
	}
	e.info.Started = started
	return e.info, true
}
