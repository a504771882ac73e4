package model

import (
	"slices"
	"time"
)

// replica is a loaded copy of a function. It executes up to concurrency requests at a time.
type replica struct {
	function     string
	memoryMB     float64
	concurrency  int
	executing    int // number of requests that are executing
	idleSince    time.Duration
	cancelUnload func() // cancels the idle timer; nil while the timer is not set
	invalid      bool   // belongs to an old release, so that it is unloaded as soon as it is idle
}

// hasFreeConcurrency reports whether the replica can execute another request of a function.
func (r *replica) hasFreeConcurrency(function string) bool {
	return r.serves(function) && r.executing < r.concurrency
}

// serves reports whether the replica is a valid replica of a function.
func (r *replica) serves(function string) bool { return r.function == function && !r.invalid }

// stopIdleTimer stops the timer that unloads the replica after its keep-alive time.
func (r *replica) stopIdleTimer() {
	if r.cancelUnload != nil {
		r.cancelUnload()
		r.cancelUnload = nil
	}
}

// availableReplica returns the first replica that can execute another request of a function, or nil if there is none.
func (w *Worker) availableReplica(function string) *replica {
	for _, r := range w.replicas {
		if r.hasFreeConcurrency(function) {
			return r
		}
	}
	return nil
}

// replicaCounts returns the number of valid replicas of a function, and of loads of it that are queued or in progress.
func (w *Worker) replicaCounts(function string) (loaded, loading int) {
	for _, r := range w.replicas {
		if r.serves(function) {
			loaded++
		}
	}
	for _, l := range w.loads {
		if l.function == function {
			loading++
		}
	}
	return loaded, loading
}

// release frees the concurrency that an execution used on a replica.
func (w *Worker) release(r *replica) {
	r.executing--
	if r.executing == 0 {
		w.startIdle(r)
	}
}

// startIdle restarts the keep-alive time of an idle replica, or unloads the replica if it is invalid.
func (w *Worker) startIdle(r *replica) {
	if r.invalid {
		w.removeReplica(r)
		return
	}
	r.idleSince = w.clock.Now()
	r.stopIdleTimer()
	r.cancelUnload = w.clock.After(w.Config.KeepAlive, func() { w.removeReplica(r) })
}

func (w *Worker) removeReplica(r *replica) {
	r.stopIdleTimer()
	w.replicas = slices.DeleteFunc(w.replicas, func(x *replica) bool { return x == r })
}

// Unload unloads the idle replicas of a function.
func (w *Worker) Unload(function string) {
	for _, r := range slices.Clone(w.replicas) {
		if r.function == function && r.executing == 0 {
			w.removeReplica(r)
		}
	}
}

// makeRoom makes room for a replica by unloading idle replicas, least recently used first. It reports whether there is
// enough memory now.
func (w *Worker) makeRoom(memoryMB float64) bool {
	used := w.memoryUsedWith(memoryMB)
	for used > w.Config.MemoryMB {
		oldest := w.longestIdle()
		if oldest == nil {
			return false
		}
		used -= oldest.memoryMB
		w.removeReplica(oldest)
	}
	return true
}

// memoryUsedWith returns the memory of all replicas, including those that are being loaded, plus that of an additional
// replica.
func (w *Worker) memoryUsedWith(memoryMB float64) float64 {
	used := memoryMB
	for _, r := range w.replicas {
		used += r.memoryMB
	}
	for _, l := range w.loads {
		used += l.memoryMB
	}
	return used
}

// longestIdle returns the replica that has been idle longest, or nil if none is idle.
func (w *Worker) longestIdle() (oldest *replica) {
	for _, r := range w.replicas {
		if r.executing > 0 {
			continue
		}
		if oldest == nil || r.idleSince < oldest.idleSince {
			oldest = r
		}
	}
	return oldest
}
