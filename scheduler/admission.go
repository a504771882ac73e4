package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	// delayBudgetFraction is the fraction of a request's slack that its queue delay may use.
	delayBudgetFraction = 0.25
	// loadEvidenceWindow is how long the most recent load is evidence of the duration of the next one.
	loadEvidenceWindow = 3 * time.Second
)

// RequestReceived accepts a request and sends, queues or rejects it before returning.
func (s *Scheduler) RequestReceived(now time.Duration, received Request) {
	s.now = now
	request := s.addRequest(received)
	if s.shouldShed(request) {
		s.rejectOrFail(request, ShedOnArrival)
		return
	}
	s.dispatch(request.function)
	s.prewarm(request.function)
	if request.replica == nil && s.missesDeadline(request, 0) {
		s.rejectOrFail(request, DeadlineTooClose)
	}
}

// shouldShed implements randomized admission: it reports whether to reject a request on arrival. When
// requests wait at the workers contacted most recently, it admits as many requests as can wait without making
// the most urgent class in use miss its objective. Classes with more priority weight per unit of work are
// admitted more often, and a request is always admitted if a replica with a short, recently observed queue
// delay is available. A queue delay shorter than an unloaded run is ignored, because run times vary by as
// much. Shedding guards against an overload of all workers, in which each admitted request delays others. It
// does harm if only the workers in use are slow.
func (s *Scheduler) shouldShed(request *requestRecord) bool {
	valueDensity := 1.0 // priority weight per unit of work, relative to recent demand
	if weight := s.demand.priorityWeight.Value; weight > 0 {
		work := float64(s.cappedServiceTime(request))
		valueDensity = request.class.PriorityWeight / work * s.demand.cappedServiceTime.Value / weight
	}
	tolerable := delayBudgetFraction * float64(s.queueDelayBudget()) * valueDensity
	tolerable = max(tolerable, float64(s.unloadedRunTime(request.function.class)))
	draw := estimate.UnitInterval(estimate.HashPair(s.settings.Seed, uint64(request.ID)))
	if draw*s.delay.contactedMedian <= tolerable {
		return false
	}
	replica := s.pickWarmReplica(request, time.Duration(tolerable))
	return replica == nil || s.now-replica.worker.queueDelay.observedAt > s.delay.memory
}

// queueDelayBudget returns how long requests of the most urgent class in use can wait and still meet their
// latency objective.
func (s *Scheduler) queueDelayBudget() time.Duration {
	least := infiniteDuration
	for i, class := range s.settings.Classes {
		if s.latency.runTimeByClass[i].Samples > 0 {
			least = min(least, class.LatencyObjective-min(s.unloadedRunTime(i), class.LatencyObjective/2))
		}
	}
	return least
}

// finishUnservable immediately rejects or fails the queued requests that can no longer be served in time.
func (s *Scheduler) finishUnservable(function *functionRecord) {
	inFlight := function.inFlight()
	for i, request := range slices.Clone(function.queue) {
		ownDelay := s.timeToDrain(function, i+inFlight, ownBacklog)
		totalDelay := s.timeToDrain(function, i+inFlight, allBacklogs)
		if ownDelay == infiniteDuration { // no usable replica: the function must be loaded first
			ownDelay = 0
			if s.now-s.breaker.lastLoadAt < loadEvidenceWindow {
				ownDelay = s.expectedLoadTime(function)
			}
			totalDelay = ownDelay
		}
		switch {
		case request.boundToKeyScope() && s.keyExpires(request):
			s.rejectOrFail(request, KeyExpired)
		case s.missesDeadline(request, ownDelay):
			s.rejectOrFail(request, DeadlineTooClose)
		case s.shouldGiveUp(request, totalDelay):
			s.rejectOrFail(request, NoHeadroomInTime)
		}
	}
}

// missesDeadline reports whether a request that starts after delay would end after its client gives up.
func (s *Scheduler) missesDeadline(request *requestRecord, delay time.Duration) bool {
	run := max(tickInterval, s.expectedRunTime(request.function))
	return s.now+delay+run+2*s.settings.Resolution >= request.deadline
}

// shouldGiveUp reports whether a queued request finds no headroom although it is over quota or would miss its
// latency objective after delay. It guards against spending scarce capacity on work of little value. It
// returns false while a replica is loading or being queried for, and before a run of the class was observed:
// a guessed run time would reject an initial burst that a fast worker soon completes.
func (s *Scheduler) shouldGiveUp(request *requestRecord, delay time.Duration) bool {
	function := request.function
	if !request.overQuota {
		runSeen := s.latency.runTimeByClass[function.class].Samples > 0
		if !runSeen || s.now+delay+s.expectedRunTime(function) <= request.objectiveAt {
			return false
		}
	}
	if delay <= 0 || function.hasLoadingReplica() || s.awaitsResidency(function) {
		return false
	}
	return s.pickWarmReplica(request, infiniteDuration) == nil
}
