package scheduler

import (
	"math"
	"time"

	"havencart/internal/estimate"
)

const (
	completionMemory     = 10 * time.Second // time constant of the completion rate
	slowStartSafety      = 0.8              // fraction of the overload threshold used, to allow for chance
	slowStartSkew        = 6.0              // highest demand for one worker, in multiples of the mean
	slowStartMinRequests = 4.0              // requests per window always allowed to all front ends together
)

// slowStartAllows reports whether a worker in slow start may be sent one more request. The budget stays below
// what would overload the worker if every front end sent as much.
//
// The worker's warm capacity is estimated from this front end's completions, divided among all workers that
// contributed to them. Workers that have since been ejected or started to drain are included; otherwise a
// worker that just started would be expected to serve what all of them served.
//
// A budget below one request is used as a probability, drawn anew in each window. It is higher if fewer front
// ends are likely to have a request for the worker in that window. Their number is estimated from this front
// end's demand for the function, and is at most slowStartSkew times that for an average worker. This does
// harm if more front ends than that each have few requests; functions are placed so that none needs a third
// of a worker.
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
	draw := estimate.HashPair(estimate.HashPair(s.settings.Seed, uint64(worker.ID)), windowNumber)
	worker.slowStart.budget = max(worker.slowStart.budget, budget)
	return float64(len(worker.sendTimes)) < math.Floor(budget+estimate.UnitInterval(draw))
}
