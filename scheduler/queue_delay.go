package scheduler

import "time"

const (
	initialLimit            = 12.0                   // requests of ours at a worker, before any response
	limitDecrease           = 0.9                    // of the limit, left after a slow run or a rejection
	limitDecreaseInterval   = 100 * time.Millisecond // between two decreases of a limit
	slowDelayRuns           = 2.5                    // queue delay of a slow worker, in unloaded run times
	minDelayMemory          = time.Second            // after which an observed queue delay is stale, at least
	maxDelayMemory          = 10 * time.Second       // and at most, where workers are seldom contacted
	delayMemoryContacts     = 15                     // contacts of a worker, between the two
	contactedDivisor        = 2                      // one in so many contacted workers has less delay
	contactedSampleLimit    = 16                     // workers contacted last that count for it
	contactedMinSamples     = 4                      // of them that it takes to tell
	maxContactsPerWorker    = 2                      // observations that are kept
	unloadedDivisor         = 4                      // one in so many workers runs faster
	unloadedMinSamples      = 3                      // responses of a worker that it takes to count
	unloadedRefreshInterval = 500 * time.Millisecond // for which it stands
	unloadedRiseDivisor     = 400                    // part of a rise of it that is believed each time
)

// recordQueueDelay learns how long requests wait at a worker beyond an unloaded run, and from it the limit of
// our requests there: additive increase, multiplicative decrease (Chiu, Jain 1989). It guards against queues
// of whatever cause: neighbours, other front ends' requests, a cold or dying worker, more concurrency than
// cores.
func (s *Scheduler) recordQueueDelay(worker *workerRecord, class int, latency time.Duration) {
	unloaded := float64(s.unloadedRunTime(class))
	delay := max(0, float64(latency)-unloaded)
	s.delay.observe(worker, s.now, freshnessWindow, delay)
	if worker.queueDelay.value > slowDelayRuns*unloaded {
		s.decreaseLimit(worker)
	} else if float64(len(worker.inFlight)) >= worker.concurrencyLimit-2 {
		worker.concurrencyLimit += 1 / worker.concurrencyLimit
	}
}

// decreaseLimit lowers the limit of our requests at a worker, at most once in limitDecreaseInterval.
func (s *Scheduler) decreaseLimit(worker *workerRecord) {
	if s.now-worker.limitDecreasedAt > limitDecreaseInterval {
		worker.limitDecreasedAt = s.now
		used := min(worker.concurrencyLimit, float64(len(worker.inFlight)+1))
		worker.concurrencyLimit = max(1, limitDecrease*used)
	}
}
