package model

import "time"

// Worker is the model of one worker process: it queues requests, loads replicas of functions on demand or by load
// order, and executes requests on a limited number of cores.
type Worker struct {
	Config   WorkerConfig
	clock    Clock
	store    Fetcher
	keys     *KeyCache
	observer Observer

	cpu      *ProcessorSharing
	replicas []*replica
	loads    []*load // under way and waiting, oldest first
	queue    []*attempt
	running  []*attempt

	incarnation   int
	startedAt     time.Duration
	up            bool
	recentWork    []arrival // within the overload window, while cold
	stopSlowStart func()    // cancels the next step of the slow start

	// Injected faults. They are independent of each other.
	draining bool
	hung     bool
	paused   bool
	slowdown float64 // factor on the time of all work
	failures Sampler // of requests that fail
}

// initialUptime is how long a new worker has been running: it is warm.
const initialUptime = time.Hour

// NewWorker returns a worker that has been running for long enough to be warm.
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

// Incarnation counts the starts of the worker's process, from 1.
func (w *Worker) Incarnation() int { return w.incarnation }

// Up reports whether the process runs.
func (w *Worker) Up() bool { return w.up }

// Uptime is the time since the process started.
func (w *Worker) Uptime() time.Duration { return w.clock.Now() - w.startedAt }

// QueueLength is the number of requests that wait for a replica.
func (w *Worker) QueueLength() int { return len(w.queue) }

// ReplicaCount is the number of loaded replicas.
func (w *Worker) ReplicaCount() int { return len(w.replicas) }

// ProcessorTime is the processor time spent so far.
func (w *Worker) ProcessorTime() time.Duration { return w.cpu.Used }

// Capacity is the work that the worker can do now, in cores of speed 1.
func (w *Worker) Capacity() float64 { return w.Config.Cores * w.Config.Speed * w.capacityShare() }

// Cold reports whether the worker is in its slow start.
func (w *Worker) Cold() bool { return w.Config.ColdCapacity > 0 && w.Uptime() < w.Config.SlowStart }

// capacityShare is the share of its capacity that the worker has now. It grows linearly during the slow start.
func (w *Worker) capacityShare() float64 {
	if w.Config.ColdCapacity <= 0 || w.Config.SlowStart <= 0 {
		return 1
	}
	age := min(1, float64(w.Uptime())/float64(w.Config.SlowStart))
	return w.Config.ColdCapacity + (1-w.Config.ColdCapacity)*age
}

// speed is the speed of each core by the slow start and an injected slowdown.
func (w *Worker) speed() float64 { return w.Config.Speed * w.capacityShare() / w.slowdown }

// slowStartSteps is the number of steps in which the cores' speed follows the slow start.
const slowStartSteps = 20

// updateSpeed sets the cores' speed after a change of anything that slows them, and again at the next step of the
// slow start.
func (w *Worker) updateSpeed() {
	speed := w.speed()
	if w.paused || w.hung || !w.up {
		speed = 0
	}
	w.cpu.SetSpeed(speed)
	if w.stopSlowStart != nil {
		w.stopSlowStart()
		w.stopSlowStart = nil
	}
	if w.up && w.Cold() {
		w.stopSlowStart = w.clock.After(w.Config.SlowStart/slowStartSteps, func() {
			w.stopSlowStart = nil
			w.updateSpeed()
		})
	}
}
