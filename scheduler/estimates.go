package scheduler

import (
	"math"
	"slices"
	"time"

	"havencart/internal/estimate"
)

// This file keeps the estimates on which decisions are based. It contains no scheduling decisions; the tuned windows
// and thresholds are in the policy files.

// latencyEstimates are estimates of run and load times. Averages are in nanoseconds.
type latencyEstimates struct {
	runTimeByClass    []estimate.MovingAverage
	sampledWorkers    [][]*workerRecord      // by class; workers with at least unloadedMinSamples run times
	unloadedRunTime   []time.Duration        // by class; see Scheduler.unloadedRunTime
	unloadedRunTimeAt []time.Duration        // by class; time of the last refresh, 0 if there was none
	loadTime          estimate.MovingAverage // over all functions
	loadTimeRatio     estimate.MovingAverage // observed load times relative to advertised ones
}

func newLatencyEstimates(classes int) latencyEstimates {
	return latencyEstimates{
		runTimeByClass:    make([]estimate.MovingAverage, classes),
		sampledWorkers:    make([][]*workerRecord, classes),
		unloadedRunTime:   make([]time.Duration, classes),
		unloadedRunTimeAt: make([]time.Duration, classes),
	}
}

// demandEstimates are decayed sums over the requests received by this front end.
type demandEstimates struct {
	runTime           estimate.Decayed // expected run times, nanoseconds
	cappedServiceTime estimate.Decayed // nanoseconds; see Scheduler.cappedServiceTime
	priorityWeight    estimate.Decayed
	requests          estimate.Decayed
	completions       estimate.Decayed // completed requests
}

// evictionEstimates are decayed counts from which the cost of evictions by loads is estimated.
type evictionEstimates struct {
	lostReplicas estimate.Decayed // replicas that were expected to be loaded and were not
	startedLoads estimate.Decayed // loads started by this front end
}

// loadRateLimiter holds the events that the load rate limit counts.
type loadRateLimiter struct {
	orderTimes   []time.Duration // times of load orders
	requestTimes []time.Duration // times at which requests were received
}

// loadBreaker is the circuit breaker of loads.
type loadBreaker struct {
	loadsInFlight int
	failures      int           // failures since the last successful load
	openFor       time.Duration // length of the last open period
	openUntil     time.Duration
	lastLoadAt    time.Duration // time of the last successful load
}

// tenantQuotas tracks each tenant's use of this front end.
type tenantQuotas struct {
	usage   []tenantUsage // by tenant
	total   float64       // decayed number of requests of all tenants
	counted uint64        // number of requests of all tenants
	overage []float64     // by tenant: requests over quota that have not yet been reported as such
}

// tenantUsage is the number of requests of a tenant, decayed with each request of any tenant.
type tenantUsage struct {
	requests  float64
	countedAt uint64 // value of counted when requests was last decayed
}

func newTenantQuotas(tenants int) tenantQuotas {
	return tenantQuotas{usage: make([]tenantUsage, tenants), overage: make([]float64, tenants)}
}

// has reports whether the tenant exists.
func (q *tenantQuotas) has(tenant int) bool { return tenant < len(q.usage) }

// countRequest counts a request of a tenant and returns the tenant's share of recent requests, or 0 while there are
// too few requests to judge.
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

// recordRequest records a received request. The window is 0 if there is no load rate limit.
func (l *loadRateLimiter) recordRequest(now, window time.Duration) {
	if window > 0 {
		l.requestTimes = append(dropBefore(l.requestTimes, now-window), now)
	}
}

// recordSuccess records a successful load and closes the breaker.
func (b *loadBreaker) recordSuccess(now time.Duration) {
	b.failures, b.openFor = 0, 0
	b.lastLoadAt, b.loadsInFlight = now, max(0, b.loadsInFlight-1)
}

// recordDemand adds a received request to the demand estimates.
func (s *Scheduler) recordDemand(request *requestRecord) {
	run := float64(s.expectedRunTime(request.function))
	request.function.requestedRunTime.Add(s.now, demandMemory, run)
	s.demand.runTime.Add(s.now, demandMemory, run)
	s.demand.cappedServiceTime.Add(s.now, demandMemory, float64(s.cappedServiceTime(request)))
	s.demand.priorityWeight.Add(s.now, demandMemory, request.class.PriorityWeight)
	s.demand.requests.Add(s.now, demandMemory, 1)
}

// recordSuccess records the time of a response. It counts as a run time if the replica was loaded. If the attempt
// waited for a load, it counts as a load time if the replica was known to be loading, and is not used otherwise.
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

// recordRunTime records the time of a run at a loaded replica.
func (s *Scheduler) recordRunTime(replica *replicaRecord, runTime time.Duration) {
	worker, function, sample := replica.worker, replica.function, float64(runTime)
	s.addRunTime(worker, function.class, sample)
	s.recordQueueDelay(worker, function.class, runTime)
	replica.runTime.Add(sample, averageWindow)
	function.runTime.Add(sample, averageWindow)
	s.latency.runTimeByClass[function.class].Add(sample, averageWindow)
}

