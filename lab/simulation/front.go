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
type front struct {
	sim    *Sim
	number int
	name   string
	alive  bool
	life   int
	gate   *gateway.FrontEnd
	links  []*link
	asks   []*client
	counts gateway.Counts // of earlier lives
	stalls int            // under way
	missed []func(now time.Duration)
	queue  []func(now time.Duration) // arrivals, while it stands still

	wakeAt   time.Duration
	stopWake func()
	follows  bool // the directory tells it changes
	version  int  // of the list that it was told last
}

// start begins a life.
func (f *front) start() {
	s := f.sim
	f.alive, f.follows = true, true
	f.life++
	set := gateway.FrontEndSettings(s.set, f.number, epoch, s.cfg.Seed^uint64(f.number)<<20^uint64(f.life))
	set.NewScheduler = s.policy
	f.wakeAt, f.version = -1, -1
	f.stalls, f.missed, f.queue = 0, nil, nil
	f.gate = gateway.New(s.clock.Now(), set, f, zerolog.New(s).Level(s.cfg.LogLevel).With().Str("of", f.name).Logger())
	f.plan()
	s.tell(f, s.delay())
}

// stall makes the front end stand still for d; then all that came meanwhile is there at once.
func (f *front) stall(d time.Duration) {
	life := f.life
	f.sim.book.Stall(f.name, d)
	f.stalls++
	f.sim.clock.After(d, func() {
		if f.life != life {
			return
		}
		if f.stalls--; f.stalls > 0 {
			return
		}
		// As the loop does it: the events that are there, the timers, then the arrivals.
		missed, queue := f.missed, f.queue
		f.missed, f.queue = nil, nil
		for _, event := range slices.Concat(missed, []func(time.Duration){f.gate.FireTimers}, queue) {
			f.do(event)
		}
	})
}

// arrive hands a call over, as soon as the front end takes calls.
func (f *front) arrive(c *gateway.Request) {
	event := func(now time.Duration) { f.gate.RequestReceived(now, c) }
	if f.stalls > 0 {
		f.queue = append(f.queue, event)
		return
	}
	f.do(event)
}

// do tells the Front something and plans its next turn.
func (f *front) do(event func(now time.Duration)) {
	if f.stalls > 0 {
		f.missed = append(f.missed, event)
		return
	}
	event(f.sim.clock.Now())
	f.plan()
}

// plan sets the timer that the Front wants.
func (f *front) plan() {
	next := f.gate.NextTimer()
	if next == f.wakeAt {
		return
	}
	if f.stopWake != nil {
		f.stopWake()
	}
	f.wakeAt = next
	f.stopWake = f.sim.clock.After(next-f.sim.clock.Now(), func() {
		f.wakeAt, f.stopWake = -1, nil
		if f.stalls == 0 {
			f.do(f.gate.FireTimers)
		}
	})
}

// kill ends a life as kill -9 does.
func (f *front) kill() {
	if !f.alive {
		return
	}
	f.alive, f.follows = false, false
	f.counts.Add(f.gate.Counts())
	if f.stopWake != nil {
		f.stopWake()
		f.stopWake = nil
	}
	for _, l := range f.links {
		l.Stop()
	}
	f.links = nil
	f.sim.book.Kill(f.name)
	asks := f.asks
	f.asks = nil
	for _, t := range asks {
		f.sim.clock.After(f.sim.delay(), t.lost)
	}
}

// Open implements gateway.Outside.
func (f *front) OpenWorker(id scheduler.WorkerID, _ discovery.Worker) gateway.WorkerClient {
	l := newLink(f, id)
	f.links = append(slices.DeleteFunc(f.links, func(x *link) bool { return x.stopped }), l)
	return l
}

// Follow implements gateway.Outside: the directory is asked, and answers or fails.
func (f *front) WatchEndpoints() {
	life := f.life
	f.sim.clock.After(2*f.sim.delay(), func() {
		if !f.alive || f.life != life {
			return
		}
		if f.sim.down {
			f.do(func(now time.Duration) { f.gate.WatchFailed(now, errDown) })
			return
		}
		f.follows = true
		f.sim.deliver(f, f.sim.listed(), f.sim.version)
	})
}

// listed is the list as the directory tells it now.
func (s *Sim) listed() []discovery.Worker {
	n := int(s.part*float64(len(s.entries)) + 0.5)
	var list []discovery.Worker
	for _, e := range s.entries[:n] {
		if e.State != scheduler.Removed {
			list = append(list, e)
		}
	}
	return list
}

