package scenario

import (
	"fmt"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// verb is one kind of trouble.
type kind struct {
	name       string
	parameters []Parameter
	help       string
	inject     func(*Player, Fault) error
}

// table has every trouble there is.
var kinds = []kind{
	{"crash", []Parameter{ShareParameter, DurationParameter}, "workers' processes die; they come back cold and empty", (*Player).crash},
	{"deploy", []Parameter{ShareParameter, SpreadParameter, DrainTimeParameter}, "workers are replaced one after another: each drains, ends and starts anew", (*Player).deploy},
	{"take-out", []Parameter{ShareParameter, DrainTimeParameter, DurationParameter}, "workers drain together, end, and come back after that time", (*Player).takeOut},
	{
		"fail",
		[]Parameter{ShareParameter, RateParameter, DurationParameter},
		"workers fail a share of their calls at once",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("fail ", t.Factor), "fail 0" }),
	},
	{
		"hang",
		[]Parameter{ShareParameter, DurationParameter},
		"workers take everything and answer nothing",
		workerCommands(func(Fault) (string, string) { return "hang on", "hang off" }),
	},
	{
		"pause",
		[]Parameter{ShareParameter, DurationParameter},
		"workers stand still once",
		workerCommands(func(Fault) (string, string) { return "pause on", "pause off" }),
	},
	{"pauses", []Parameter{ShareParameter, PauseLengthParameter, IntervalParameter, DurationParameter}, "workers stand still again and again, each at its own times", (*Player).pauses},
	{
		"slow",
		[]Parameter{ShareParameter, FactorParameter, DurationParameter},
		"workers run slower",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("slow ", t.Factor), "slow 1" }),
	},
	{"neighbour", []Parameter{ShareParameter, FactorParameter, IntervalParameter, DurationParameter}, "workers run slower for a while, then not, in turns", (*Player).neighbour},
	{"ageing", []Parameter{ShareParameter, FactorParameter, DurationParameter}, "workers run slower and slower, then die and start anew", (*Player).ageing},
	{
		"handshake",
		[]Parameter{ShareParameter, OffsetParameter, DurationParameter},
		"new connections to workers take longer to set up",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("handshake ", t.Offset), "handshake 0s" }),
	},
	{
		"reset",
		[]Parameter{ShareParameter},
		"connections to workers break; the processes live on",
		workerCommands(func(Fault) (string, string) { return "reset", "" }),
	},
	{
		"flush",
		[]Parameter{ShareParameter},
		"all copies at a share of the workers go void",
		workerCommands(func(Fault) (string, string) { return "flush", "" }),
	},
	{"re-release", []Parameter{ShareParameter}, "a share of the functions is released anew: their copies go void at all workers", (*Player).reRelease},
	{
		"clock-jump",
		[]Parameter{ShareParameter, SkewParameter, DurationParameter},
		"workers' wall clocks are off, back with a minus: what starts meanwhile tells the directory a wrong start",
		(*Player).clockJump,
	},
	{"store-stop", []Parameter{DurationParameter}, "the function store answers nothing", (*Player).storeStop},
	{"store-slow", []Parameter{FactorParameter, DurationParameter}, "the store is slower", (*Player).storeSlow},
	{"store-fail", []Parameter{RateParameter, DurationParameter}, "the store fails a share of the fetches", (*Player).storeFail},
	{"directory-lag", []Parameter{OffsetParameter, DurationParameter}, "changes of the list are told later", (*Player).directoryLag},
	{"directory-down", []Parameter{DurationParameter}, "the directory cannot be had", (*Player).directoryDown},
	{"directory-part", []Parameter{ShareParameter, DurationParameter}, "the list names a share of the workers only", (*Player).directoryPart},
	{"directory-back", nil, "the directory loses its index and tells the list anew", (*Player).directoryBack},
	{
		"net-delay",
		[]Parameter{ZoneParameter, OtherZoneParameter, OffsetParameter, DurationParameter},
		"messages between two zones take longer, both ways; a zone may be named twice",
		networkFault(func(t Fault) model.NetworkFault { return model.NetworkFault{Delay: t.Offset} }),
	},
	{
		"net-loss",
		[]Parameter{ZoneParameter, OtherZoneParameter, RateParameter, DurationParameter},
		"a share of the messages is lost and comes when it is sent again; all behind it wait",
		networkFault(func(t Fault) model.NetworkFault { return model.NetworkFault{Loss: t.Factor} }),
	},
	{
		"net-cut",
		[]Parameter{ZoneParameter, OtherZoneParameter, DurationParameter},
		"nothing passes between two zones",
		networkFault(func(Fault) model.NetworkFault { return model.NetworkFault{Loss: 1} }),
	},
	{"leave", []Parameter{ShareParameter, DurationParameter}, "clients close their connections early", (*Player).disconnectClients},
	{"surge", []Parameter{FactorParameter, DurationParameter}, "calls come at so many times their rate", (*Player).surge},
	{"flood", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "one tenant asks so many times what it usually does", (*Player).flood},
	{"repeat", []Parameter{TenantParameter, RepeatsParameter, DurationParameter}, "one tenant's clients repeat at once so many times, whatever they are told", (*Player).repeat},
	{"silent", []Parameter{TenantParameter, DurationParameter}, "one tenant asks nothing", (*Player).silent},
	{"heavy-of", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "one tenant's calls do so many times the work", (*Player).heavyOf},
	{"scan-of", []Parameter{TenantParameter, ShareParameter, DurationParameter}, "a share of one tenant's calls is for functions that are wanted once only", (*Player).scanOf},
	{"patience", []Parameter{FactorParameter, DurationParameter}, "clients' patience is so many times what it was", (*Player).patience},
	{"heavy", []Parameter{FactorParameter, DurationParameter}, "calls do so many times the work", (*Player).heavy},
	{"hot", []Parameter{ShareParameter, FunctionsParameter, DurationParameter}, "a share of the calls goes to a few functions of each class that nobody called before", (*Player).hot},
	{"scan", []Parameter{ShareParameter, DurationParameter}, "a share of the calls is for functions that are wanted once only", (*Player).scan},
	{"kill", []Parameter{FrontEndParameter, DurationParameter}, "a front end is killed and comes back", (*Player).kill},
	{"restart", []Parameter{FrontEndParameter}, "a front end is stopped cleanly and started", (*Player).restart},
	{"stall", []Parameter{FrontEndParameter, DurationParameter}, "a front end's loops stand still; then all that came meanwhile is there at once", (*Player).stall},
	{"end", nil, "nothing; marks a time", func(*Player, Fault) error { return nil }},
}