// addRunTime adds a run time of a worker, in nanoseconds, and adds the worker to sampledWorkers once it has enough
// samples.
func (s *Scheduler) addRunTime(worker *workerRecord, class int, sample float64) {
	runTime := &worker.runTimeByClass[class]
	wasSampled := runTime.Samples >= unloadedMinSamples
	runTime.Add(sample, averageWindow)
	if !wasSampled && runTime.Samples >= unloadedMinSamples {
		s.latency.sampledWorkers[class] = append(s.latency.sampledWorkers[class], worker)
	}
}

// dropRunTimes removes a worker whose run times are obsolete from sampledWorkers.
func (s *Scheduler) dropRunTimes(worker *workerRecord) {
	for class, runTime := range worker.runTimeByClass {
		if runTime.Samples >= unloadedMinSamples {
			s.latency.sampledWorkers[class] = without(s.latency.sampledWorkers[class], worker)
		}
	}
}

// recordLoadTime records the time of a successful load.
func (s *Scheduler) recordLoadTime(function *functionRecord, loadTime time.Duration) {
	s.breaker.recordSuccess(s.now)
	if function.advertisedLoadTime > 0 {
		s.latency.loadTimeRatio.Add(float64(loadTime)/float64(function.advertisedLoadTime), averageWindow)
	}
	function.loadTime.Add(float64(loadTime), averageWindow)
	s.latency.loadTime.Add(float64(loadTime), averageWindow)
}

// expectedRunTime returns the expected time of one run of a function, including the queue delays that observed runs
// contain.
func (s *Scheduler) expectedRunTime(function *functionRecord) time.Duration {
	return function.runTime.Duration(s.expectedClassRunTime(function.class))
}

// expectedClassRunTime returns the expected time of one run of a class. The default stays below the latency
// objective; otherwise, requests of a class that tolerates less delay than the default run time would never be sent,
// and their run time would never be observed.
func (s *Scheduler) expectedClassRunTime(class int) time.Duration {
	prior := min(defaultRunTime, s.settings.Classes[class].LatencyObjective/defaultRunDivisor)
	return s.latency.runTimeByClass[class].Duration(prior)
}

// expectedLoadTime returns the expected time of one load of a function.
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

// serviceTime returns the expected time of one run of a function without queue delay.
func (s *Scheduler) serviceTime(function *functionRecord) time.Duration {
	return min(s.expectedRunTime(function), s.unloadedRunTime(function.class))
}

// cappedServiceTime returns the service time of a request, limited to half its latency objective.
func (s *Scheduler) cappedServiceTime(request *requestRecord) time.Duration {
	return min(s.serviceTime(request.function), request.class.LatencyObjective/2)
}

// lowQuantileRunTime returns the 1/divisor quantile of the run times of a class over the ready workers with enough
// samples, or 0 if there are none.
func (s *Scheduler) lowQuantileRunTime(class, divisor int) time.Duration {
	var runs []float64
	for _, worker := range s.latency.sampledWorkers[class] {
		if worker.State == Ready {
			runs = append(runs, worker.runTimeByClass[class].Value)
		}
	}
	return time.Duration(estimate.QuantileByDivisor(divisor, runs))
}

// unloadedRunTime returns the run time of a class at lightly loaded workers, which is also what a cold worker would
// need once loaded. It rises slowly, so that an overload of all workers is not taken for the normal state.
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

// queueDelay returns how long requests at a worker were last observed to wait beyond an unloaded run, decayed since
// then.
func (s *Scheduler) queueDelay(worker *workerRecord) time.Duration {
	return time.Duration(s.delay.read(worker, s.now))
}

// updateQueueDelays updates the memory of queue delays and their medians over the workers.
func (s *Scheduler) updateQueueDelays() {
	s.delay.setMemory(s.now, min(maxDelayMemory, max(minDelayMemory, delayMemoryContacts*s.contactInterval())))
	s.delay.dropDecayed(s.now, s.now-maxDelayMemory, maxContactsPerWorker*len(s.endpoints.list))
	s.delay.median, s.delay.contactedMedian = s.medianDelay(), s.contactedDelay()
}

// contactInterval returns the mean interval between contacts of a worker, assuming that requests are spread evenly
// over all workers.
func (s *Scheduler) contactInterval() time.Duration {
	workers, requests := float64(len(s.endpoints.list)), s.demand.requests.Read(s.now, demandMemory)
	return time.Duration(float64(demandMemory) * workers / (1 + requests))
}

// medianDelay returns the median queue delay over the ready workers.
func (s *Scheduler) medianDelay() time.Duration {
	return s.delay.medianOf(s.endpoints.counts.ready, s.now)
}

// contactedDelay returns the 1/contactedDivisor quantile of the undecayed queue delays of recently contacted ready
// workers: the latest contactedSampleLimit within the memory of queue delays, and all within the freshness window. It
// returns 0 if there are fewer than contactedMinSamples.
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
	return estimate.QuantileByDivisor(contactedDivisor, delays)
}
