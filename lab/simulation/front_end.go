package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/gateway"
	"havencart/scheduler"
)

// event is something that happens to a front end.
type event func(now time.Duration)

// frontEnd is one front end: the real gateway.FrontEnd with an event loop in virtual time.
type frontEnd struct {
	sim         *Simulation
	number      int
	name        string
	alive       bool
	incarnation int
	gateway     *gateway.FrontEnd
	workers     []*workerClient
	requests    []*clientAttempt
	counts      gateway.Counts // of earlier incarnations

	// While the event loop stalls.
	stalls           int // under way
	deferredEvents   []event
	deferredRequests []event

	timerAt     time.Duration // noTimer: none is set
	cancelTimer func()

	watching        bool // discovery notifies it of changes
	endpointVersion int  // of the list that it received last; noVersion: none
}

const (
	noTimer   = -1
	noVersion = -1
)

// start starts the process.
func (f *frontEnd) start() {
	s := f.sim
	f.alive, f.watching = true, true
	f.incarnation++
	seed := s.cfg.Seed ^ uint64(f.number)<<20 ^ uint64(f.incarnation)
	settings := gateway.SettingsFromConfig(s.settings, f.number, epoch, seed)
	settings.NewScheduler = s.newScheduler
	f.timerAt, f.endpointVersion = noTimer, noVersion
	f.stalls, f.deferredEvents, f.deferredRequests = 0, nil, nil
	logger := zerolog.New(s).Level(s.cfg.LogLevel).With().Str("of", f.name).Logger()
	f.gateway = gateway.NewFrontEnd(s.clock.Now(), settings, f, logger)
	f.scheduleTimer()
	s.deliverEndpointsAfter(f, s.network.Delay())
}

// kill ends the process without a word to anybody.
func (f *frontEnd) kill() {
	if !f.alive {
		return
	}
	f.alive, f.watching = false, false
	f.counts.Add(f.gateway.Counts())
	if f.cancelTimer != nil {
		f.cancelTimer()
		f.cancelTimer = nil
	}
	for _, c := range f.workers {
		c.Stop()
	}
	f.workers = nil
	f.sim.history.FrontEndKilled(f.name)
	requests := f.requests
	f.requests = nil
	for _, t := range requests {
		f.sim.clock.After(f.sim.network.Delay(), t.connectionLost)
	}
}

// runs reports whether an incarnation of the process still runs.
func (f *frontEnd) runs(incarnation int) bool { return f.alive && f.incarnation == incarnation }

// totals are the counts of all incarnations.
func (f *frontEnd) totals() gateway.Counts {
	c := f.counts
	if f.alive {
		c.Add(f.gateway.Counts())
	}
	return c
}

// stall stops the event loop for d. Then everything that came meanwhile is there at once.
func (f *frontEnd) stall(d time.Duration) {
	incarnation := f.incarnation
	f.sim.history.FrontEndStalled(f.name, d)
	f.stalls++
	f.sim.clock.After(d, func() {
		if f.incarnation != incarnation {
			return
		}
		f.stalls--
		if f.stalls == 0 {
			f.catchUp()
		}
	})
}

// catchUp handles what was deferred, in the order of the real event loop: events, timers, requests.
func (f *frontEnd) catchUp() {
	events, requests := f.deferredEvents, f.deferredRequests
	f.deferredEvents, f.deferredRequests = nil, nil
	for _, e := range slices.Concat(events, []event{f.gateway.FireTimers}, requests) {
		f.do(e)
	}
}

// requestReceived hands a request over as soon as the event loop takes requests.
func (f *frontEnd) requestReceived(r *gateway.Request) {
	received := func(now time.Duration) { f.gateway.RequestReceived(now, r) }
	if f.stalls > 0 {
		f.deferredRequests = append(f.deferredRequests, received)
		return
	}
	f.do(received)
}

// do handles an event and sets the timer that the front end wants next.
func (f *frontEnd) do(e event) {
	if f.stalls > 0 {
		f.deferredEvents = append(f.deferredEvents, e)
		return
	}
	e(f.sim.clock.Now())
	f.scheduleTimer()
}

// scheduleTimer sets the timer that the front end wants.
func (f *frontEnd) scheduleTimer() {
	next := f.gateway.NextTimer()
	if next == f.timerAt {
		return
	}
	if f.cancelTimer != nil {
		f.cancelTimer()
	}
	f.timerAt = next
	f.cancelTimer = f.sim.clock.After(next-f.sim.clock.Now(), func() {
		f.timerAt, f.cancelTimer = noTimer, nil
		if f.stalls == 0 {
			f.do(f.gateway.FireTimers)
		}
	})
}

// OpenWorker implements gateway.Dependencies.
func (f *frontEnd) OpenWorker(id scheduler.WorkerID, _ discovery.Worker) gateway.WorkerClient {
	c := newWorkerClient(f, id)
	f.workers = append(slices.DeleteFunc(f.workers, func(x *workerClient) bool { return x.stopped }), c)
	return c
}

// WatchEndpoints implements gateway.Dependencies: discovery is asked, and responds or fails.
func (f *frontEnd) WatchEndpoints() {
	incarnation := f.incarnation
	f.sim.clock.After(2*f.sim.network.Delay(), func() {
		if !f.runs(incarnation) {
			return
		}
		if f.sim.discoveryDown {
			f.do(func(now time.Duration) { f.gateway.WatchFailed(now, errDiscoveryDown) })
			return
		}
		f.watching = true
		f.sim.deliverEndpoints(f, f.sim.listedEndpoints(), f.sim.endpointVersion)
	})
}

// newRand is the random generator of one worker client, so that clients do not depend on each other's order.
func (f *frontEnd) newRand(id scheduler.WorkerID) *rand.Rand {
	return rand.New(rand.NewPCG(f.sim.cfg.Seed^uint64(id), uint64(f.number)))
}
