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

// event is a call into the gateway, which a front end's event loop makes with the current time.
type event func(now time.Duration)

// frontEnd is one front end. It runs the real gateway.FrontEnd on an event loop in virtual time.
type frontEnd struct {
	sim            *Simulation
	number         int
	name           string
	alive          bool
	incarnation    int
	gateway        *gateway.FrontEnd
	workerClients  []*workerClient
	clientAttempts []*clientAttempt
	counts         gateway.Counts // counts of earlier incarnations

	// The following fields are used while the event loop stalls.
	activeStalls     int // number of stalls in progress, which may overlap
	deferredEvents   []event
	deferredRequests []event

	timerAt     time.Duration // time of the timer; noTimer if none is set
	cancelTimer func()

	watching        bool // discovery notifies the front end of changes
	endpointVersion int  // version of the last endpoint list that was received; noVersion if there is none
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
	f.activeStalls, f.deferredEvents, f.deferredRequests = 0, nil, nil
	logger := zerolog.New(s).Level(s.cfg.LogLevel).With().Str("of", f.name).Logger()
	f.gateway = gateway.NewFrontEnd(s.clock.Now(), settings, f, logger)
	f.scheduleTimer()
	s.deliverEndpointsAfter(f, s.network.Delay())
}

// kill ends the process without notice to clients and workers.
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
	for _, c := range f.workerClients {
		c.Stop()
	}
	f.workerClients = nil
	f.sim.history.FrontEndKilled(f.name)
	attempts := f.clientAttempts
	f.clientAttempts = nil
	for _, a := range attempts {
		f.sim.clock.After(f.sim.network.Delay(), a.connectionLost)
	}
}

// isRunning reports whether the given incarnation of the process is still running.
func (f *frontEnd) isRunning(incarnation int) bool { return f.alive && f.incarnation == incarnation }

// totals returns the counts of all incarnations.
func (f *frontEnd) totals() gateway.Counts {
	c := f.counts
	if f.alive {
		c.Add(f.gateway.Counts())
	}
	return c
}

// stall stops the event loop for d. The events that arrive meanwhile are handled at the end of the stall.
func (f *frontEnd) stall(d time.Duration) {
	incarnation := f.incarnation
	f.sim.history.FrontEndStalled(f.name, d)
	f.activeStalls++
	f.sim.clock.After(d, func() {
		if f.incarnation != incarnation {
			return
		}
		f.activeStalls--
		if f.activeStalls == 0 {
			f.handleDeferred()
		}
	})
}

// handleDeferred handles the deferred events in the order of the real event loop: events, then timers, then requests.
func (f *frontEnd) handleDeferred() {
	events, requests := f.deferredEvents, f.deferredRequests
	f.deferredEvents, f.deferredRequests = nil, nil
	for _, e := range slices.Concat(events, []event{f.gateway.FireTimers}, requests) {
		f.handleEvent(e)
	}
}

// requestReceived handles a new request, at the end of the stall if the event loop is stalled.
func (f *frontEnd) requestReceived(r *gateway.Request) {
	received := func(now time.Duration) { f.gateway.RequestReceived(now, r) }
	if f.activeStalls > 0 {
		f.deferredRequests = append(f.deferredRequests, received)
		return
	}
	f.handleEvent(received)
}

// handleEvent handles an event and then sets the front end's next timer. During a stall, it defers the event.
func (f *frontEnd) handleEvent(e event) {
	if f.activeStalls > 0 {
		f.deferredEvents = append(f.deferredEvents, e)
		return
	}
	e(f.sim.clock.Now())
	f.scheduleTimer()
}

// scheduleTimer sets the timer for the front end's next timer event.
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
		if f.activeStalls == 0 {
			f.handleEvent(f.gateway.FireTimers)
		}
	})
}

// OpenWorker implements gateway.Dependencies.
func (f *frontEnd) OpenWorker(id scheduler.WorkerID, _ discovery.Worker) gateway.WorkerClient {
	c := newWorkerClient(f, id)
	f.workerClients = append(slices.DeleteFunc(f.workerClients, func(x *workerClient) bool { return x.stopped }), c)
	return c
}

// WatchEndpoints implements gateway.Dependencies. After a round trip to discovery, the front end receives the endpoint
// list, or an error if discovery is down.
func (f *frontEnd) WatchEndpoints() {
	incarnation := f.incarnation
	f.sim.clock.After(2*f.sim.network.Delay(), func() {
		if !f.isRunning(incarnation) {
			return
		}
		if f.sim.discoveryDown {
			f.handleEvent(func(now time.Duration) { f.gateway.WatchFailed(now, errDiscoveryDown) })
			return
		}
		f.watching = true
		f.sim.deliverEndpoints(f, f.sim.listedEndpoints(), f.sim.endpointVersion)
	})
}

// newRand returns a random generator for one worker client. Each client has a generator of its own, so that its random
// draws do not depend on the order in which clients are created.
func (f *frontEnd) newRand(id scheduler.WorkerID) *rand.Rand {
	return rand.New(rand.NewPCG(f.sim.cfg.Seed^uint64(id), uint64(f.number)))
}
