package simulation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/gateway"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// front is one front end: the real gateway.Front, with a loop in virtual time.
type frontEnd struct {
	sim              *Simulation
	number           int
	name             string
	alive            bool
	incarnation      int
	gateway          *gateway.FrontEnd
	workers          []*workerClient
	requests         []*clientAttempt
	counts           gateway.Counts // of earlier lives
	stalls           int            // under way
	deferredEvents   []func(now time.Duration)
	deferredRequests []func(now time.Duration) // arrivals, while it stands still

	timerAt         time.Duration
	cancelTimer     func()
	watching        bool // the directory tells it changes
	endpointVersion int  // of the list that it was told last
}

// start begins a life.
func (f *frontEnd) start() {
	s := f.sim
	f.alive, f.watching = true, true
	f.incarnation++
	set := gateway.FrontEndSettings(s.settings, f.number, epoch, s.cfg.Seed^uint64(f.number)<<20^uint64(f.incarnation))
	set.NewScheduler = s.newScheduler
	f.timerAt, f.endpointVersion = -1, -1
	f.stalls, f.deferredEvents, f.deferredRequests = 0, nil, nil
	f.gateway = gateway.New(s.clock.Now(), set, f, zerolog.New(s).Level(s.cfg.LogLevel).With().Str("of", f.name).Logger())
	f.scheduleTimer()
	s.deliverEndpointsAfter(f, s.networkDelay())
}

// stall makes the front end stand still for d; then all that came meanwhile is there at once.
func (f *frontEnd) stall(d time.Duration) {
	life := f.incarnation
	f.sim.history.FrontEndStalled(f.name, d)
	f.stalls++
	f.sim.clock.After(d, func() {
		if f.incarnation != life {
			return
		}
		if f.stalls--; f.stalls > 0 {
			return
		}
		// As the loop does it: the events that are there, the timers, then the arrivals.
		missed, queue := f.deferredEvents, f.deferredRequests
		f.deferredEvents, f.deferredRequests = nil, nil
		for _, event := range slices.Concat(missed, []func(time.Duration){f.gateway.FireTimers}, queue) {
			f.do(event)
		}
	})
}

// arrive hands a call over, as soon as the front end takes calls.
func (f *frontEnd) requestReceived(c *gateway.Request) {
	event := func(now time.Duration) { f.gateway.RequestReceived(now, c) }
	if f.stalls > 0 {
		f.deferredRequests = append(f.deferredRequests, event)
		return
	}
	f.do(event)
}

// do tells the Front something and plans its next turn.
func (f *frontEnd) do(event func(now time.Duration)) {
	if f.stalls > 0 {
		f.deferredEvents = append(f.deferredEvents, event)
		return
	}
	event(f.sim.clock.Now())
	f.scheduleTimer()
}

// plan sets the timer that the Front wants.
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
		f.timerAt, f.cancelTimer = -1, nil
		if f.stalls == 0 {
			f.do(f.gateway.FireTimers)
		}
	})
}

// kill ends a life as kill -9 does.
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
	for _, l := range f.workers {
		l.Stop()
	}
	f.workers = nil
	f.sim.history.FrontEndKilled(f.name)
	asks := f.requests
	f.requests = nil
	for _, t := range asks {
		f.sim.clock.After(f.sim.networkDelay(), t.connectionLost)
	}
}

// Open implements gateway.Outside.
func (f *frontEnd) OpenWorker(id scheduler.WorkerID, _ discovery.Worker) gateway.WorkerClient {
	l := newWorkerClient(f, id)
	f.workers = append(slices.DeleteFunc(f.workers, func(x *workerClient) bool { return x.stopped }), l)
	return l
}

// Follow implements gateway.Outside: the directory is asked, and answers or fails.
func (f *frontEnd) WatchEndpoints() {
	life := f.incarnation
	f.sim.clock.After(2*f.sim.networkDelay(), func() {
		if !f.alive || f.incarnation != life {
			return
		}
		if f.sim.discoveryDown {
			f.do(func(now time.Duration) { f.gateway.WatchFailed(now, errDown) })
			return
		}
		f.watching = true
		f.sim.deliverEndpoints(f, f.sim.listedEndpoints(), f.sim.endpointVersion)
	})
}

// listed is the list as the directory tells it now.
func (s *Simulation) listedEndpoints() []discovery.Worker {
	n := int(s.listedShare*float64(len(s.endpoints)) + 0.5)
	var list []discovery.Worker
	for _, e := range s.endpoints[:n] {
		if e.State != scheduler.Removed {
			list = append(list, e)
		}
	}
	return list
}

// changed tells all front ends that follow of a change, each after its own lag.
func (s *Simulation) endpointsChanged() {
	s.endpointVersion++
	for _, f := range s.fronts {
		if f.alive && f.watching {
			s.deliverEndpointsAfter(f, s.extraDiscoveryLag+time.Duration(float64(s.cfg.DiscoveryLag)*(0.5+s.rng.Float64())))
		}
	}
}

