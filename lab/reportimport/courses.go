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

// course is what happened to one worker.
type course struct {
	drainedAt, endedAt, returnedAt time.Duration
	drained, ended                 bool
}

// workerCourses follows workers through the changes of the endpoint list. Workers are not told apart there: the first to
// drain is the first to go, and the first to go the first to return.
type workerCourses struct{ list []*course }

// first is the first course that matches, nil if there is none.
func (c *workerCourses) first(match func(*course) bool) *course {
	if i := slices.IndexFunc(c.list, match); i >= 0 {
		return c.list[i]
	}
	return nil
}

// maxChange bounds the workers that one line may change.
const maxChange = 10000

// changed follows a change of the list: so many workers became ready, are draining, or are gone.
func (c *workerCourses) changed(at time.Duration, ready, draining, gone int) {
	for range min(gone, maxChange) {
		x := c.first(func(x *course) bool { return x.drained && !x.ended })
		if x == nil {
			x = &course{drainedAt: at}
			c.list = append(c.list, x)
		}
		x.endedAt, x.ended = at, true
	}
	for range min(ready, maxChange) {
		if x := c.first(func(x *course) bool { return x.ended && x.returnedAt == 0 }); x != nil {
			x.returnedAt = at
		}
	}
	for range min(draining, maxChange) {
		c.list = append(c.list, &course{drainedAt: at, drained: true})
	}
}

// faults are the courses as faults, those of the same course together.
func (c *workerCourses) faults(duration time.Duration, workers int) (list []scenario.Fault) {
	groups := map[course]int{}
	var order []course
	for _, x := range c.list {
		if !x.ended {
			x.endedAt = duration
		}
		if x.returnedAt == 0 {
			x.returnedAt = duration
		}
		if groups[*x]++; groups[*x] == 1 {
			order = append(order, *x)
		}
	}
	for _, x := range order {
		f := scenario.Fault{At: x.drainedAt, Kind: kindCrash, Share: share(groups[x], workers), Duration: max(0, x.returnedAt-x.drainedAt)}
		if x.drained {
			f.Kind, f.DrainTime = kindDrainAndStop, max(0, x.endedAt-x.drainedAt)
		}
		list = append(list, f)
	}
	return list
}
