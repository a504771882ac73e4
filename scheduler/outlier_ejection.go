package scheduler

import (
	"fmt"
	"slices"
	"time"
)

const (
	ejectionThreshold      = 0.3                    // failure share of recent attempts that ejects a worker
	failureWeight          = 0.2                    // weight of one attempt in the failure share
	probationSuccessFactor = 0.6                    // extra failure share factor for a success while ejected
	minEjectedFailureShare = 0.5                    // lowest failure share after an ejection
	minEjectionTime        = 500 * time.Millisecond // first ejection period; doubles with each failure
	maxEjectionTime        = 16 * time.Second
	// minSilentEjectionTime is the first ejection period of a silent worker. It is longer because each probe
	// of a silent worker makes a request late.
	minSilentEjectionTime = 6 * time.Second
	responseTimeoutFloor  = 300 * time.Millisecond // silence that never counts against a worker
	responseTimeoutRuns   = 3                      // further silence allowed, in run times of the function
	stallTicks            = 3                      // tick intervals without a tick that indicate a stall
)

// recordHealth records the result of an attempt for the worker and the class; a worker may fail one class and
// serve others. A worker that fails many attempts, for any reason, is ejected. Once its ejection period,
// which doubles with each failure, is over, it is probed with one request at a time.
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

// eject ejects a worker for a class for at least minTime. It has no effect during an ejection period.
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

// isUsable reports whether a worker may be sent requests of a class now. An ejected worker whose ejection
// period is over may be sent one request at a time.
func (s *Scheduler) isUsable(worker *workerRecord, class int) bool {
	health := &worker.healthByClass[class]
	mayProbe := s.now >= health.ejectedUntil && len(worker.inFlight) == 0
	return worker.State == Ready && (!health.ejected || mayProbe)
}

// responseTimeout returns how long an attempt may stay unanswered before its worker counts as silent.
func (s *Scheduler) responseTimeout(request *requestRecord) time.Duration {
	return responseTimeoutFloor + responseTimeoutRuns*s.expectedRunTime(request.function) + s.delay.median
}

// ejectIfSilent ejects a worker for each class whose requests it has not answered for too long, because it
// hangs, is partitioned, stalls or fails that class. It cancels the requests there that may be retried
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

// mayRetry reports whether a request that is cancelled now would be sent again.
func (s *Scheduler) mayRetry(request *requestRecord) bool {
	return request.class.Idempotency != NonIdempotent &&
		request.attempts < s.settings.MaxAttempts && !s.missesDeadline(request, 0)
}