// tell delivers the list as it is now after a lag, unless a newer one was delivered before.
func (s *Simulation) deliverEndpointsAfter(f *frontEnd, lag time.Duration) {
	list, version, life := s.listedEndpoints(), s.endpointVersion, f.incarnation
	s.clock.After(lag, func() {
		if f.alive && f.incarnation == life && f.watching && version > f.endpointVersion {
			s.deliverEndpoints(f, list, version)
		}
	})
}

func (s *Simulation) deliverEndpoints(f *frontEnd, list []discovery.Worker, version int) {
	f.endpointVersion = version
	states := map[string]scheduler.WorkerState{}
	for _, e := range list {
		states[e.Name] = e.State
	}
	s.history.EndpointsUpdated(invariant.EndpointUpdate{At: s.clock.Now(), FrontEnd: f.name, States: states})
	f.do(func(now time.Duration) { f.gateway.EndpointsChanged(now, list) })
}

// The methods below make a Sim the script.Stage on which troubles are played.

// Workers is their number.
func (s *Simulation) Workers() int { return len(s.workers) }

// Command gives a worker a command.
func (s *Simulation) CommandWorker(i int, line string) error {
	w := s.workers[i]
	if line == "reset" {
		s.workerConnectionsBroke(w)
		return nil
	}
	if argument, shake := strings.CutPrefix(line, "handshake "); shake {
		d, err := time.ParseDuration(argument)
		s.handshakeDelay[i] = d
		return err
	}
	_, err := w.Command(line)
	if line == "die" {
		s.workerConnectionsBroke(w)
	}
	return err
}

// List tells the directory of a worker.
func (s *Simulation) ListWorker(i int, state scheduler.WorkerState) {
	s.endpoints[i].State = state
	s.endpoints[i].Started = epoch.Add(s.clock.Now() - s.workers[i].Uptime() + s.clockSkew[i])
	s.endpointsChanged()
}

// StoreStop stops the store.
func (s *Simulation) StopStore(d time.Duration) { s.store.StartOutage(d) }

// StoreSlow slows the store.
func (s *Simulation) SlowStore(factor float64) { s.store.SetSlowdown(factor) }

// DirectoryLag makes changes be told later.
func (s *Simulation) DelayDiscovery(d time.Duration) { s.extraDiscoveryLag = d }

// DirectoryDown makes the directory fail its followers.
func (s *Simulation) SetDiscoveryDown(on bool) {
	s.discoveryDown = on
	if !on {
		return
	}
	for _, f := range s.fronts {
		if f.alive && f.watching {
			f.watching = false
			f.do(func(now time.Duration) { f.gateway.WatchFailed(now, errDown) })
		}
	}
}

// DirectoryPart makes the list name a share of the workers.
func (s *Simulation) LimitDiscovery(share float64) { s.listedShare = share; s.endpointsChanged() }

// DirectoryBack is a loss of the directory's index: the list is told anew.
func (s *Simulation) ResetDiscovery() { s.endpointsChanged() }

// Clock sets how far a worker's wall clock is off.
func (s *Simulation) SetClockSkew(i int, by time.Duration) { s.clockSkew[i] = by }

// StoreFail makes the store fail a share of the fetches.
func (s *Simulation) FailStore(share float64) { s.store.SetFailureShare(share) }

// Demand changes what clients ask for.
func (s *Simulation) ChangeDemand(change func(*loadgen.Demand)) error { return s.source.Change(change) }

// Network begins a trouble of the ways between zones.
func (s *Simulation) AddNetworkFault(t model.NetworkFault) (end func()) {
	end = s.network.AddFault(t)
	for _, f := range s.fronts {
		for _, l := range f.workers {
			l.startKeepalive()
		}
	}
	return end
}

// Stall makes a front end stand still.
func (s *Simulation) StallFrontEnd(i int, d time.Duration) error { s.fronts[i].stall(d); return nil }

// FrontEnds is their number.
func (s *Simulation) FrontEnds() int { return len(s.fronts) }

// Kill kills a front end.
func (s *Simulation) KillFrontEnd(i int) error { s.fronts[i].kill(); return nil }

// Start starts a front end that was killed.
func (s *Simulation) StartFrontEnd(i int) error {
	if !s.fronts[i].alive {
		s.fronts[i].start()
	}
	return nil
}

// Restart kills and starts: a clean stop takes a front end out of the clients' way, which is not modelled here.
func (s *Simulation) RestartFrontEnd(i int) error {
	s.fronts[i].kill()
	s.clock.After(100*time.Millisecond, s.fronts[i].start)
	return nil
}

// drawn is a generator of a link's own, so that links do not depend on each other's order.
func (f *frontEnd) newRand(name uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.sim.cfg.Seed^name, uint64(f.number)))
}