// changed tells all front ends that follow of a change, each after its own lag.
func (s *Sim) changed() {
	s.version++
	for _, f := range s.fronts {
		if f.alive && f.follows {
			s.tell(f, s.lag+time.Duration(float64(s.cfg.ListLag)*(0.5+s.rng.Float64())))
		}
	}
}

// tell delivers the list as it is now after a lag, unless a newer one was delivered before.
func (s *Sim) tell(f *front, lag time.Duration) {
	list, version, life := s.listed(), s.version, f.life
	s.clock.After(lag, func() {
		if f.alive && f.life == life && f.follows && version > f.version {
			s.deliver(f, list, version)
		}
	})
}

func (s *Sim) deliver(f *front, list []discovery.Worker, version int) {
	f.version = version
	states := map[string]scheduler.WorkerState{}
	for _, e := range list {
		states[e.Name] = e.State
	}
	s.book.Notice(invariant.Notice{At: s.clock.Now(), FrontEnd: f.name, States: states})
	f.do(func(now time.Duration) { f.gate.EndpointsChanged(now, list) })
}

// The methods below make a Sim the script.Stage on which troubles are played.

// Workers is their number.
func (s *Sim) Workers() int { return len(s.workers) }

// Command gives a worker a command.
func (s *Sim) Command(i int, line string) error {
	w := s.workers[i]
	if line == "reset" {
		s.broke(w)
		return nil
	}
	if argument, shake := strings.CutPrefix(line, "handshake "); shake {
		d, err := time.ParseDuration(argument)
		s.shakes[i] = d
		return err
	}
	_, err := w.Command(line)
	if line == "die" {
		s.broke(w)
	}
	return err
}

// List tells the directory of a worker.
func (s *Sim) List(i int, state scheduler.WorkerState) {
	s.entries[i].State = state
	s.entries[i].Started = epoch.Add(s.clock.Now() - s.workers[i].Uptime() + s.skew[i])
	s.changed()
}

// StoreStop stops the store.
func (s *Sim) StoreStop(d time.Duration) { s.store.StartOutage(d) }

// StoreSlow slows the store.
func (s *Sim) StoreSlow(factor float64) { s.store.SetSlowdown(factor) }

// DirectoryLag makes changes be told later.
func (s *Sim) DirectoryLag(d time.Duration) { s.lag = d }

// DirectoryDown makes the directory fail its followers.
func (s *Sim) DirectoryDown(on bool) {
	s.down = on
	if !on {
		return
	}
	for _, f := range s.fronts {
		if f.alive && f.follows {
			f.follows = false
			f.do(func(now time.Duration) { f.gate.WatchFailed(now, errDown) })
		}
	}
}

// DirectoryPart makes the list name a share of the workers.
func (s *Sim) DirectoryPart(share float64) { s.part = share; s.changed() }

// DirectoryBack is a loss of the directory's index: the list is told anew.
func (s *Sim) DirectoryBack() { s.changed() }

// Clock sets how far a worker's wall clock is off.
func (s *Sim) Clock(i int, by time.Duration) { s.skew[i] = by }

// StoreFail makes the store fail a share of the fetches.
func (s *Sim) StoreFail(share float64) { s.store.SetFailureShare(share) }

// Demand changes what clients ask for.
func (s *Sim) Demand(change func(*loadgen.Demand)) error { return s.source.Change(change) }

// Network begins a trouble of the ways between zones.
func (s *Sim) Network(t model.NetworkFault) (end func()) {
	end = s.net.AddFault(t)
	for _, f := range s.fronts {
		for _, l := range f.links {
			l.watch()
		}
	}
	return end
}

// Stall makes a front end stand still.
func (s *Sim) Stall(i int, d time.Duration) error { s.fronts[i].stall(d); return nil }

// FrontEnds is their number.
func (s *Sim) FrontEnds() int { return len(s.fronts) }

// Kill kills a front end.
func (s *Sim) Kill(i int) error { s.fronts[i].kill(); return nil }

// Start starts a front end that was killed.
func (s *Sim) Start(i int) error {
	if !s.fronts[i].alive {
		s.fronts[i].start()
	}
	return nil
}

// Restart kills and starts: a clean stop takes a front end out of the clients' way, which is not modelled here.
func (s *Sim) Restart(i int) error {
	s.fronts[i].kill()
	s.clock.After(100*time.Millisecond, s.fronts[i].start)
	return nil
}

// drawn is a generator of a link's own, so that links do not depend on each other's order.
func (f *front) drawn(name uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.sim.cfg.Seed^name, uint64(f.number)))
}
