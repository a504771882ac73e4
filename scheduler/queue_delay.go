package scheduler

import "time"

const (
	initialLimit            = 12.0                   // concurrency limit of a worker before any response
	limitDecrease           = 0.9                    // factor on the limit after a slow run or rejection
	limitDecreaseInterval   = 100 * time.Millisecond // minimum time between two decreases of a limit
	slowDelayRuns           = 2.5                    // queue delay of a slow worker, in unloaded run times
	minDelayMemory          = time.Second            // shortest time constant of a worker's queue delay
	maxDelayMemory          = 10 * time.Second       // longest time constant, for seldom contacted workers
	delayMemoryContacts     = 15                     // time constant between these bounds, in contacts
	contactedDivisor        = 2                      // contactedDelay is the 1/contactedDivisor quantile
	contactedSampleLimit    = 16                     // workers that contactedDelay samples, latest first
	contactedMinSamples     = 4                      // samples that contactedDelay needs
	maxContactsPerWorker    = 2                      // observations kept per worker, on average
	unloadedDivisor         = 4                      // unloadedRunTime is the 1/unloadedDivisor quantile
	unloadedMinSamples      = 3                      // responses of a worker before its run times are used
	unloadedRefreshInterval = 500 * time.Millisecond // how long an unloaded run time is cached
	unloadedRiseDivisor     = 400                    // a refresh applies 1/unloadedRiseDivisor of a rise
)

// recordQueueDelay records how long requests wait at a worker beyond an unloaded run, and adjusts the
// worker's concurrency limit by additive increase and multiplicative decrease (Chiu, Jain 1989). It guards
// against queues of any cause: other processes on the host, requests of other front ends, a cold or failing
// worker, or a replica concurrency above the number of cores.
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

// decreaseLimit lowers a worker's concurrency limit, at most once per limitDecreaseInterval.
func (s *Scheduler) decreaseLimit(worker *workerRecord) {
	if s.now-worker.limitDecreasedAt > limitDecreaseInterval {
		worker.limitDecreasedAt = s.now
		used := min(worker.concurrencyLimit, float64(len(worker.inFlight)+1))
		worker.concurrencyLimit = max(1, limitDecrease*used)
	}
}
