package scheduler

import (
	"fmt"
	"slices"
	"time"
)

const (
	ejectionThreshold      = 0.3                    // share of recent attempts failed that ejects a worker
	failureWeight          = 0.2                    // of one more attempt in that share
	probationSuccessFactor = 0.6                    // of that share that is left by a success while ejected
	minEjectedFailureShare = 0.5                    // of that share after an ejection, at least
	minEjectionTime        = 500 * time.Millisecond // until a worker is tried, doubled by each failure
	maxEjectionTime        = 16 * time.Second
	minSilentEjectionTime  = 6 * time.Second        // the same for a silent one: each try costs a late request
	responseTimeoutFloor   = 300 * time.Millisecond // silence that is never held against a worker
	responseTimeoutRuns    = 3                      // silence beyond it, in runs of the waiting request
	stallTicks             = 3                      // ticks late that tell of a stall of this front end
)

// recordHealth counts an attempt for or against a worker, by class: a worker may fail one class and serve
// others. One that fails many attempts, for whatever reason, is ejected and tried again with one request at a
// time after a time that doubles.
func (s *Scheduler) recordHealth(worker *workerRecord, class int, succeeded bool) {
	health := &worker.healthByClass[class]
	if !succeeded {
		health.failureShare += (1 - health.failureShare) * failureWeight
		if health.failureShare >= ejectionThreshold {
			s.eject(worker, class, minEjectionTime, failures)
		}
		return
	}
	health.failureShare *= 1 - failureWeight
	if health.ejected {
		health.failureShare *= probationSuccessFactor
		health.ejectedUntil = s.now
		if health.failureShare < ejectionThreshold {
			health.ejected, health.backoff = false, 0
			s.recount(worker)
		}
	}
}

// eject takes a worker out of use for a class for at least minTime; one that is ejected already stays as it
// is.
func (s *Scheduler) eject(worker *workerRecord, class int, minTime time.Duration, reason ejectionReason) {
	health := &worker.healthByClass[class]
	if health.ejected && s.now < health.ejectedUntil {
		return
	}
	if !health.ejected {
		s.actions.Log(fmt.Sprintf("worker %x ejected for class %d: %s, failure share %.2f, in flight %d",
			worker.ID, class, reason, health.failureShare, len(worker.inFlight)))
	}
	health.backoff = min(maxEjectionTime, max(minTime, 2*health.backoff))
	health.ejected, health.ejectedUntil = true, s.now+health.backoff
	health.failureShare = max(health.failureShare, minEjectedFailureShare)
	s.recount(worker)
}

// isUsable is whether a worker may be sent requests of a class now; an ejected one whose time is over takes
// one at a time.
func (s *Scheduler) isUsable(worker *workerRecord, class int) bool {
	health := &worker.healthByClass[class]
	mayProbe := s.now >= health.ejectedUntil && len(worker.inFlight) == 0
	return worker.State == Ready && (!health.ejected || mayProbe)
}

// responseTimeout is how long an attempt may stay unanswered before that counts against its worker.
func (s *Scheduler) responseTimeout(request *requestRecord) time.Duration {
	return responseTimeoutFloor + responseTimeoutRuns*s.expectedRunTime(request.function) + s.delay.median
}

// ejectIfSilent looks for a worker that takes requests of a class and answers none of them for long: hung,
// cut off, stalled, or failing that class. Requests there that may be repeated are cancelled, to be sent
// elsewhere.
func (s *Scheduler) ejectIfSilent(worker *workerRecord) {
	for _, request := range slices.Clone(worker.inFlight) {
		class := request.function.class
		health := &worker.healthByClass[class]
		loadAllowance := s.expectedLoadTime(request.function) // the replica may have been evicted
		if health.ejected {
			loadAllowance = 0
		} else if request.triggeredLoad {
			loadAllowance *= 2
		}
		silentFor := s.now - max(request.sentAt, health.lastResponseAt)
		if request.streamed || silentFor <= s.responseTimeout(request)+loadAllowance {
			continue
		}
		s.eject(worker, class, minSilentEjectionTime, silence)
		if s.settings.CancelAllowed && !request.closed && s.mayRetry(request) {
			s.actions.Cancel(request.ID, request.attempts-1)
		}
	}
}

// mayRetry is whether a request that is cancelled now would be sent again.
func (s *Scheduler) mayRetry(request *requestRecord) bool {
	return request.class.Idempotency != NonIdempotent &&
		request.attempts < s.settings.MaxAttempts && !s.missesDeadline(request, 0)
}
