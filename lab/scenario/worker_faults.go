package scenario

import (
	"fmt"
	"time"

	"havencart/scheduler"
)

// Commands of lab/worker.
const (
	commandCrash    = "die"
	commandStart    = "start"
	commandPauseOn  = "pause on"
	commandPauseOff = "pause off"
	commandSlowOff  = "slow 1"
)

func commandSlow(factor float64) string { return fmt.Sprint("slow ", factor) }

// workerCommands makes a fault of a command to workers, and another command at its end where there is one.
func workerCommands(commands func(Fault) (start, end string)) func(*Player, Fault) error {
	return func(p *Player, f Fault) error {
		start, end := commands(f)
		workers := p.pickWorkers(f.Share)
		if end != "" {
			p.after(f.Duration, func() error { return p.commandWorkers(workers, end) })
		}
		return p.commandWorkers(workers, start)
	}
}

// commandWorkers gives workers a command.
func (p *Player) commandWorkers(workers []int, line string) error {
	for _, w := range workers {
		if err := p.installation.CommandWorker(w, line); err != nil {
			return err
		}
	}
	return nil
}

// crash kills workers and starts them again. Discovery learns of both, with its lag.
func (p *Player) crash(f Fault) error {
	workers := p.pickWorkers(f.Share)
	p.after(f.Duration, func() error { return p.startWorkers(workers) })
	return p.crashWorkers(workers)
}

func (p *Player) crashWorkers(workers []int) error {
	for _, w := range workers {
		if err := p.installation.CommandWorker(w, commandCrash); err != nil {
			return err
		}
		p.installation.ListWorker(w, scheduler.Removed)
	}
	return nil
}

func (p *Player) startWorkers(workers []int) error {
	for _, w := range workers {
		if err := p.installation.CommandWorker(w, commandStart); err != nil {
			return err
		}
		p.installation.ListWorker(w, scheduler.Ready)
	}
	return nil
}

// deploy replaces workers one after another.
func (p *Player) deploy(f Fault) error {
	workers := p.pickWorkers(f.Share)
	for i, w := range workers {
		at := f.Spread * time.Duration(i) / time.Duration(len(workers))
		p.after(at, func() error {
			p.installation.ListWorker(w, scheduler.Draining)
			return nil
		})
		p.after(at+f.DrainTime, func() error {
			if err := p.installation.CommandWorker(w, commandCrash); err != nil {
				return err
			}
			return p.startWorkers([]int{w})
		})
	}
	return nil
}

// drainAndStop drains workers, stops them and starts them later.
func (p *Player) drainAndStop(f Fault) error {
	workers := p.pickWorkers(f.Share)
	for _, w := range workers {
		p.installation.ListWorker(w, scheduler.Draining)
	}
	p.after(f.DrainTime, func() error { return p.crashWorkers(workers) })
	p.after(max(f.Duration, f.DrainTime), func() error { return p.startWorkers(workers) })
	return nil
}

// alternate gives each worker two commands in turn: on, and off after onTime. It starts at a time of its own for each
// worker, and gives the second command at the end.
func (p *Player) alternate(f Fault, on string, onTime time.Duration, off string) error {
	for _, w := range p.pickWorkers(f.Share) {
		first := time.Duration(p.rng.Int64N(int64(f.Interval)))
		for at := first; at < f.Duration; at += max(f.Interval, onTime) {
			p.after(at, func() error { return p.installation.CommandWorker(w, on) })
			p.after(min(at+onTime, f.Duration), func() error { return p.installation.CommandWorker(w, off) })
		}
	}
	return nil
}

func (p *Player) pauses(f Fault) error {
	return p.alternate(f, commandPauseOn, f.PauseLength, commandPauseOff)
}

// neighbour slows workers for one interval of two.
func (p *Player) neighbour(f Fault) error {
	slow := f.Interval
	f.Interval = 2 * slow
	return p.alternate(f, commandSlow(f.Factor), slow, commandSlowOff)
}

// ageingSteps is the number of steps in which a worker becomes slower.
const ageingSteps = 10

// ageing slows workers more and more, then crashes and starts them.
func (p *Player) ageing(f Fault) error {
	workers := p.pickWorkers(f.Share)
	for i := range ageingSteps {
		part := float64(i+1) / ageingSteps
		p.after(f.Duration*time.Duration(i)/ageingSteps, func() error {
			return p.commandWorkers(workers, commandSlow(1+(f.Factor-1)*part))
		})
	}
	p.after(f.Duration, func() error {
		if err := p.crashWorkers(workers); err != nil {
			return err
		}
		return p.startWorkers(workers)
	})
	return nil
}

// reRelease invalidates the replicas of the same functions at all workers.
func (p *Player) reRelease(f Fault) error {
	salt := p.rng.Uint32()
	return p.commandWorkers(p.pickWorkers(1), fmt.Sprintf("re-release %v %d", f.Share, salt))
}

func (p *Player) clockJump(f Fault) error {
	workers := p.pickWorkers(f.Share)
	set := func(skew time.Duration) {
		for _, w := range workers {
			p.installation.SetClockSkew(w, skew)
		}
	}
	return p.forDurationDo(f, func() { set(f.Offset) }, func() { set(0) })
}