func kindOf(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// workers makes a trouble of a command to workers, and another one when it is over.
func workerCommands(commands func(Fault) (begin, end string)) func(*Player, Fault) error {
	return func(p *Player, t Fault) error {
		begin, end := commands(t)
		list := p.pickWorkers(t.Share)
		if end != "" {
			p.after(t.Duration, func() error { return p.commandWorkers(list, end) })
		}
		return p.commandWorkers(list, begin)
	}
}

// command gives workers a command.
func (p *Player) commandWorkers(list []int, line string) error {
	for _, w := range list {
		if err := p.installation.CommandWorker(w, line); err != nil {
			return err
		}
	}
	return nil
}

// crash kills workers. The directory hears of their end and of their start, with its lag.
func (p *Player) crash(t Fault) error {
	list := p.pickWorkers(t.Share)
	p.after(t.Duration, func() error { return p.startWorkers(list) })
	return p.crashWorkers(list)
}

func (p *Player) crashWorkers(list []int) error {
	for _, w := range list {
		if err := p.installation.CommandWorker(w, "die"); err != nil {
			return err
		}
		p.installation.ListWorker(w, scheduler.Removed)
	}
	return nil
}

func (p *Player) startWorkers(list []int) error {
	for _, w := range list {
		if err := p.installation.CommandWorker(w, "start"); err != nil {
			return err
		}
		p.installation.ListWorker(w, scheduler.Ready)
	}
	return nil
}

func (p *Player) deploy(t Fault) error {
	list := p.pickWorkers(t.Share)
	for i, w := range list {
		at := t.Spread * time.Duration(i) / time.Duration(len(list))
		p.after(at, func() error { p.installation.ListWorker(w, scheduler.Draining); return nil })
		p.after(at+t.DrainTime, func() error {
			if err := p.installation.CommandWorker(w, "die"); err != nil {
				return err
			}
			return p.startWorkers([]int{w})
		})
	}
	return nil
}

func (p *Player) takeOut(t Fault) error {
	list := p.pickWorkers(t.Share)
	for _, w := range list {
		p.installation.ListWorker(w, scheduler.Draining)
	}
	p.after(t.DrainTime, func() error { return p.crashWorkers(list) })
	p.after(max(t.Duration, t.DrainTime), func() error { return p.startWorkers(list) })
	return nil
}

// turns gives each worker one command and then another, again and again, and the last one at the end.
func (p *Player) alternate(t Fault, on string, lasts time.Duration, off string) error {
	for _, w := range p.pickWorkers(t.Share) {
		for at := time.Duration(p.rng.Int64N(int64(t.Interval))); at < t.Duration; at += max(t.Interval, lasts) {
			p.after(at, func() error { return p.installation.CommandWorker(w, on) })
			p.after(min(at+lasts, t.Duration), func() error { return p.installation.CommandWorker(w, off) })
		}
	}
	return nil
}

func (p *Player) pauses(t Fault) error { return p.alternate(t, "pause on", t.PauseLength, "pause off") }

func (p *Player) neighbour(t Fault) error {
	return p.alternate(Fault{Share: t.Share, Interval: 2 * t.Interval, Duration: t.Duration}, fmt.Sprint("slow ", t.Factor), t.Interval, "slow 1")
}

// ageingSteps are the steps in which a worker ages.
const ageingSteps = 10

func (p *Player) ageing(t Fault) error {
	list := p.pickWorkers(t.Share)
	for i := range ageingSteps {
		part := float64(i+1) / ageingSteps
		p.after(t.Duration*time.Duration(i)/ageingSteps, func() error {
			return p.commandWorkers(list, fmt.Sprint("slow ", 1+(t.Factor-1)*part))
		})
	}
	p.after(t.Duration, func() error {
		if err := p.crashWorkers(list); err != nil {
			return err
		}
		return p.startWorkers(list)
	})
	return nil
}

func (p *Player) reRelease(t Fault) error {
	salt := p.rng.Uint32() // the same functions at all workers
	return p.commandWorkers(p.pickWorkers(1), fmt.Sprintf("re-release %v %d", t.Share, salt))
}

func (p *Player) clockJump(t Fault) error {
	list := p.pickWorkers(t.Share)
	set := func(by time.Duration) {
		for _, w := range list {
			p.installation.SetClockSkew(w, by)
		}
	}
	return p.forDurationAlways(t, func() { set(t.Offset) }, func() { set(0) })
}

func (p *Player) storeStop(t Fault) error { p.installation.StopStore(t.Duration); return nil }

func (p *Player) storeSlow(t Fault) error {
	return p.forDurationAlways(t, func() { p.installation.SlowStore(t.Factor) }, func() { p.installation.SlowStore(1) })
}

func (p *Player) storeFail(t Fault) error {
	return p.forDurationAlways(t, func() { p.installation.FailStore(t.Factor) }, func() { p.installation.FailStore(0) })
}

func (p *Player) directoryLag(t Fault) error {
	return p.forDurationAlways(t, func() { p.installation.DelayDiscovery(t.Offset) }, func() { p.installation.DelayDiscovery(0) })
}

func (p *Player) directoryDown(t Fault) error {
	return p.forDurationAlways(t, func() { p.installation.SetDiscoveryDown(true) }, func() { p.installation.SetDiscoveryDown(false) })
}

func (p *Player) directoryPart(t Fault) error {
	return p.forDurationAlways(t, func() { p.installation.LimitDiscovery(t.Share) }, func() { p.installation.LimitDiscovery(1) })
}

func (p *Player) directoryBack(Fault) error { p.installation.ResetDiscovery(); return nil }

// lasting begins a trouble and ends it when its time is over.
func (p *Player) forDuration(t Fault, begin, end func() error) error {
	p.after(t.Duration, end)
	return begin()
}

// during is lasting for what cannot fail.
func (p *Player) forDurationAlways(t Fault, begin, end func()) error {
	return p.forDuration(t, func() error { begin(); return nil }, func() error { end(); return nil })
}

// network makes a trouble of the ways between two zones.
func networkFault(of func(Fault) model.NetworkFault) func(*Player, Fault) error {
	return func(p *Player, t Fault) error {
		x := of(t)
		x.From, x.To = t.Number, t.OtherZone
		end := p.installation.AddNetworkFault(x)
		p.after(t.Duration, func() error { end(); return nil })
		return nil
	}
}

// demand changes what clients ask for and changes it back when the trouble is over.
func (p *Player) changeDemand(t Fault, begin, end func(*loadgen.Demand)) error {
	return p.forDuration(t, func() error { return p.installation.ChangeDemand(begin) }, func() error { return p.installation.ChangeDemand(end) })
}

func (p *Player) disconnectClients(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.DisconnectShare = t.Share }, func(d *loadgen.Demand) { d.DisconnectShare = 0 })
}

