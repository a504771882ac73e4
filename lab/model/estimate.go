package model

import "time"

const (
	// oracleOverloadShare is the share of the overload limit of a cold worker up to which an oracle sends to it.
	oracleOverloadShare = 0.6
	// stoppedStorePace stands for the pace of a store that serves nothing.
	stoppedStorePace = 10
	// unacceptableWait stands for a wait that no request is sent for.
	unacceptableWait = time.Hour
)

// Estimate is what an oracle can know of a request if it were sent now: how long it would wait for a load, and how
// long it would take beside that, by all that the worker and the store hold. It reports false where the request would
// get no response, or would bring a cold worker near its overload limit. No front end sees this.
func (w *Worker) Estimate(r *Request, store *Store) (loadWait, rest time.Duration, usable bool) {
	speed := w.speed()
	if !w.accepts() || w.approachesOverload(r.Work) {
		return 0, 0, false
	}
	remaining := float64(r.Work)
	for _, j := range w.cpu.jobs {
		remaining += j.remaining
	}
	for _, a := range w.queue {
		remaining += float64(a.Work)
	}
	runTime := time.Duration(max(float64(r.Work)/speed, remaining/(speed*w.Config.Cores)))
	loadWait, queueWait := w.estimateReplicaWait(r, speed, store)
	return loadWait, queueWait + runTime, true
}

// accepts reports whether the worker would accept a request and respond to it.
func (w *Worker) accepts() bool {
	faulty := w.hung || w.draining || w.paused || w.failures.Share > 0
	return w.up && !faulty && len(w.queue) < w.Config.Queue
}

// approachesOverload reports whether more work would bring a cold worker near its overload limit.
func (w *Worker) approachesOverload(work time.Duration) bool {
	if !w.Cold() || w.Config.OverloadWindow <= 0 {
		return false
	}
	limit := oracleOverloadShare * w.Config.OverloadMultiple * w.Capacity() * float64(w.Config.OverloadWindow)
	return float64(work+w.recentWorkTotal()) > limit
}

// estimateReplicaWait estimates how long a request waits for a load, and then for room at a replica of its function.
// Without a replica it waits for a load at the store's present pace; where that load evicts another replica, the time
// of loading that one again is added.
func (w *Worker) estimateReplicaWait(r *Request, speed float64, store *Store) (loadWait, queueWait time.Duration) {
	free, all := w.concurrencyOf(r.Function)
	ahead := w.queuedFor(r.Function)
	switch {
	case free > ahead:
		return 0, 0
	case all > 0:
		return 0, time.Duration(float64(ahead+1) / float64(all) * float64(r.Work) / speed)
	}
	duration := store.estimateLoad(r.LoadTime)
	for _, l := range w.loads {
		if l.function == r.Function { // under way: on average half of it is over
			return duration / 2, time.Duration(float64(ahead) / float64(l.concurrency) * float64(r.Work) / speed)
		}
	}
	if store.approachesLimit() {
		return unacceptableWait, 0
	}
	duration += duration * time.Duration(len(w.loads)/max(1, w.Config.MaxConcurrentLoads))
	if w.memoryWith(r.MemoryMB) > w.Config.MemoryMB {
		return 2 * duration, 0
	}
	return duration, 0
}

// concurrencyOf is how many requests of a function the worker can execute at a time, and how many more than now.
func (w *Worker) concurrencyOf(function string) (free, all int) {
	for _, r := range w.replicas {
		if r.serves(function) {
			free += r.concurrency - r.busy
			all += r.concurrency
		}
	}
	return free, all
}

// estimateLoad is how long a load that takes load alone would take at the store's present pace.
func (s *Store) estimateLoad(load time.Duration) time.Duration {
	pace := max(1, float64(s.shared.Len()+1)/s.cfg.Concurrency)
	if speed := s.shared.speed; speed > 0 {
		pace /= speed
	} else {
		pace *= stoppedStorePace
	}
	return time.Duration(float64(load) * (fetchShare*pace + 1 - fetchShare))
}

// approachesLimit reports whether the store is stopped or near its limit, so that nothing more should be fetched.
func (s *Store) approachesLimit() bool { return s.outages > 0 || 2*s.shared.Len() > s.cfg.Limit }
