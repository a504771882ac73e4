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
type Stage interface {
	Workers() int
	// Command gives a worker one of its commands.
	Command(worker int, line string) error
	// List tells the directory of a worker's state; it hears of a start by itself.
	List(worker int, state scheduler.WorkerState)
	// Clock sets how far a worker's wall clock is off.
	Clock(worker int, by time.Duration)
	StoreStop(d time.Duration)
	StoreSlow(factor float64)
	StoreFail(share float64)
	DirectoryLag(d time.Duration)
	DirectoryDown(on bool)
	DirectoryPart(share float64)
	DirectoryBack()
	// Network begins a trouble of the ways between zones; the returned function ends it.
	Network(model.NetworkFault) (end func())
	// Demand changes what clients ask for.
	Demand(change func(*loadgen.Demand)) error
	FrontEnds() int
	Kill(frontEnd int) error
	Start(frontEnd int) error
	Restart(frontEnd int) error
	Stall(frontEnd int, d time.Duration) error
}

// Play is a script being played.
type Play struct {
	clock model.Clock
	stage Stage
	rng   *rand.Rand
	tell  func(string)
	stops []func()
	err   error
}

// Begin plays troubles on a stage, each at its time from now on the clock. Which workers are hit is drawn from
// seed. It returns at once; what it does, it does within the clock.
func Begin(clock model.Clock, stage Stage, troubles []Trouble, seed uint64, tell func(string)) *Play {
	p := &Play{clock: clock, stage: stage, rng: rand.New(rand.NewPCG(seed, 1)), tell: tell}
	for _, t := range troubles {
		p.after(t.At, func() error {
			tell(fmt.Sprintf("%v: %v", t.At, t))
			if err := verbOf(t.Verb).begin(p, t); err != nil {
				return fmt.Errorf("line %d: %w", t.Line, err)
			}
			return nil
		})
	}
	return p
}

// End takes back all that has not been done. It is to be called within the clock.
func (p *Play) End() error {
	for _, stop := range p.stops {
		stop()
	}
	return p.err
}

// after does f later; the first error is kept for End.
func (p *Play) after(d time.Duration, f func() error) {
	p.stops = append(p.stops, p.clock.After(d, func() {
		if err := f(); err != nil && p.err == nil {
			p.err = err
		}
	}))
}

// pick draws a share of the workers, at least one.
func (p *Play) pick(share float64) []int {
	n := max(1, int(share*float64(p.stage.Workers())+0.5))
	return p.rng.Perm(p.stage.Workers())[:n]
}
