package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// This file counts the workers that serve, as they change; it decides nothing. No worker is looked at for the time that
// passes but those in slow start and those that count by a response alone.

// capacitySum is the capacity of some workers, in warm ones. That of a worker in slow start grows linearly with time.
type capacitySum struct {
	warm       int
	cold       int   // in slow start
	coldStarts int64 // microseconds, the sum of their starts
}

// add adds a worker, or takes it out where sign is -1.
func (c *capacitySum) add(worker *workerRecord, sign int) {
	if !worker.cold {
		c.warm += sign
		return
	}
	c.cold += sign
	c.coldStarts += int64(sign) * worker.Started.Microseconds()
}

// read is the capacity at a time, where workers begin with a part of it and have all after slowStart.
func (c *capacitySum) read(now, slowStart time.Duration, begin float64) float64 {
	if c.cold == 0 || slowStart <= 0 {
		return float64(c.warm + c.cold)
	}
	ages := int64(c.cold)*now.Microseconds() - c.coldStarts
	ramp := (1 - begin) * float64(ages) / float64(slowStart.Microseconds())
	return float64(c.warm) + begin*float64(c.cold) + ramp
}

// servingCounts are over the workers of the endpoint list.
type servingCounts struct {
	ready   int
	healthy []int         // by class: ready and not ejected
	serving []capacitySum // by class: healthy, or responded within completionMemory
	cold    []*workerRecord
	// servingByResponse are those that count as serving by a response alone, which grows old.
	servingByResponse []*workerRecord
}

func newServingCounts(classes int) servingCounts {
	return servingCounts{healthy: make([]int, classes), serving: make([]capacitySum, classes)}
}

// servingCapacity is to how many warm workers those amount that served, or may have served, what was completed within
// completionMemory: those that are ready and not ejected for a class, and those that responded meanwhile.
func (s *Scheduler) servingCapacity(class int) float64 {
	counts := &s.endpoints.counts
	return counts.serving[class].read(s.now, s.settings.SlowStartDuration, s.settings.SlowStartFraction)
}

// hasHealthy is whether some worker is ready and not ejected for a class.
func (s *Scheduler) hasHealthy(class int) bool { return s.endpoints.counts.healthy[class] > 0 }

// count begins to count a worker.
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

// uncount ends the counting of a worker, before its state, its start or its record changes.
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

// recount counts a worker anew that was ejected, is no longer ejected, or responded.
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

// signOf is 1 for what is counted in addition, -1 for what no longer counts.
func signOf(counts bool) int {
	if counts {
		return 1
	}
	return -1
}

// updateCounts takes the time that has passed: slow starts that are over, and responses that are too old.
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

// countAsWarm counts a worker whose slow start is over in full.
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
