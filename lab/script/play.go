package script

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/control"
	"havencart/lab/model"
)

// Stage is an installation on which troubles are played. Its methods return at once.
type Stage interface {
	Workers() int
	// Command gives a worker one of its commands.
	Command(worker int, line string) error
	// List tells the directory of a worker's state; it hears of a start by itself.
	List(worker int, state control.WorkerState)
	StoreStop(d time.Duration)
	StoreSlow(factor float64)
	DirectoryLag(d time.Duration)
	DirectoryDown(on bool)
	DirectoryPart(share float64)
	DirectoryBack()
	// Leave makes a share of the clients leave early.
	Leave(share float64)
	FrontEnds() int
	Kill(frontEnd int) error
	Start(frontEnd int) error
	Restart(frontEnd int) error
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
			if err := p.begin(t); err != nil {
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

// String is the trouble in the script's words, without its time.
func (t Trouble) String() string {
	text := t.Verb
	if t.Share > 0 {
		text += fmt.Sprintf(" %.0f%%", 100*t.Share)
	}
	if t.Factor > 0 {
		text += fmt.Sprintf(" by %v", t.Factor)
	}
	if t.For > 0 {
		text += fmt.Sprintf(" for %v", t.For)
	}
	return text
}

// pick draws a share of the workers, at least one.
func (p *Play) pick(share float64) []int {
	n := max(1, int(share*float64(p.stage.Workers())+0.5))
	return p.rng.Perm(p.stage.Workers())[:n]
}

// command gives workers a command, and another one when the trouble is over.
func (p *Play) command(list []int, begin, end string, lasts time.Duration) error {
	all := func(line string) error {
		for _, w := range list {
			if err := p.stage.Command(w, line); err != nil {
				return err
			}
		}
		return nil
	}
	if end != "" {
		p.after(lasts, func() error { return all(end) })
	}
	return all(begin)
}

func (p *Play) begin(t Trouble) error {
	switch t.Verb {
	case "crash":
		return p.crash(p.pick(t.Share), t.For)
	case "deploy":
		p.deploy(p.pick(t.Share), t.Over, t.Drain)
	case "fail":
		return p.command(p.pick(t.Share), fmt.Sprint("fail ", t.Factor), "fail 0", t.For)
	case "hang":
		return p.command(p.pick(t.Share), "hang on", "hang off", t.For)
	case "pause":
		return p.command(p.pick(t.Share), "pause on", "pause off", t.For)
	case "slow":
		return p.command(p.pick(t.Share), fmt.Sprint("slow ", t.Factor), "slow 1", t.For)
	case "reset":
		return p.command(p.pick(t.Share), "reset", "", 0)
	case "flush":
		return p.command(p.pick(t.Share), "flush", "", 0)
	case "leave":
		p.stage.Leave(t.Share)
		p.after(t.For, func() error { p.stage.Leave(0); return nil })
	case "kill", "restart":
		return p.frontEnd(t)
	case "end":
	default:
		p.service(t)
	}
	return nil
}

// service begins a trouble of the store or the directory.
func (p *Play) service(t Trouble) {
	end := func(f func()) { p.after(t.For, func() error { f(); return nil }) }
	switch t.Verb {
	case "store-stop":
		p.stage.StoreStop(t.For)
	case "store-slow":
		p.stage.StoreSlow(t.Factor)
		end(func() { p.stage.StoreSlow(1) })
	case "directory-lag":
		p.stage.DirectoryLag(t.By)
		end(func() { p.stage.DirectoryLag(0) })
	case "directory-down":
		p.stage.DirectoryDown(true)
		end(func() { p.stage.DirectoryDown(false) })
	case "directory-part":
		p.stage.DirectoryPart(t.Share)
		end(func() { p.stage.DirectoryPart(1) })
	case "directory-back":
		p.stage.DirectoryBack()
	}
}

// crash kills workers; they come back cold. The directory hears of both, with its lag.
func (p *Play) crash(list []int, lasts time.Duration) error {
	for _, w := range list {
		if err := p.stage.Command(w, "die"); err != nil {
			return err
		}
		p.stage.List(w, control.Gone)
	}
	p.after(lasts, func() error {
		for _, w := range list {
			if err := p.start(w); err != nil {
				return err
			}
		}
		return nil
	})
	return nil
}

func (p *Play) start(w int) error {
	if err := p.stage.Command(w, "start"); err != nil {
		return err
	}
	p.stage.List(w, control.Ready)
	return nil
}

// deploy replaces workers one after another: each drains, ends and starts anew.
func (p *Play) deploy(list []int, over, drain time.Duration) {
	for i, w := range list {
		at := over * time.Duration(i) / time.Duration(len(list))
		p.after(at, func() error { p.stage.List(w, control.Draining); return nil })
		p.after(at+drain, func() error {
			if err := p.stage.Command(w, "die"); err != nil {
				return err
			}
			return p.start(w)
		})
	}
}

// frontEnd kills a front end, or restarts it cleanly.
func (p *Play) frontEnd(t Trouble) error {
	if t.Number > p.stage.FrontEnds() {
		return fmt.Errorf("there is no front end %d", t.Number)
	}
	if t.Verb == "restart" {
		return p.stage.Restart(t.Number - 1)
	}
	p.after(t.For, func() error { return p.stage.Start(t.Number - 1) })
	return p.stage.Kill(t.Number - 1)
}
