package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// This file counts the serving workers incrementally. It contains no scheduling decisions. The passage of time
// requires a scan only of the workers in slow start and of those that count as serving by a response alone.

// capacitySum is the total capacity of a set of workers, in units of one warm worker. The capacity of a worker in
// slow start grows linearly with time.
type capacitySum struct {
	warm       int
	cold       int   // workers in slow start
	coldStarts int64 // sum of the start times of the cold workers, in microseconds
}

// add adds a worker to the sum, or removes it if sign is -1.
func (c *capacitySum) add(worker *workerRecord, sign int) {
	if !worker.cold {
		c.warm += sign
		return
	}
	c.cold += sign
	c.coldStarts += int64(sign) * worker.Started.Microseconds()
}

// read returns the capacity at a time. A worker starts with the fraction begin of its capacity and has all of it
// after slowStart.
func (c *capacitySum) read(now, slowStart time.Duration, begin float64) float64 {
	if c.cold == 0 || slowStart <= 0 {
		return float64(c.warm + c.cold)
	}
	ages := int64(c.cold)*now.Microseconds() - c.coldStarts
	ramp := (1 - begin) * float64(ages) / float64(slowStart.Microseconds())
	return float64(c.warm) + begin*float64(c.cold) + ramp
}

// servingCounts are counts over the workers of the endpoint list.
type servingCounts struct {
	ready   int
	healthy []int           // by class: workers that are ready and not ejected
	serving []capacitySum   // by class: workers that are healthy or responded within completionMemory
	cold    []*workerRecord // workers in slow start, sorted by start time
	// servingByResponse are the workers that count as serving only by a recent response, which expires.
	servingByResponse []*workerRecord
}

func newServingCounts(classes int) servingCounts {
	return servingCounts{healthy: make([]int, classes), serving: make([]capacitySum, classes)}
}

// servingCapacity returns the capacity, in warm workers, of those that may have contributed to the completions within
// completionMemory: the workers that are ready and not ejected for a class, and those that responded within that
// time.
func (s *Scheduler) servingCapacity(class int) float64 {
	counts := &s.endpoints.counts
	return counts.serving[class].read(s.now, s.settings.SlowStartDuration, s.settings.SlowStartFraction)
}

// hasHealthy reports whether some worker is ready and not ejected for a class.
func (s *Scheduler) hasHealthy(class int) bool { return s.endpoints.counts.healthy[class] > 0 }

// count adds a worker to the counts.
func (s *Scheduler) count(worker *workerRecord) {
	counts := &s.endpoints.counts
	if worker.State == Ready {
		counts.ready++
	}
	worker.cold = !s.isWarmedUp(worker)
	if worker.cold {
		i, _ := slices.BinarySearchFunc(counts.cold, worker, compareStarts)
		counts.cold = slices.Insert(counts.cold, i, worker)
	}
	s.recount(worker)
}

// uncount removes a worker from the counts. It must be called before the worker's state, start time or record
// changes.
func (s *Scheduler) uncount(worker *workerRecord) {
	counts := &s.endpoints.counts
	if worker.State == Ready {
		counts.ready--
	}
	for class := range worker.healthByClass {
		s.countHealthy(worker, class, false)
		s.countServing(worker, class, false)
	}
	if worker.cold {
		i, _ := slices.BinarySearchFunc(counts.cold, worker, compareStarts)
		counts.cold = slices.Delete(counts.cold, i, i+1)
		worker.cold = false
	}
	if worker.servesByResponse {
		counts.servingByResponse = without(counts.servingByResponse, worker)
		worker.servesByResponse = false
	}
}

func compareStarts(a, b *workerRecord) int {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID))
}

// recount updates the counts after a worker was ejected, ended its ejection, or responded.
func (s *Scheduler) recount(worker *workerRecord) {
	responded := worker.respondedSince(s.now - completionMemory)
	byResponse := false
	for class := range worker.healthByClass {
		healthy := worker.State == Ready && !worker.isEjected(class)
		s.countHealthy(worker, class, healthy)
		s.countServing(worker, class, healthy || responded)
		byResponse = byResponse || responded && !healthy
	}
	if byResponse && !worker.servesByResponse {
		s.endpoints.counts.servingByResponse = append(s.endpoints.counts.servingByResponse, worker)
	}
	worker.servesByResponse = worker.servesByResponse || byResponse
}

func (s *Scheduler) countHealthy(worker *workerRecord, class int, healthy bool) {
	health := &worker.healthByClass[class]
	if health.countedHealthy != healthy {
		health.countedHealthy = healthy
		s.endpoints.counts.healthy[class] += signOf(healthy)
	}
}

func (s *Scheduler) countServing(worker *workerRecord, class int, serving bool) {
	health := &worker.healthByClass[class]
	if health.countedServing != serving {
		health.countedServing = serving
		s.endpoints.counts.serving[class].add(worker, signOf(serving))
	}
}

// signOf returns 1 for a worker that starts to count, and -1 for one that no longer counts.
func signOf(counts bool) int {
	if counts {
		return 1
	}
	return -1
}

// updateCounts updates the counts for the passage of time: slow starts that are over and responses that have expired.
func (s *Scheduler) updateCounts() {
	counts := &s.endpoints.counts
	warmed := 0
	for warmed < len(counts.cold) && s.isWarmedUp(counts.cold[warmed]) {
		s.countAsWarm(counts.cold[warmed])
		warmed++
	}
	counts.cold = slices.Delete(counts.cold, 0, warmed)
	counts.servingByResponse = slices.DeleteFunc(counts.servingByResponse, func(worker *workerRecord) bool {
		worker.servesByResponse = worker.respondedSince(s.now - completionMemory)
		if !worker.servesByResponse {
			s.recount(worker)
		}
		return !worker.servesByResponse
	})
}

// countAsWarm counts a worker whose slow start is over with its full capacity.
func (s *Scheduler) countAsWarm(worker *workerRecord) {
	for class, health := range worker.healthByClass {
		if health.countedServing {
			s.endpoints.counts.serving[class].add(worker, -1)
		}
	}
	worker.cold = false
	for class, health := range worker.healthByClass {
		if health.countedServing {
			s.endpoints.counts.serving[class].add(worker, 1)
		}
	}
}
