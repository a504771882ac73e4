package model

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Crash ends the process. Its state is lost, and pending callbacks of its incarnation no longer have an effect.
func (w *Worker) Crash() {
	w.up = false
	w.incarnation++
	w.cpu.Clear()
	for _, r := range w.replicas {
		r.stopIdleTimer()
	}
	w.replicas, w.loads = nil, nil
	w.queue, w.running = nil, nil
	w.recentWork = nil
	w.draining, w.hung, w.paused = false, false, false
	w.slowdown, w.failures = 1, Sampler{}
	w.updateSpeed()
}

// Start starts a new process, which is cold and has no replicas. If a process is running, Start crashes it first.
func (w *Worker) Start() {
	if w.up {
		w.Crash()
	}
	w.up, w.startedAt = true, w.clock.Now()
	w.updateSpeed()
}

// SetDraining makes the worker reject new requests and load orders with Overloaded, or accept them again.
func (w *Worker) SetDraining(on bool) { w.draining = on }

// SetHung makes the worker receive requests without responding to them. When the fault ends, the worker handles the
// requests that it received meanwhile.
func (w *Worker) SetHung(on bool) {
	if w.hung == on || !w.up {
		return
	}
	w.hung = on
	w.updateSpeed()
	if !on {
		w.resume()
	}
}

// resume dispatches the requests that were received while the worker was hung, and completes the started loads, whose
// end loadEnded ignores while the worker is hung.
func (w *Worker) resume() {
	queue := w.queue
	w.queue = nil
	for _, a := range queue {
		if !a.closed && w.clock.Now() < a.Deadline {
			w.dispatch(a)
		}
	}
	for _, l := range slices.Clone(w.loads) {
		if l.started {
			w.loadEnded(w.incarnation, l, true)
		}
	}
}

// SetPaused pauses all executions, or resumes them.
func (w *Worker) SetPaused(on bool) {
	w.paused = on
	w.updateSpeed()
}

// SetSlowdown makes all work take factor times as long. A factor of 1 ends the fault.
func (w *Worker) SetSlowdown(factor float64) {
	w.slowdown = max(1, factor)
	w.updateSpeed()
}

// SetFailureShare makes the worker fail a share of its requests without executing them. A share of 0 ends the fault.
func (w *Worker) SetFailureShare(share float64) { w.failures = Sampler{Share: share} }

// InvalidateReplicas unloads the replicas of a function, or all replicas if function is empty, as a new release of the
// function does. Busy replicas finish their requests first.
func (w *Worker) InvalidateReplicas(function string) {
	w.invalidate(func(f string) bool { return function == "" || f == function })
}

// InvalidateShare unloads the replicas of a share of the functions, as InvalidateReplicas does. Workers that are given
// the same share and salt select the same functions.
func (w *Worker) InvalidateShare(share float64, salt string) {
	w.invalidate(func(f string) bool { return float64(xxhash.Sum64String(salt+f)) < share*math.MaxUint64 })
}

func (w *Worker) invalidate(matches func(function string) bool) {
	for _, r := range slices.Clone(w.replicas) {
		if !matches(r.function) {
			continue
		}
		r.invalid = true
		if r.executing == 0 {
			w.removeReplica(r)
		}
	}
}
