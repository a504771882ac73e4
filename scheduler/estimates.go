package scheduler

import (
	"math"
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file keeps the estimates that the decisions are made from; it decides nothing. Their tuned windows and
// thresholds stand in the policy files.

// latencyEstimates are of run and load times, in nanoseconds where they are averages.
type latencyEstimates struct {
	runTimeByClass    []estimate.MovingAverage
	sampledWorkers    [][]*workerRecord      // by class, with unloadedMinSamples run times at least
	unloadedRunTime   []time.Duration        // by class; see Scheduler.unloadedRunTime
	unloadedRunTimeAt []time.Duration        // when it was last refreshed; 0: never
	loadTime          estimate.MovingAverage // of all functions
	loadTimeRatio     estimate.MovingAverage // of load times to advertised ones
}

func newLatencyEstimates(classes int) latencyEstimates {
	return latencyEstimates{
		runTimeByClass:    make([]estimate.MovingAverage, classes),
		sampledWorkers:    make([][]*workerRecord, classes),
		unloadedRunTime:   make([]time.Duration, classes),
		unloadedRunTimeAt: make([]time.Duration, classes),
	}
}

// demandEstimates are decayed sums over what was requested of this front end.
type demandEstimates struct {
	runTime           estimate.Decayed // expected, nanoseconds
	cappedServiceTime estimate.Decayed // the same without queue delays, nanoseconds; see Scheduler.cappedServiceTime
	priorityWeight    estimate.Decayed
	requests          estimate.Decayed
	completions       estimate.Decayed // requests completed
}

// evictionEstimates tell what a load costs other functions.
type evictionEstimates struct {
	lostReplicas estimate.Decayed // replicas that were counted on and found gone
	startedLoads estimate.Decayed // loads of ours
}

// loadRateLimiter holds what the load rate limit counts.
type loadRateLimiter struct {
	orderTimes   []time.Duration // of load orders
	requestTimes []time.Duration // of requests received
}

// loadBreaker is the circuit breaker of loads.
type loadBreaker struct {
	loadsInFlight int
	failures      int           // since a load last succeeded
	openFor       time.Duration // how long it was last open
	openUntil     time.Duration
	lastLoadAt    time.Duration // when a load last succeeded
}

// tenantQuotas hold what each tenant used of this front end.
type tenantQuotas struct {
	usage   []tenantUsage // by tenant
	total   float64       // of all tenants, decayed as theirs
	counted uint64        // requests of all tenants
	overage []float64     // by tenant: what it is over quota by, in requests, and was not counted against it yet
}

// tenantUsage counts the requests of a tenant, decayed with each request of any.
type tenantUsage struct {
	requests  float64
	countedAt uint64 // number of the request at which it was last decayed
}

func newTenantQuotas(tenants int) tenantQuotas {
	return tenantQuotas{usage: make([]tenantUsage, tenants), overage: make([]float64, tenants)}
}

// has is whether there is such a tenant.
func (q *tenantQuotas) has(tenant int) bool { return tenant < len(q.usage) }

// countRequest counts a request of a tenant and returns its share of the requests received lately, 0 while they are
// too few to tell.
func (q *tenantQuotas) countRequest(tenant int) (share float64) {
	const kept = 1 - 1.0/quotaWindow
	q.counted++
	q.total = kept*q.total + 1
	usage := &q.usage[tenant]
	usage.requests = usage.requests*math.Pow(kept, float64(q.counted-usage.countedAt)) + 1
	usage.countedAt = q.counted
	if q.total < quotaMinSamples {
		return 0
	}
	return usage.requests / q.total
}

// recordRequest counts a request that was received; window is 0 where there is no load rate limit.
func (l *loadRateLimiter) recordRequest(now, window time.Duration) {
	if window > 0 {
		l.requestTimes = append(dropBefore(l.requestTimes, now-window), now)
	}
}

// recordSuccess takes a load that succeeded.
func (b *loadBreaker) recordSuccess(now time.Duration) {
	b.failures, b.openFor = 0, 0
	b.lastLoadAt, b.loadsInFlight = now, max(0, b.loadsInFlight-1)
}

// recordDemand counts a request that was received.
func (s *Scheduler) recordDemand(request *requestRecord) {
	run := float64(s.expectedRunTime(request.function))
	request.function.requestedRunTime.Add(s.now, demandMemory, run)
	s.demand.runTime.Add(s.now, demandMemory, run)
	s.demand.cappedServiceTime.Add(s.now, demandMemory, float64(s.cappedServiceTime(request)))
	s.demand.priorityWeight.Add(s.now, demandMemory, request.class.PriorityWeight)
	s.demand.requests.Add(s.now, demandMemory, 1)
}

// recordSuccess takes the time of a response: a load time where the attempt waited for its load, else a run time.
func (s *Scheduler) recordSuccess(request *requestRecord, replica *replicaRecord, outcome *Outcome) {
	worker, function := replica.worker, request.function
	replica.lastUsed = s.now
	s.demand.completions.Add(s.now, completionMemory, 1)
	s.recordHealth(worker, function.class, true)
	start := request.sentAt
	if request.queuedBehindOwn {
		start = max(start, replica.lastEndedAt)
	}
	runTime := max(minRunTime, request.sentAt+outcome.Latency-start)
	if outcome.waitedForLoad() || outcome.ColdStart == ColdStartUnknown && request.triggeredLoad {
		if request.triggeredLoad {
			s.recordLoadTime(function, max(0, runTime-s.expectedRunTime(function)))
		}
	} else {
		s.recordRunTime(replica, runTime)
	}
	replica.loading = false
}

// recordRunTime takes the time of a run at a replica that was loaded.
func (s *Scheduler) recordRunTime(replica *replicaRecord, runTime time.Duration) {
	worker, function, sample := replica.worker, replica.function, float64(runTime)
	s.addRunTime(worker, function.class, sample)
	s.recordQueueDelay(worker, function.class, runTime)
	replica.runTime.Add(sample, averageWindow)
	function.runTime.Add(sample, averageWindow)
	s.latency.runTimeByClass[function.class].Add(sample, averageWindow)
}

// addRunTime takes a run time of a worker in nanoseconds, and notes when there are enough to tell of it.
func (s *Scheduler) addRunTime(worker *workerRecord, class int, sample float64) {
	runTime := &worker.runTimeByClass[class]
	wasSampled := runTime.Samples >= unloadedMinSamples
	runTime.Add(sample, averageWindow)
	if !wasSampled && runTime.Samples >= unloadedMinSamples {
		s.latency.sampledWorkers[class] = append(s.latency.sampledWorkers[class], worker)
	}
}

// dropRunTimes notes that the run times of a worker tell nothing any more.
func (s *Scheduler) dropRunTimes(worker *workerRecord) {
	for class, runTime := range worker.runTimeByClass {
		if runTime.Samples >= unloadedMinSamples {
			s.latency.sampledWorkers[class] = without(s.latency.sampledWorkers[class], worker)
		}
	}
}

// recordLoadTime takes the time of a load that succeeded.
func (s *Scheduler) recordLoadTime(function *functionRecord, loadTime time.Duration) {
	s.breaker.recordSuccess(s.now)
	if function.advertisedLoadTime > 0 {
		s.latency.loadTimeRatio.Add(float64(loadTime)/float64(function.advertisedLoadTime), averageWindow)
	}
	function.loadTime.Add(float64(loadTime), averageWindow)
	s.latency.loadTime.Add(float64(loadTime), averageWindow)
}

// expectedRunTime is the expected time of one run of a function, with the queue delays that runs contain.
func (s *Scheduler) expectedRunTime(function *functionRecord) time.Duration {
	return function.runTime.Duration(s.expectedClassRunTime(function.class))
}

// expectedClassRunTime is the expected time of one run of a class. The default stays below the latency objective: a
// class that tolerates less delay than the default run would else never be sent to a worker, and never be known.
func (s *Scheduler) expectedClassRunTime(class int) time.Duration {
	prior := min(defaultRunTime, s.settings.Classes[class].LatencyObjective/defaultRunDivisor)
	return s.latency.runTimeByClass[class].Duration(prior)
}

// expectedLoadTime is the expected time of one load of a function.
func (s *Scheduler) expectedLoadTime(function *functionRecord) time.Duration {
	advertised := function.advertisedLoadTime
	if advertised <= 0 {
		return function.loadTime.Duration(s.latency.loadTime.Duration(defaultLoadTime))
	}
	if s.latency.loadTimeRatio.Samples == 0 {
		return advertised
	}
	return time.Duration(float64(advertised) * s.latency.loadTimeRatio.Value)
}

// serviceTime is the expected time of one run of a function without queue delay.
func (s *Scheduler) serviceTime(function *functionRecord) time.Duration {
	return min(s.expectedRunTime(function), s.unloadedRunTime(function.class))
}

// cappedServiceTime is what a request takes of a worker, as far as its latency objective lets that count.
func (s *Scheduler) cappedServiceTime(request *requestRecord) time.Duration {
	return min(s.serviceTime(request.function), request.class.LatencyObjective/2)
}

// lowQuantileRunTime is the run time of a class that one in divisor of the ready workers with enough responses stays
// below, 0 if none has them.
func (s *Scheduler) lowQuantileRunTime(class, divisor int) time.Duration {
	var runs []float64
	for _, worker := range s.latency.sampledWorkers[class] {
		if worker.State == Ready {
			runs = append(runs, worker.runTimeByClass[class].Value)
		}
	}
	return time.Duration(estimate.UpperBoundOfOneIn(divisor, runs))
}

// unloadedRunTime is the run time of a class at workers with little load: what a cold worker would need once loaded.
// It rises slowly, which guards against taking an overload of all workers for the normal state.
func (s *Scheduler) unloadedRunTime(class int) time.Duration {
	refreshedAt := s.latency.unloadedRunTimeAt[class]
	if refreshedAt != 0 && s.now-refreshedAt <= unloadedRefreshInterval {
		return s.latency.unloadedRunTime[class]
	}
	run := s.lowQuantileRunTime(class, unloadedDivisor)
	if run == 0 {
		return s.expectedClassRunTime(class)
	}
	if previous := s.latency.unloadedRunTime[class]; previous > 0 && run > previous {
		run = previous + (run-previous)/unloadedRiseDivisor
	}
	s.latency.unloadedRunTime[class], s.latency.unloadedRunTimeAt[class] = run, s.now
	return run
}

// queueDelay is how long requests at a worker last waited beyond an unloaded run, decayed since.
func (s *Scheduler) queueDelay(worker *workerRecord) time.Duration {
	return time.Duration(s.delay.read(worker, s.now))
}

// updateQueueDelays sets how long queue delays are remembered, and their medians over the workers.
func (s *Scheduler) updateQueueDelays() {
	s.delay.setMemory(s.now, min(maxDelayMemory, max(minDelayMemory, delayMemoryContacts*s.contactInterval())))
	s.delay.dropDecayed(s.now, s.now-maxDelayMemory, maxContactsPerWorker*len(s.endpoints.list))
	s.delay.median, s.delay.contactedMedian = s.medianDelay(), s.contactedDelay()
}

// contactInterval is how often this front end contacts a worker, if its requests go to all of them alike.
func (s *Scheduler) contactInterval() time.Duration {
	workers, requests := float64(len(s.endpoints.list)), s.demand.requests.Read(s.now, demandMemory)
	return time.Duration(float64(demandMemory) * workers / (1 + requests))
}

// medianDelay is the median queue delay over the ready workers.
func (s *Scheduler) medianDelay() time.Duration {
	return s.delay.medianOf(s.endpoints.counts.ready, s.now)
}

// contactedDelay is the queue delay, as it was observed, that one in contactedDivisor of the ready workers contacted
// lately stays below: of the latest contactedSampleLimit within the memory of queue delays, and of all within the freshness
// window. It is 0 where they are too few.
func (s *Scheduler) contactedDelay() float64 {
	var delays []float64
	for _, contact := range slices.Backward(s.delay.contacts) {
		age := s.now - contact.at
		if age >= s.delay.memory || len(delays) >= contactedSampleLimit && age >= freshnessWindow {
			break
		}
		if contact.isLatest() && contact.worker.State == Ready {
			delays = append(delays, contact.worker.queueDelay.observed)
		}
	}
	if len(delays) < contactedMinSamples {
		return 0
	}
	return estimate.UpperBoundOfOneIn(contactedDivisor, delays)
}
