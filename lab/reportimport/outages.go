package reportimport

import (
	"slices"
	"time"

	"havencart/lab/scenario"
)

const (
	kindCrash        = "crash"
	kindDrainAndStop = "take-out"
)

// outage is a period in which one worker was draining or gone.
type outage struct {
	startedAt  time.Duration // start of the drain, or the crash
	stoppedAt  time.Duration // time at which the worker was gone, if stopped
	returnedAt time.Duration // time at which the worker was ready again; 0: it was not
	drained    bool          // the worker was draining before it stopped
	stopped    bool
}

// outageTracker derives the outages of workers from the changes of the endpoint list. The changes in a report are
// only counts and do not identify workers, so it assumes that the worker that drains first stops first, and that the
// worker that stops first returns first.
type outageTracker struct{ outages []*outage }

// first returns the first outage that matches, or nil if there is none.
func (t *outageTracker) first(match func(*outage) bool) *outage {
	if i := slices.IndexFunc(t.outages, match); i >= 0 {
		return t.outages[i]
	}
	return nil
}

// maxChange is the maximum number of workers that one line of a report may change, per state. The rest is ignored.
const maxChange = 10000

// applyChange applies a change of the endpoint list. ready, draining and gone are the numbers of workers that entered
// the state.
func (t *outageTracker) applyChange(at time.Duration, ready, draining, gone int) {
	for range min(gone, maxChange) {
		o := t.first(func(o *outage) bool { return o.drained && !o.stopped })
		if o == nil {
			o = &outage{startedAt: at}
			t.outages = append(t.outages, o)
		}
		o.stoppedAt, o.stopped = at, true
	}
	for range min(ready, maxChange) {
		if o := t.first(func(o *outage) bool { return o.stopped && o.returnedAt == 0 }); o != nil {
			o.returnedAt = at
		}
	}
	for range min(draining, maxChange) {
		t.outages = append(t.outages, &outage{startedAt: at, drained: true})
	}
}

// faults returns the outages as faults, with one fault for all workers with the same outage. duration is that of the
// run, and workers the number of workers. An outage without an end lasts until the end of the run.
func (t *outageTracker) faults(duration time.Duration, workers int) (list []scenario.Fault) {
	groups := map[outage]int{}
	var order []outage
	for _, o := range t.outages {
		if !o.stopped {
			o.stoppedAt = duration
		}
		if o.returnedAt == 0 {
			o.returnedAt = duration
		}
		if groups[*o]++; groups[*o] == 1 {
			order = append(order, *o)
		}
	}
	for _, o := range order {
		f := scenario.Fault{At: o.startedAt, Kind: kindCrash, Share: share(groups[o], workers), Duration: max(0, o.returnedAt-o.startedAt)}
		if o.drained {
			f.Kind, f.DrainTime = kindDrainAndStop, max(0, o.stoppedAt-o.startedAt)
		}
		list = append(list, f)
	}
	return list
}
