package model

import "time"

const (
	// oracleOverloadShare is the share of a cold worker's overload limit up to which an oracle sends requests to it.
	oracleOverloadShare = 0.6
	// stoppedStoreSlowdown is the factor by which a stopped store is assumed to prolong a fetch.
	stoppedStoreSlowdown = 10
	// unacceptableWait is an estimate that is longer than any request can wait.
	unacceptableWait = time.Hour
)

// Estimate returns how long a request would wait for a load if it were sent now, and how long it would take in
// addition to that, from the exact state of the worker and the store. usable is false if the request would get no
// response or would bring a cold worker near its overload limit. Only oracles use Estimate: a front end does not know
// this state.
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

// accepts reports whether the worker would accept a request now and respond to it.
func (w *Worker) accepts() bool {
	faulty := w.hung || w.draining || w.paused || w.failures.Share > 0
	return w.up && !faulty && len(w.queue) < w.Config.Queue
}

// approachesOverload reports whether additional work would bring a cold worker near its overload limit.
func (w *Worker) approachesOverload(work time.Duration) bool {
	if !w.Cold() || w.Config.OverloadWindow <= 0 {
		return false
	}
	limit := oracleOverloadShare * w.Config.OverloadMultiple * w.Capacity() * float64(w.Config.OverloadWindow)
	return float64(work+w.recentWorkTotal()) > limit
}

// estimateReplicaWait estimates how long a request waits for a load, and then for free concurrency at a replica of its
// function. Without a replica it waits for a load at the store's current pace. If that load evicts another replica, the
// estimate includes the time to load the evicted replica again.
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
		if l.function == r.Function { // in progress: on average, half of the load is done
			return duration / 2, time.Duration(float64(ahead) / float64(l.concurrency) * float64(r.Work) / speed)
		}
	}
	if store.approachesLimit() {
		return unacceptableWait, 0
	}
	duration += duration * time.Duration(len(w.loads)/max(1, w.Config.MaxConcurrentLoads))
	if w.memoryUsedWith(r.MemoryMB) > w.Config.MemoryMB {
		return 2 * duration, 0
	}
	return duration, 0
}

// concurrencyOf returns the free and the total concurrency of the worker's replicas of a function.
func (w *Worker) concurrencyOf(function string) (free, all int) {
	for _, r := range w.replicas {
		if r.serves(function) {
			free += r.concurrency - r.executing
			all += r.concurrency
		}
	}
	return free, all
}

// estimateLoad returns how long a load would take at the store's current pace. load is its duration while nothing else
// is being fetched.
func (s *Store) estimateLoad(load time.Duration) time.Duration {
	pace := max(1, float64(s.shared.Len()+1)/s.cfg.Concurrency)
	if speed := s.shared.speed; speed > 0 {
		pace /= speed
	} else {
		pace *= stoppedStoreSlowdown
	}
	return time.Duration(float64(load) * (fetchShare*pace + 1 - fetchShare))
}

// approachesLimit reports whether the store is stopped or near its limit, so that no further fetch should be started.
func (s *Store) approachesLimit() bool { return s.outages > 0 || 2*s.shared.Len() > s.cfg.Limit }
