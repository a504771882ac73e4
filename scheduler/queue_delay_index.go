package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps the queue delays of the workers, so that their median costs nothing for workers that were not
// contacted; it decides nothing.

// workerDelay is how long requests at one worker wait beyond an unloaded run.
type workerDelay struct {
	value      float64       // nanoseconds, as it was at clock
	clock      float64       // of the index, see queueDelayEstimates.clock
	rank       float64       // orders delays that were observed at different times; see rankOf
	observed   float64       // nanoseconds as last observed, not decayed since
	observedAt time.Duration // 0: never
	ordered    bool          // the worker is in queueDelayEstimates.ordered
}

// read is the delay at a time of the index's clock.
func (d *workerDelay) read(clock float64) float64 { return d.value * math.Exp(d.clock-clock) }

// rankOf returns what stays the order of delays: the logarithm of a delay falls as fast as the clock advances.
func rankOf(value, clock float64) float64 { return math.Log(value) + clock }

// delayContact is one observation of a worker's queue delay.
type delayContact struct {
	worker *workerRecord
	at     time.Duration
}

// queueDelayEstimates hold the queue delays of all workers, and what was read from them at the last tick. All delays
// decay by one clock, which runs at 1/memory:
//
//	delay(t) = delay(t0) * exp(clock(t0) - clock(t))
type queueDelayEstimates struct {
	memory          time.Duration // of the queue delay at a worker
	median          time.Duration // over the ready workers
	contactedMedian float64       // nanoseconds, over the workers contacted lately; 0: too few

	clock    float64 // memories that have passed
	clockAt  time.Duration
	ordered  []*workerRecord // the ready workers with a queue delay, least first
	contacts []delayContact  // oldest first; at most maxContacts
}

// advance moves the clock on.
func (q *queueDelayEstimates) advance(now time.Duration) {
	q.clock += float64(now-q.clockAt) / float64(q.memory)
	q.clockAt = now
}

// setMemory changes the memory from now on.
func (q *queueDelayEstimates) setMemory(now, memory time.Duration) {
	q.advance(now)
	q.memory = memory
}

// read is the queue delay of a worker, in nanoseconds.
func (q *queueDelayEstimates) read(worker *workerRecord, now time.Duration) float64 {
	if worker.queueDelay.value == 0 {
		return 0
	}
	q.advance(now)
	return worker.queueDelay.read(q.clock)
}

// observe takes a sample of a worker's queue delay. It weighs the more the longer ago the last one was, as measured by
// smoothing:
//
//	w = 1 - exp(-(now - observedAt) / smoothing)
//	delay = (1 - w) * delay(now) + w * sample
func (q *queueDelayEstimates) observe(worker *workerRecord, now, smoothing time.Duration, sample float64) {
	weight := 1 - math.Exp(-float64(now-worker.queueDelay.observedAt)/float64(smoothing))
	q.set(worker, now, (1-weight)*q.read(worker, now)+weight*sample)
}

// set sets the queue delay of a worker as it was observed.
func (q *queueDelayEstimates) set(worker *workerRecord, now time.Duration, value float64) {
	q.advance(now)
	q.removeFromOrder(worker)
	isNewContact := worker.queueDelay.observedAt != now
	worker.queueDelay = workerDelay{
		value: value, clock: q.clock, rank: rankOf(value, q.clock), observed: value, observedAt: now,
	}
	q.addToOrder(worker)
	if isNewContact {
		q.contacts = append(q.contacts, delayContact{worker, now})
	}
}

// addToOrder puts a worker into the order if it is ready and requests wait there.
func (q *queueDelayEstimates) addToOrder(worker *workerRecord) {
	if worker.State != Ready || worker.queueDelay.value <= 0 {
		return
	}
	worker.queueDelay.ordered = true
	i, _ := slices.BinarySearchFunc(q.ordered, worker, compareDelays)
	q.ordered = slices.Insert(q.ordered, i, worker)
}

// removeFromOrder takes a worker out of the order.
func (q *queueDelayEstimates) removeFromOrder(worker *workerRecord) {
	if !worker.queueDelay.ordered {
		return
	}
	worker.queueDelay.ordered = false
	i, _ := slices.BinarySearchFunc(q.ordered, worker, compareDelays)
	q.ordered = slices.Delete(q.ordered, i, i+1)
}

func compareDelays(a, b *workerRecord) int {
	return cmp.Or(cmp.Compare(a.queueDelay.rank, b.queueDelay.rank), cmp.Compare(a.ID, b.ID))
}

// medianOf is the median over so many ready workers, of which those that are not in the order have no queue delay.
func (q *queueDelayEstimates) medianOf(ready int, now time.Duration) time.Duration {
	place := ready/2 - (ready - len(q.ordered))
	if place < 0 || place >= len(q.ordered) {
		return 0
	}
	return time.Duration(q.read(q.ordered[place], now))
}

// dropDecayed takes those out of the order that have decayed to nothing, and forgets contacts that are older than a
// time or were followed by another one at the same worker where there are too many.
func (q *queueDelayEstimates) dropDecayed(now, oldest time.Duration, maxContacts int) {
	decayed := 0
	for decayed < len(q.ordered) && q.read(q.ordered[decayed], now) < 1 {
		q.ordered[decayed].queueDelay.value = 0
		q.ordered[decayed].queueDelay.ordered = false
		decayed++
	}
	q.ordered = slices.Delete(q.ordered, 0, decayed)
	expired := 0
	for expired < len(q.contacts) && q.contacts[expired].at <= oldest {
		expired++
	}
	q.contacts = slices.Delete(q.contacts, 0, expired)
	if len(q.contacts) > maxContacts {
		q.contacts = slices.DeleteFunc(q.contacts, func(contact delayContact) bool { return !contact.isLatest() })
	}
}

// isLatest is whether the worker's queue delay was not observed again since, and its process is the same.
func (c *delayContact) isLatest() bool { return c.worker.queueDelay.observedAt == c.at }