func (p *Player) surge(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.RateFactor *= t.Factor }, func(d *loadgen.Demand) { d.RateFactor /= t.Factor })
}

func (p *Player) flood(t Fault) error {
	return p.changeTenantDemand(t, func(o *loadgen.TenantDemand) { o.RateFactor = t.Factor }, func(o *loadgen.TenantDemand) { o.RateFactor = 0 })
}

func (p *Player) repeat(t Fault) error {
	return p.changeTenantDemand(t, func(o *loadgen.TenantDemand) { o.Repeats = t.Number }, func(o *loadgen.TenantDemand) { o.Repeats = 0 })
}

// own changes what one tenant does and changes it back when the trouble is over.
func (p *Player) changeTenantDemand(t Fault, begin, end func(*loadgen.TenantDemand)) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.ChangeTenant(t.Tenant, begin) }, func(d *loadgen.Demand) { d.ChangeTenant(t.Tenant, end) })
}

func (p *Player) silent(t Fault) error {
	return p.changeTenantDemand(t, func(o *loadgen.TenantDemand) { o.Silent = true }, func(o *loadgen.TenantDemand) { o.Silent = false })
}

func (p *Player) heavyOf(t Fault) error {
	return p.changeTenantDemand(t, func(o *loadgen.TenantDemand) { o.WorkFactor = t.Factor }, func(o *loadgen.TenantDemand) { o.WorkFactor = 0 })
}

