package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps the queue delays of the workers in sorted order, so that the median needs no scan of all workers.
// It contains no scheduling decisions.

// workerDelay is the queue delay at one worker: how long requests there wait beyond an unloaded run.
type workerDelay struct {
	value      float64       // nanoseconds, when the index's clock was at the value of clock
	clock      float64       // queueDelayEstimates.clock at the time of the observation
	rank       float64       // orders delays observed at different times; see rankOf
	observed   float64       // nanoseconds, as last observed, without decay
	observedAt time.Duration // time of the last observation; 0 if there was none
	ordered    bool          // the worker is in queueDelayEstimates.ordered
}

// read returns the delay at a reading of the index's clock.
func (d *workerDelay) read(clock float64) float64 { return d.value * math.Exp(d.clock-clock) }

// rankOf returns a sort key that preserves the order of delays over time: the logarithm of a delay falls as fast as
// the clock advances.
func rankOf(value, clock float64) float64 { return math.Log(value) + clock }

// delayContact is one observation of a worker's queue delay.
type delayContact struct {
	worker *workerRecord
	at     time.Duration
}

// queueDelayEstimates holds the queue delays of all workers, and the values derived from them at the last tick. All
// delays decay by one clock, which advances at the rate 1/memory:
//
//	delay(t) = delay(t0) * exp(clock(t0) - clock(t))
type queueDelayEstimates struct {
	memory          time.Duration // time constant of the decay
	median          time.Duration // median queue delay over the ready workers
	contactedMedian float64       // nanoseconds; see contactedDelay; 0 if there are too few samples

	clock    float64 // elapsed time in units of memory
	clockAt  time.Duration
	ordered  []*workerRecord // the ready workers with a queue delay, shortest first
	contacts []delayContact  // oldest first; dropDecayed limits their number
}

// advance advances the clock to now.
func (q *queueDelayEstimates) advance(now time.Duration) {
	q.clock += float64(now-q.clockAt) / float64(q.memory)
	q.clockAt = now
}

// setMemory changes the memory from now on.
func (q *queueDelayEstimates) setMemory(now, memory time.Duration) {
	q.advance(now)
	q.memory = memory
}

// read returns the queue delay of a worker, in nanoseconds.
func (q *queueDelayEstimates) read(worker *workerRecord, now time.Duration) float64 {
	if worker.queueDelay.value == 0 {
		return 0
	}
	q.advance(now)
	return worker.queueDelay.read(q.clock)
}

// observe records a sample of a worker's queue delay. The weight of the sample grows with the time since the previous
// observation, relative to smoothing:
//
//	w = 1 - exp(-(now - observedAt) / smoothing)
//	delay = (1 - w) * delay(now) + w * sample
func (q *queueDelayEstimates) observe(worker *workerRecord, now, smoothing time.Duration, sample float64) {
	weight := 1 - math.Exp(-float64(now-worker.queueDelay.observedAt)/float64(smoothing))
	q.set(worker, now, (1-weight)*q.read(worker, now)+weight*sample)
}

// set sets the queue delay of a worker as observed now.
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

// addToOrder inserts a worker into the sorted order if it is ready and has a queue delay.
func (q *queueDelayEstimates) addToOrder(worker *workerRecord) {
	if worker.State != Ready || worker.queueDelay.value <= 0 {
		return
	}
	worker.queueDelay.ordered = true
	i, _ := slices.BinarySearchFunc(q.ordered, worker, compareDelays)
	q.ordered = slices.Insert(q.ordered, i, worker)
}

// removeFromOrder removes a worker from the sorted order.
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

// medianOf returns the median over the given number of ready workers. Workers that are not in the sorted order have
// no queue delay.
func (q *queueDelayEstimates) medianOf(ready int, now time.Duration) time.Duration {
	place := ready/2 - (ready - len(q.ordered))
	if place < 0 || place >= len(q.ordered) {
		return 0
	}
	return time.Duration(q.read(q.ordered[place], now))
}

// dropDecayed removes workers whose delay has decayed to nothing from the sorted order. It also drops contacts up to
// the time oldest and, if there are more than maxContacts, those that were superseded by a later contact of the same
// worker.
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

// isLatest reports whether the worker's queue delay was not observed again since, and its process is still the same.
func (c *delayContact) isLatest() bool { return c.worker.queueDelay.observedAt == c.at }
