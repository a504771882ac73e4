package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// Stage is an installation on which troubles are played. Its methods return at once.
type Installation interface {
	Workers() int
	// Command gives a worker one of its commands.
	CommandWorker(worker int, line string) error
	// List tells the directory of a worker's state; it hears of a start by itself.
	ListWorker(worker int, state scheduler.WorkerState)
	// Clock sets how far a worker's wall clock is off.
	SetClockSkew(worker int, by time.Duration)
	StopStore(d time.Duration)
	SlowStore(factor float64)
	FailStore(share float64)
	DelayDiscovery(d time.Duration)
	SetDiscoveryDown(on bool)
	LimitDiscovery(share float64)
	ResetDiscovery()
	// Network begins a trouble of the ways between zones; the returned function ends it.
	AddNetworkFault(model.NetworkFault) (end func())
	// Demand changes what clients ask for.
	ChangeDemand(change func(*loadgen.Demand)) error
	FrontEnds() int
	KillFrontEnd(frontEnd int) error
	StartFrontEnd(frontEnd int) error
	RestartFrontEnd(frontEnd int) error
	StallFrontEnd(frontEnd int, d time.Duration) error
}

// Play is a script being played.
type Player struct {
	clock        model.Clock
	installation Installation
	rng          *rand.Rand
	report       func(string)
	cancels      []func()
	err          error
}

// Begin plays troubles on a stage, each at its time from now on the clock. Which workers are hit is drawn from
// seed. It returns at once; what it does, it does within the clock.
func Start(clock model.Clock, stage Installation, troubles []Fault, seed uint64, tell func(string)) *Player {
	p := &Player{clock: clock, installation: stage, rng: rand.New(rand.NewPCG(seed, 1)), report: tell}
	for _, t := range troubles {
		p.after(t.At, func() error {
			tell(fmt.Sprintf("%v: %v", t.At, t))
			if err := kindOf(t.Kind).inject(p, t); err != nil {
				return fmt.Errorf("line %d: %w", t.Line, err)
			}
			return nil
		})
	}
	return p
}

// End takes back all that has not been done. It is to be called within the clock.
func (p *Player) End() error {
	for _, stop := range p.cancels {
		stop()
	}
	return p.err
}

// after does f later; the first error is kept for End.
func (p *Player) after(d time.Duration, f func() error) {
	p.cancels = append(p.cancels, p.clock.After(d, func() {
		if err := f(); err != nil && p.err == nil {
			p.err = err
		}
	}))
}

// pick draws a share of the workers, at least one.
func (p *Player) pickWorkers(share float64) []int {
	n := max(1, int(share*float64(p.installation.Workers())+0.5))
	return p.rng.Perm(p.installation.Workers())[:n]
}
