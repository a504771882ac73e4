package model

import "time"

// Worker is the model of one worker process. It queues requests, loads replicas of functions on demand or on a load
// order, and executes requests on a limited number of cores.
type Worker struct {
	Config   WorkerConfig
	clock    Clock
	store    Fetcher
	keys     *KeyCache
	observer Observer

	cpu      *ProcessorSharing
	replicas []*replica
	loads    []*load // loads in progress and queued, oldest first
	queue    []*attempt
	running  []*attempt

	incarnation         int
	startedAt           time.Duration
	up                  bool
	recentWork          []arrival // work received within the overload window; used only while cold
	cancelSlowStartStep func()    // cancels the timer of the next step of the slow start; nil while it is not set

	// The following fields are injected faults, which are independent of each other.
	draining bool
	hung     bool
	paused   bool
	slowdown float64 // factor on the duration of all work
	failures Sampler // selects the requests that fail
}

// initialUptime is the uptime of a new worker, long enough for the worker to be warm.
const initialUptime = time.Hour

// NewWorker returns a worker whose process is running and warm.
func NewWorker(c Clock, cfg WorkerConfig, store Fetcher, keys *KeyCache, observer Observer) *Worker {
	w := &Worker{
		Config:      cfg,
		clock:       c,
		store:       store,
		keys:        keys,
		observer:    observer,
		cpu:         NewProcessorSharing(c, cfg.Cores),
		incarnation: 1,
		startedAt:   -initialUptime,
		up:          true,
		slowdown:    1,
	}
	w.updateSpeed()
	return w
}

// Incarnation returns the incarnation of the worker's process, from 1. It increases with each crash.
func (w *Worker) Incarnation() int { return w.incarnation }

// Up reports whether the process is running.
func (w *Worker) Up() bool { return w.up }

// Uptime returns the time since the process started.
func (w *Worker) Uptime() time.Duration { return w.clock.Now() - w.startedAt }

// QueueLength returns the number of requests that are queued for a replica.
func (w *Worker) QueueLength() int { return len(w.queue) }

// ReplicaCount returns the number of loaded replicas.
func (w *Worker) ReplicaCount() int { return len(w.replicas) }

// ProcessorTime returns the total processor time that was used, as time on a core of speed 1.
func (w *Worker) ProcessorTime() time.Duration { return w.cpu.Used }

// Capacity returns the current capacity of the worker, in cores of speed 1.
func (w *Worker) Capacity() float64 { return w.Config.Cores * w.Config.Speed * w.capacityShare() }

// Cold reports whether the worker is in its slow start.
func (w *Worker) Cold() bool { return w.Config.ColdCapacity > 0 && w.Uptime() < w.Config.SlowStart }

// capacityShare returns the available share of the worker's full capacity. It grows linearly during the slow start.
func (w *Worker) capacityShare() float64 {
	if w.Config.ColdCapacity <= 0 || w.Config.SlowStart <= 0 {
		return 1
	}
	age := min(1, float64(w.Uptime())/float64(w.Config.SlowStart))
	return w.Config.ColdCapacity + (1-w.Config.ColdCapacity)*age
}

// speed returns the speed of each core, including the effects of the slow start and of an injected slowdown.
func (w *Worker) speed() float64 { return w.Config.Speed * w.capacityShare() / w.slowdown }

// slowStartSteps is the number of steps in which the speed of the cores increases during the slow start.
const slowStartSteps = 20

// updateSpeed sets the speed of the cores. It must be called after any change that affects the speed. During the slow
// start it also schedules its next call.
func (w *Worker) updateSpeed() {
	speed := w.speed()
	if w.paused || w.hung || !w.up {
		speed = 0
	}
	w.cpu.SetSpeed(speed)
	if w.cancelSlowStartStep != nil {
		w.cancelSlowStartStep()
		w.cancelSlowStartStep = nil
	}
	if w.up && w.Cold() {
		w.cancelSlowStartStep = w.clock.After(w.Config.SlowStart/slowStartSteps, func() {
			w.cancelSlowStartStep = nil
			w.updateSpeed()
		})
	}
}
