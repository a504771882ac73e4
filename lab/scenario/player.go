package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// Installation is the system that faults are injected into. Workers and front ends are identified by index, from 0. The
// methods are called from callbacks of the Player's clock and must not block.
type Installation interface {
	// Workers returns the number of workers.
	Workers() int
	// CommandWorker executes a command line of lab/worker at a worker.
	CommandWorker(worker int, line string) error
	// ListWorker changes a worker's state in discovery, together with the current start time of its process.
	ListWorker(worker int, state scheduler.WorkerState)
	// SetClockSkew sets how far a worker's wall clock is ahead; a negative skew puts it behind, 0 ends the fault.
	SetClockSkew(worker int, skew time.Duration)

	// StopStore takes the function store out of service for d.
	StopStore(d time.Duration)
	// SlowStore makes fetches take factor times as long; 1 ends the fault.
	SlowStore(factor float64)
	// FailStore makes a share of the fetches fail, 0 to 1; 0 ends the fault.
	FailStore(share float64)

	// DelayDiscovery delays the notification of endpoint changes by d; 0 ends the fault.
	DelayDiscovery(d time.Duration)
	// SetDiscoveryDown makes discovery unavailable or available again.
	SetDiscoveryDown(on bool)
	// LimitDiscovery makes the endpoint list contain only a share of the workers, 0 to 1; 1 ends the fault.
	LimitDiscovery(share float64)
	// ResetDiscovery makes discovery lose its index and deliver the endpoint list again.
	ResetDiscovery()

	// AddNetworkFault starts a fault between zones. The returned function ends it.
	AddNetworkFault(model.NetworkFault) (end func())
	// ChangeDemand changes the clients' demand.
	ChangeDemand(change func(*loadgen.Demand)) error

	// FrontEnds returns the number of front ends.
	FrontEnds() int
	// KillFrontEnd kills a front end's process without a graceful shutdown.
	KillFrontEnd(frontEnd int) error
	// StartFrontEnd starts a front end that was killed.
	StartFrontEnd(frontEnd int) error
	// RestartFrontEnd stops a front end and starts it again.
	RestartFrontEnd(frontEnd int) error
	// StallFrontEnd stalls a front end's event loop for d.
	StallFrontEnd(frontEnd int, d time.Duration) error
}

// Player injects the faults of a scenario into an installation at their times.
type Player struct {
	clock        model.Clock
	installation Installation
	rng          *rand.Rand // draws the affected workers and the random times and salts of faults
	cancels      []func()   // functions that cancel the timers
	err          error      // first error of a fault
}

// Start schedules faults on the clock, relative to the current time, and returns at once. It must be called within
// the clock. The affected workers are drawn from seed. report is called with the time and text of each fault when the
// fault is injected.
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

// End cancels all faults and ends of faults that are still scheduled, and returns the first error of those that ran. It
// must be called within the clock.
func (p *Player) End() error {
	for _, cancel := range p.cancels {
		cancel()
	}
	return p.err
}

// after schedules f to run after d. The first error of any f is stored for End.
func (p *Player) after(d time.Duration, f func() error) {
	p.cancels = append(p.cancels, p.clock.After(d, func() {
		if err := f(); err != nil && p.err == nil {
			p.err = err
		}
	}))
}

// forDuration calls start now and schedules end after the fault's duration.
func (p *Player) forDuration(f Fault, start, end func() error) error {
	p.after(f.Duration, end)
	return start()
}

// forDurationNoError is forDuration for functions that cannot fail.
func (p *Player) forDurationNoError(f Fault, start, end func()) error {
	return p.forDuration(f, withNilError(start), withNilError(end))
}

// withNilError adapts a function that cannot fail to one that returns an error.
func withNilError(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

// pickWorkers draws a share of the workers, at least one, and returns their indexes in random order.
func (p *Player) pickWorkers(share float64) []int {
	workers := p.installation.Workers()
	n := max(1, int(share*float64(workers)+0.5))
	return p.rng.Perm(workers)[:n]
}