func (p *Player) scanOf(t Fault) error {
	return p.changeTenantDemand(t, func(o *loadgen.TenantDemand) { o.ScanShare = t.Share }, func(o *loadgen.TenantDemand) { o.ScanShare = 0 })
}

func (p *Player) patience(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.TimeoutFactor *= t.Factor }, func(d *loadgen.Demand) { d.TimeoutFactor /= t.Factor })
}

func (p *Player) heavy(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.WorkFactor *= t.Factor }, func(d *loadgen.Demand) { d.WorkFactor /= t.Factor })
}

func (p *Player) hot(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.HotShare, d.HotFunctions, d.HotSpell = t.Share, t.Number, d.HotSpell+1 },
		func(d *loadgen.Demand) { d.HotShare = 0 })
}

func (p *Player) scan(t Fault) error {
	return p.changeDemand(t, func(d *loadgen.Demand) { d.ScanShare = t.Share }, func(d *loadgen.Demand) { d.ScanShare = 0 })
}

func (p *Player) kill(t Fault) error {
	n, err := p.frontEndIndex(t)
	if err != nil {
		return err
	}
	return p.forDuration(t, func() error { return p.installation.KillFrontEnd(n) }, func() error { return p.installation.StartFrontEnd(n) })
}

func (p *Player) restart(t Fault) error {
	n, err := p.frontEndIndex(t)
	if err != nil {
		return err
	}
	return p.installation.RestartFrontEnd(n)
}

func (p *Player) stall(t Fault) error {
	n, err := p.frontEndIndex(t)
	if err != nil {
		return err
	}
	return p.installation.StallFrontEnd(n, t.Duration)
}

// frontEnd is the index of the front end that a trouble names.
func (p *Player) frontEndIndex(t Fault) (int, error) {
	if t.Number > p.installation.FrontEnds() {
		return 0, fmt.Errorf("there is no front end %d", t.Number)
	}
	return t.Number - 1, nil
}
