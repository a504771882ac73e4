package scheduler

import (
	"math"
	"time"

	"havencart/internal/estimate"
)

const (
	completionMemory     = 10 * time.Second // memory of the rate of completed requests
	slowStartSafety      = 0.8              // of what would overload a cold worker, to leave room for chance
	slowStartSkew        = 6.0              // times the mean of what a worker is sent, that one is wanted for
	slowStartMinRequests = 4.0              // in a window, that all front ends together may always send
)

// slowStartAllows is whether a worker that just started may be sent one more request: fewer than would
// overload it if every front end sent as many. What it could serve warm is estimated from what workers
// completed for this front end, shared among all that did: those that were ejected or drain since count too,
// else a worker that just started would seem to take what all of them did. Where this front end's budget is
// below one request, it is a chance, drawn anew in each window: the higher, the fewer front ends have a
// request for that worker then: as many as this one's own demand for the function tells, at most
// slowStartSkew times as many as for a worker in the mean. It would harm where more had one that each sees
// seldom: functions are placed so that none needs a third of one worker.
func (s *Scheduler) slowStartAllows(worker *workerRecord, request *requestRecord) bool {
	age := s.now - worker.Started
	if s.isWarmedUp(worker) || s.settings.OverloadWindow <= 0 {
		return true
	}
	worker.sendTimes = dropBefore(worker.sendTimes, s.now-s.settings.OverloadWindow)
	function, uptime := request.function, s.now-s.startedAt+freshnessWindow
	fraction, window := s.capacityFraction(worker), s.settings.OverloadWindow.Seconds()
	completed := s.demand.completions.RatePerSecond(s.now, completionMemory, uptime)
	perWorker := completed / max(fraction, s.servingCapacity(function.class))
	capacity := perWorker * s.relativeCapacity(worker) * window
	requested := function.requestedRunTime.RatePerSecond(s.now, demandMemory, uptime)
	demand := requested / float64(s.expectedRunTime(function)) * window
	allowance := max(capacity, min(1/slowStartSkew, capacity/min(1, demand)))
	budget := slowStartSafety * s.settings.OverloadFactor * fraction * allowance
	budget = max(budget, slowStartMinRequests/float64(max(1, s.settings.FrontEndCount)))
	windowNumber := uint64(age / s.settings.OverloadWindow)
	draw := estimate.Mix(estimate.Mix(s.settings.Seed, uint64(worker.ID)), windowNumber)
	worker.slowStart.budget = max(worker.slowStart.budget, budget)
	return float64(len(worker.sendTimes)) < math.Floor(budget+estimate.UnitInterval(draw))
}
