package fleet

import (
	"context"
	"sync"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/scheduler"
)

// RunScenario injects a scenario's faults, each at its time, until ctx ends. Which workers are affected is drawn from
// seed. report is called with each fault.
func (f *Fleet) RunScenario(ctx context.Context, faults []scenario.Fault, seed uint64, report func(string)) error {
	target := &installation{Fleet: f}
	clock := model.NewRealClock() // of its own: the faults enter the workers' clock
	var player *scenario.Player
	clock.Do(func() { player = scenario.Start(clock, target, faults, seed, report) })
	<-ctx.Done()
	clock.Do(func() { target.recordError(player.End()) })
	target.tasks.Wait()
	return target.err
}

// installation is a Fleet into which faults are injected. It implements scenario.Installation.
type installation struct {
	*Fleet
	tasks sync.WaitGroup // restarts under way
	mu    sync.Mutex
	err   error // the first one
}

var _ scenario.Installation = (*installation)(nil)

func (t *installation) recordError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

func (t *installation) Workers() int { return len(t.Fleet.Workers) }

func (t *installation) CommandWorker(i int, line string) error {
	return t.Fleet.Workers[i].Command(line)
}

func (t *installation) ListWorker(i int, state scheduler.WorkerState) {
	t.Fleet.ListWorker(t.Fleet.Workers[i], state)
}

func (t *installation) SetClockSkew(i int, skew time.Duration) { t.clockSkew[i] = skew }

func (t *installation) StopStore(d time.Duration) { t.Store.Stop(d) }

func (t *installation) SlowStore(factor float64) { t.Store.Slow(factor) }

func (t *installation) FailStore(share float64) { t.Store.Fail(share) }

func (t *installation) DelayDiscovery(d time.Duration) { t.Discovery.SetLag(d) }

func (t *installation) SetDiscoveryDown(on bool) { t.Discovery.SetDown(on) }

func (t *installation) LimitDiscovery(share float64) { t.Discovery.SetListedShare(share) }

func (t *installation) ResetDiscovery() { t.Discovery.ResetIndex() }

func (t *installation) AddNetworkFault(fault model.NetworkFault) (end func()) {
	var remove func()
	t.Clock.Do(func() { remove = t.network.AddFault(fault) })
	return func() { t.Clock.Do(remove) }
}

func (t *installation) ChangeDemand(change func(*loadgen.Demand)) error {
	return t.Clients.change(change)
}

func (t *installation) FrontEnds() int { return len(t.Fleet.FrontEnds) }

func (t *installation) KillFrontEnd(i int) error {
	t.Fleet.FrontEnds[i].Kill()
	return nil
}

func (t *installation) StartFrontEnd(i int) error { return t.Fleet.FrontEnds[i].Start() }

// RestartFrontEnd shuts a front end down gracefully, which takes its time, and starts it.
func (t *installation) RestartFrontEnd(i int) error {
	e := t.Fleet.FrontEnds[i]
	t.tasks.Go(func() {
		err := e.Stop()
		if err == nil {
			err = e.Start()
		}
		t.recordError(err)
	})
	return nil
}

func (t *installation) StallFrontEnd(i int, d time.Duration) error {
	e := t.Fleet.FrontEnds[i]
	t.History.FrontEndStalled(e.Name(), d)
	e.Service().Stall(d)
	return nil
}
