package scheduler

import "time"

// Tuned values. Here and in the other policy files none belongs to one deployment.
const (
	tickInterval       = 20 * time.Millisecond // between two looks at the queues without another event
	watchRetryInterval = time.Second           // until the endpoint list is asked for again after a failure
	freshnessWindow    = time.Second           // for which an observation is taken as current
	functionIdleTime   = 2 * idleProbeAfter    // after which an unused function is forgotten
)

// New returns the scheduler of a front end that starts at now and knows nothing yet.
func New(now time.Duration, settings Settings, actions Actions) *Scheduler {
	s := newScheduler(now, settings, actions)
	if settings.WatchOnStart {
		actions.WatchEndpoints()
	}
	actions.SetTimer(tickInterval, tickTimer)
	return s
}

// TimerFired takes the end of a timer that was set with Actions.SetTimer.
func (s *Scheduler) TimerFired(now time.Duration, token uint64) {
	s.now = now
	if token == watchTimer {
		s.actions.WatchEndpoints()
		return
	}
	s.actions.SetTimer(tickInterval, tickTimer)
	s.stall.tick(now)
	s.updateCounts()
	if s.stall.hasRecovered(now) {
		for _, worker := range s.busyWorkers() {
			s.ejectIfSilent(worker)
		}
	}
	s.updateQueueDelays()
	s.breaker.loadsInFlight = s.countLoadsInFlight()
	s.expireFunctions()
	s.dispatchAll()
}
