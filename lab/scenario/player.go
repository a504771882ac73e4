package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// Installation is what faults are injected into. Workers and front ends are named by their index. The methods are
// called from callbacks of the Player's clock and return at once.
type Installation interface {
	// Workers is the number of workers.
	Workers() int
	// CommandWorker gives a worker a command of lab/worker.
	CommandWorker(worker int, line string) error
	// ListWorker changes a worker's state in discovery, with the start of its process as it is now.
	ListWorker(worker int, state scheduler.WorkerState)
	// SetClockSkew sets how far a worker's wall clock is off; 0 ends it.
	SetClockSkew(worker int, skew time.Duration)

	// StopStore stops the function store for d.
	StopStore(d time.Duration)
	// SlowStore makes fetches take factor times as long; 1 ends it.
	SlowStore(factor float64)
	// FailStore makes a share of the fetches fail; 0 ends it.
	FailStore(share float64)

	// DelayDiscovery delays the notification of changes; 0 ends it.
	DelayDiscovery(d time.Duration)
	// SetDiscoveryDown makes discovery fail, or ends that.
	SetDiscoveryDown(on bool)
	// LimitDiscovery makes the list name only a share of the workers; 1 ends it.
	LimitDiscovery(share float64)
	// ResetDiscovery makes discovery lose its index and deliver the list anew.
	ResetDiscovery()

	// AddNetworkFault starts a fault between zones. The returned function ends it.
	AddNetworkFault(model.NetworkFault) (end func())
	// ChangeDemand changes what clients ask for.
	ChangeDemand(change func(*loadgen.Demand)) error

	// FrontEnds is the number of front ends.
	FrontEnds() int
	// KillFrontEnd ends a front end's process without a word to anybody.
	KillFrontEnd(frontEnd int) error
	// StartFrontEnd starts a front end that was killed.
	StartFrontEnd(frontEnd int) error
	// RestartFrontEnd stops a front end and starts it.
	RestartFrontEnd(frontEnd int) error
	// StallFrontEnd stalls a front end's event loop for d.
	StallFrontEnd(frontEnd int, d time.Duration) error
}

// Player injects the faults of a scenario into an installation, each at its time.
type Player struct {
	clock        model.Clock
	installation Installation
	rng          *rand.Rand // draws the workers that are affected
	cancels      []func()   // of all timers
	err          error      // the first one
}

// Start injects faults into an installation, each at its time from now on the clock. Which workers are affected is
// drawn from seed. It returns at once and is to be called within the clock. report is called with each fault.
func Start(clock model.Clock, installation Installation, faults []Fault, seed uint64, report func(string)) *Player {
	p := &Player{clock: clock, installation: installation, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, f := range faults {
		p.after(f.At, func() error {
			report(fmt.Sprintf("%v: %v", f.At, f))
			if err := kindOf(f.Kind).inject(p, f); err != nil {
				return fmt.Errorf("line %d: %w", f.Line, err)
			}
			return nil
		})
	}
	return p
}

// End cancels everything that has not happened yet, and returns the first error of what has. It is to be called within
// the clock.
func (p *Player) End() error {
	for _, cancel := range p.cancels {
		cancel()
	}
	return p.err
}

// after calls f later. The first error is kept for End.
func (p *Player) after(d time.Duration, f func() error) {
	p.cancels = append(p.cancels, p.clock.After(d, func() {
		if err := f(); err != nil && p.err == nil {
			p.err = err
		}
	}))
}

// forDuration starts a fault now and ends it after its duration.
func (p *Player) forDuration(f Fault, start, end func() error) error {
	p.after(f.Duration, end)
	return start()
}

// forDurationDo is forDuration for what cannot fail.
func (p *Player) forDurationDo(f Fault, start, end func()) error {
	return p.forDuration(f, succeeding(start), succeeding(end))
}

func succeeding(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

// pickWorkers draws a share of the workers, at least one.
func (p *Player) pickWorkers(share float64) []int {
	workers := p.installation.Workers()
	n := max(1, int(share*float64(workers)+0.5))
	return p.rng.Perm(workers)[:n]
}
