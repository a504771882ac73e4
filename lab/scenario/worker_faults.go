package scenario

import (
	"fmt"
	"time"

	"havencart/scheduler"
)

// Commands that lab/worker accepts.
const (
	commandCrash    = "die"
	commandStart    = "start"
	commandPauseOn  = "pause on"
	commandPauseOff = "pause off"
	commandSlowOff  = "slow 1"
)

func commandSlow(factor float64) string { return fmt.Sprint("slow ", factor) }

// workerCommands returns the inject function of a fault that sends a command to the affected workers when it starts
// and, unless the second command is empty, another one when it ends.
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

// commandWorkers sends a command line to workers.
func (p *Player) commandWorkers(workers []int, line string) error {
	for _, w := range workers {
		if err := p.installation.CommandWorker(w, line); err != nil {
			return err
		}
	}
	return nil
}

// crash crashes workers and starts them again after the fault's duration. Discovery publishes both changes, with its
// usual lag.
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

// deploy replaces workers one after another: each is listed as draining, crashes after the drain time and starts
// again at once. The drains start at equal intervals within the fault's spread.
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

// drainAndStop lists workers as draining, stops them after the drain time and starts them again after the fault's
// duration, but not before they have stopped. Both times count from the start of the drain.
func (p *Player) drainAndStop(f Fault) error {
	workers := p.pickWorkers(f.Share)
	for _, w := range workers {
		p.installation.ListWorker(w, scheduler.Draining)
	}
	p.after(f.DrainTime, func() error { return p.crashWorkers(workers) })
	p.after(max(f.Duration, f.DrainTime), func() error { return p.startWorkers(workers) })
	return nil
}

// alternate sends each affected worker the command on and, after onTime, the command off. It repeats this at the
// fault's interval, or without a gap if onTime is longer than the interval. The first time is drawn separately for each
// worker. No period outlasts the fault's duration.
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

func (p *Player) pauseRepeatedly(f Fault) error {
	return p.alternate(f, commandPauseOn, f.PauseLength, commandPauseOff)
}

// slowIntermittently slows workers in every other interval, as a noisy neighbour does.
func (p *Player) slowIntermittently(f Fault) error {
	slow := f.Interval
	f.Interval = 2 * slow
	return p.alternate(f, commandSlow(f.Factor), slow, commandSlowOff)
}

// ageingSteps is the number of equal steps in which an ageing worker reaches its full slowdown.
const ageingSteps = 10

// slowGradually slows workers in steps over the fault's duration, then crashes them and starts them again at once.
func (p *Player) slowGradually(f Fault) error {
	workers := p.pickWorkers(f.Share)
	for i := range ageingSteps {
		fraction := float64(i+1) / ageingSteps
		p.after(f.Duration*time.Duration(i)/ageingSteps, func() error {
			return p.commandWorkers(workers, commandSlow(1+(f.Factor-1)*fraction))
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

// invalidateFunctions invalidates the replicas of a share of the functions, which is the same at all workers, as the
// release of new versions of these functions does.
func (p *Player) invalidateFunctions(f Fault) error {
	salt := p.rng.Uint32()
	return p.commandWorkers(p.pickWorkers(1), fmt.Sprintf("re-release %v %d", f.Share, salt))
}

func (p *Player) skewClocks(f Fault) error {
	workers := p.pickWorkers(f.Share)
	set := func(skew time.Duration) {
		for _, w := range workers {
			p.installation.SetClockSkew(w, skew)
		}
	}
	return p.forDurationNoError(f, func() { set(f.Offset) }, func() { set(0) })
}
