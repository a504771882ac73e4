package scheduler

import "time"

// Tuned values. None here or in the other policy files is specific to one deployment.
const (
	tickInterval       = 20 * time.Millisecond // between two evaluations of the queues without another event
	watchRetryInterval = time.Second           // before the endpoint list is requested again after a failure
	freshnessWindow    = time.Second           // how long an observation counts as current
	functionIdleTime   = 2 * idleProbeAfter    // how long an unused function is remembered

	defaultMaxFunctions = 16384 // limit if Settings.MaxFunctions is 0
)

// New returns the scheduler of a front end that starts at now. It initially knows no workers and no
// functions.
func New(now time.Duration, settings Settings, actions Actions) *Scheduler {
	s := newScheduler(now, settings, actions)
	if settings.WatchOnStart {
		actions.WatchEndpoints()
	}
	actions.SetTimer(tickInterval, tickTimer)
	return s
}

// TimerFired handles the expiry of a timer set with Actions.SetTimer.
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
