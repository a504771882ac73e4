package model

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Crash ends the process. Everything that it held is lost, and callbacks of this incarnation have no effect any
// longer.
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

// Start starts the process anew, cold and empty. A process that runs crashes first.
func (w *Worker) Start() {
	if w.up {
		w.Crash()
	}
	w.up, w.startedAt = true, w.clock.Now()
	w.updateSpeed()
}

// SetDraining makes the worker reject new requests and load orders as overloaded, or accept them again.
func (w *Worker) SetDraining(on bool) { w.draining = on }

// SetHung makes the worker receive everything and respond to nothing. When it ends, the worker goes on with what it
// received.
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

// resume dispatches what was received while the worker hung, and ends the loads whose end it missed.
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

// SetPaused stops all executions, or continues them.
func (w *Worker) SetPaused(on bool) {
	w.paused = on
	w.updateSpeed()
}

// SetSlowdown makes all work take factor times as long; 1 ends it.
func (w *Worker) SetSlowdown(factor float64) {
	w.slowdown = max(1, factor)
	w.updateSpeed()
}

// SetFailureShare makes the worker fail a share of its requests at once; 0 ends it.
func (w *Worker) SetFailureShare(share float64) { w.failures = Sampler{Share: share} }

// InvalidateReplicas unloads the replicas of a function, or all if function is empty, as a new release does. Those
// that execute requests finish them first.
func (w *Worker) InvalidateReplicas(function string) {
	w.invalidate(func(f string) bool { return function == "" || f == function })
}

// InvalidateShare does the same for a share of the functions: the same ones at each worker that is given the salt.
func (w *Worker) InvalidateShare(share float64, salt string) {
	w.invalidate(func(f string) bool { return float64(xxhash.Sum64String(salt+f)) < share*math.MaxUint64 })
}

func (w *Worker) invalidate(matches func(function string) bool) {
	for _, r := range slices.Clone(w.replicas) {
		if !matches(r.function) {
			continue
		}
		r.invalid = true
		if r.busy == 0 {
			w.removeReplica(r)
		}
	}
}
