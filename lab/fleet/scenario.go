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

// RunScenario injects a scenario's faults, each at its time, until ctx ends. The workers that a fault affects are drawn
// from seed. RunScenario calls report with a line for each fault.
func (f *Fleet) RunScenario(ctx context.Context, faults []scenario.Fault, seed uint64, report func(string)) error {
	target := &installation{Fleet: f}
	clock := model.NewRealClock() // separate from f.Clock, whose lock the faults take
	var player *scenario.Player
	clock.Do(func() { player = scenario.Start(clock, target, faults, seed, report) })
	<-ctx.Done()
	clock.Do(func() { target.recordError(player.End()) })
	target.tasks.Wait()
	return target.err
}

// installation implements scenario.Installation, the target of fault injection, for a Fleet.
type installation struct {
	*Fleet
	tasks sync.WaitGroup // restarts in progress
	mu    sync.Mutex
	err   error // the first error of a fault
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
	return t.Clients.changeDemand(change)
}

func (t *installation) FrontEnds() int { return len(t.Fleet.FrontEnds) }

func (t *installation) KillFrontEnd(i int) error {
	t.Fleet.FrontEnds[i].Kill()
	return nil
}

func (t *installation) StartFrontEnd(i int) error { return t.Fleet.FrontEnds[i].Start() }

// RestartFrontEnd shuts a front end down gracefully and starts it again, in the background as the shutdown takes time.
func (t *installation) RestartFrontEnd(i int) error {
	fe := t.Fleet.FrontEnds[i]
	t.tasks.Go(func() {
		err := fe.Stop()
		if err == nil {
			err = fe.Start()
		}
		t.recordError(err)
	})
	return nil
}

func (t *installation) StallFrontEnd(i int, d time.Duration) error {
	fe := t.Fleet.FrontEnds[i]
	t.History.FrontEndStalled(fe.Name(), d)
	fe.Service().Stall(d)
	return nil
}
