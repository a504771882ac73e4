package scheduler

import (
	"slices"
	"time"

	"havencart/internal/estimate"
)

const (
	delayBudgetFraction = 0.25            // of the slack of a request, that its queue delay may take
	loadEvidenceWindow  = 3 * time.Second // for which the last load tells how long another would take
)

// RequestReceived takes on a request: it is sent, queued, or rejected before the call returns.
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

// shouldShed is randomized admission: it reports whether to reject a request on arrival. While requests wait
// at the workers contacted last, as many are admitted as the most urgent class can wait behind, the more of a
// class the higher its priority weight for its work, unless a replica with a short queue delay is known. A
// queue delay below an unloaded run counts as none: runs differ by as much. It guards against an overload of
// all workers, where each request admitted makes others late. It would harm where only the workers in use are
// slow.
func (s *Scheduler) shouldShed(request *requestRecord) bool {
	valueDensity := 1.0 // priority weight for work, relative to what else is requested
	if weight := s.demand.priorityWeight.Value; weight > 0 {
		work := float64(s.cappedServiceTime(request))
		valueDensity = request.class.PriorityWeight / work * s.demand.cappedServiceTime.Value / weight
	}
	tolerable := delayBudgetFraction * float64(s.queueDelayBudget()) * valueDensity
	tolerable = max(tolerable, float64(s.unloadedRunTime(request.function.class)))
	draw := estimate.UnitInterval(estimate.Mix(s.settings.Seed, uint64(request.ID)))
	if draw*s.delay.contactedMedian <= tolerable {
		return false
	}
	replica := s.pickWarmReplica(request, time.Duration(tolerable))
	return replica == nil || s.now-replica.worker.queueDelay.observedAt > s.delay.memory
}

// queueDelayBudget is how long requests of the most urgent class in use can wait and still meet their
// objective.
func (s *Scheduler) queueDelayBudget() time.Duration {
	least := infiniteDuration
	for i, class := range s.settings.Classes {
		if s.latency.runTimeByClass[i].Samples > 0 {
			least = min(least, class.LatencyObjective-min(s.unloadedRunTime(i), class.LatencyObjective/2))
		}
	}
	return least
}

// finishUnservable answers at once the queued requests that cannot be served in time any more.
func (s *Scheduler) finishUnservable(function *functionRecord) {
	inFlight := function.inFlight()
	for i, request := range slices.Clone(function.queue) {
		ownDelay := s.timeToDrain(function, i+inFlight, ownBacklog)
		totalDelay := s.timeToDrain(function, i+inFlight, allBacklogs)
		if ownDelay == infiniteDuration { // no replica can be used: a load is the way
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

// missesDeadline is whether a request that starts after delay cannot be answered before its client gives up.
func (s *Scheduler) missesDeadline(request *requestRecord, delay time.Duration) bool {
	run := max(tickInterval, s.expectedRunTime(request.function))
	return s.now+delay+run+2*s.settings.Resolution >= request.deadline
}

// shouldGiveUp is whether a queued request is over quota, or would be past its objective after delay,
// and finds no headroom. It guards against spending an overload on work of little value. It acts when no
// replica is loading or queried for, and not by a guessed run time: before a run of the class was seen, a
// burst at the start would be rejected that a fast worker soon works off.
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
