package fleet

import (
	"context"
	"sync"
	"time"

	"havencart/lab/client"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/scheduler"
)

// Play carries out a script's troubles, each at its time, until ctx ends. Which workers are hit is drawn from
// seed.
func (f *Fleet) RunScenario(ctx context.Context, troubles []scenario.Fault, seed uint64, tell func(string)) error {
	s := &installation{Fleet: f}
	clock := model.NewWorld() // of its own: the troubles reach into the workers' world
	var play *scenario.Player
	clock.Do(func() { play = scenario.Start(clock, s, troubles, seed, tell) })
	<-ctx.Done()
	clock.Do(func() { s.recordError(play.End()) })
	s.tasks.Wait()
	return s.err
}

// stage is a Fleet on which a script is played.
type installation struct {
	*Fleet
	tasks sync.WaitGroup
	mu    sync.Mutex
	err   error
}

func (s *installation) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

func (s *installation) Workers() int { return len(s.Fleet.Workers) }
func (s *installation) CommandWorker(w int, line string) error { return s.Fleet.Workers[w].Command(line) }

func (s *installation) ListWorker(w int, state scheduler.WorkerState) {
	s.Fleet.ListWorker(s.Fleet.Workers[w], state)
}
func (s *installation) StopStore(d time.Duration)      { s.Store.Stop(d) }
func (s *installation) SlowStore(factor float64)       { s.Store.Slow(factor) }
func (s *installation) DelayDiscovery(d time.Duration) { s.Discovery.Lag(d) }
func (s *installation) SetDiscoveryDown(on bool)       { s.Discovery.Down(on) }
func (s *installation) LimitDiscovery(share float64)   { s.Discovery.Partial(share) }
func (s *installation) ResetDiscovery()                { s.Discovery.Back() }
func (s *installation) FailStore(share float64)        { s.Store.Fail(share) }
func (s *installation) FrontEnds() int                 { return len(s.Fleet.FrontEnds) }

func (s *installation) KillFrontEnd(i int) error {
	s.Fleet.FrontEnds[i].Kill()
	return nil
}

func (s *installation) StallFrontEnd(i int, d time.Duration) error {
	e := s.Fleet.FrontEnds[i]
	s.History.FrontEndStalled(e.Name(), d)
	e.Service().Stall(d)
	return nil
}

func (s *installation) SetClockSkew(w int, by time.Duration) { s.Fleet.clockSkew[w] = by }

func (s *installation) ChangeDemand(change func(*loadgen.Demand)) error { return s.Clients.change(change) }

func (s *installation) AddNetworkFault(t model.NetworkFault) (end func()) {
	var over func()
	s.Clock.Do(func() { over = s.network.AddFault(t) })
	return func() { s.Clock.Do(over) }
}

func (s *installation) StartFrontEnd(i int) error { return s.Fleet.FrontEnds[i].Start() }

// Restart stops a front end cleanly, which takes its time, and starts it.
func (s *installation) RestartFrontEnd(i int) error {
	e := s.Fleet.FrontEnds[i]
	s.tasks.Go(func() {
		err := e.Stop()
		if err == nil {
			err = e.Start()
		}
		s.recordError(err)
	})
	return nil
}

// Clients are the clients of a Fleet.
type Clients struct {
	mu     sync.Mutex
	source *loadgen.Source // of the run under way
}

// change changes what the clients of the run under way ask for.
func (c *Clients) change(f func(*loadgen.Demand)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source == nil {
		return nil
	}
	return c.source.Change(f)
}

func (c *Clients) setSource(s *loadgen.Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = s
}

// Run makes calls as m says for d, arrivals drawn from seed whatever becomes of earlier ones, and returns when
// all have ended. It returns the clients' calls by how they ended, repeats counted as one.
func (f *Fleet) RunClients(ctx context.Context, m loadgen.Mix, d time.Duration, seed uint64) map[string]int {
	source := loadgen.ForSettings(m, d, f.Settings, seed)
	f.Clients.setSource(source)
	var mu sync.Mutex
	seen := map[string]int{}
	client.Runner{
		Fronts: len(f.FrontEnds), Pools: func(i int) *client.Pool { return f.FrontEnds[i].Pool() },
		Next: source.Next, Observe: func(o client.Observation) {
			mu.Lock()
			defer mu.Unlock()
			seen[o.Outcome]++
		},
	}.Run(ctx)
	return seen
}
