package scenario

import (
	"fmt"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/scheduler"
)

// verb is one kind of trouble.
type verb struct {
	name  string
	takes []Word
	help  string
	begin func(*Play, Trouble) error
}

// table has every trouble there is.
var table = []verb{
	{"crash", []Word{Share, For}, "workers' processes die; they come back cold and empty", (*Play).crash},
	{"deploy", []Word{Share, Over, Drain}, "workers are replaced one after another: each drains, ends and starts anew", (*Play).deploy},
	{"take-out", []Word{Share, Drain, For}, "workers drain together, end, and come back after that time", (*Play).takeOut},
	{"fail", []Word{Share, Rate, For}, "workers fail a share of their calls at once",
		workers(func(t Trouble) (string, string) { return fmt.Sprint("fail ", t.Factor), "fail 0" })},
	{"hang", []Word{Share, For}, "workers take everything and answer nothing",
		workers(func(Trouble) (string, string) { return "hang on", "hang off" })},
	{"pause", []Word{Share, For}, "workers stand still once",
		workers(func(Trouble) (string, string) { return "pause on", "pause off" })},
	{"pauses", []Word{Share, Stop, Every, For}, "workers stand still again and again, each at its own times", (*Play).pauses},
	{"slow", []Word{Share, Factor, For}, "workers run slower",
		workers(func(t Trouble) (string, string) { return fmt.Sprint("slow ", t.Factor), "slow 1" })},
	{"neighbour", []Word{Share, Factor, Every, For}, "workers run slower for a while, then not, in turns", (*Play).neighbour},
	{"ageing", []Word{Share, Factor, For}, "workers run slower and slower, then die and start anew", (*Play).ageing},
	{"handshake", []Word{Share, By, For}, "new connections to workers take longer to set up",
		workers(func(t Trouble) (string, string) { return fmt.Sprint("handshake ", t.By), "handshake 0s" })},
	{"reset", []Word{Share}, "connections to workers break; the processes live on",
		workers(func(Trouble) (string, string) { return "reset", "" })},
	{"flush", []Word{Share}, "all copies at a share of the workers go void",
		workers(func(Trouble) (string, string) { return "flush", "" })},
	{"re-release", []Word{Share}, "a share of the functions is released anew: their copies go void at all workers", (*Play).reRelease},
	{"clock-jump", []Word{Share, Skew, For}, "workers' wall clocks are off, back with a minus: what starts meanwhile tells the directory a wrong start",
		(*Play).clockJump},
	{"store-stop", []Word{For}, "the function store answers nothing", (*Play).storeStop},
	{"store-slow", []Word{Factor, For}, "the store is slower", (*Play).storeSlow},
	{"store-fail", []Word{Rate, For}, "the store fails a share of the fetches", (*Play).storeFail},
	{"directory-lag", []Word{By, For}, "changes of the list are told later", (*Play).directoryLag},
	{"directory-down", []Word{For}, "the directory cannot be had", (*Play).directoryDown},
	{"directory-part", []Word{Share, For}, "the list names a share of the workers only", (*Play).directoryPart},
	{"directory-back", nil, "the directory loses its index and tells the list anew", (*Play).directoryBack},
	{"net-delay", []Word{Zone, OtherZone, By, For}, "messages between two zones take longer, both ways; a zone may be named twice",
		network(func(t Trouble) model.NetworkFault { return model.NetworkFault{Delay: t.By} })},
	{"net-loss", []Word{Zone, OtherZone, Rate, For}, "a share of the messages is lost and comes when it is sent again; all behind it wait",
		network(func(t Trouble) model.NetworkFault { return model.NetworkFault{Loss: t.Factor} })},
	{"net-cut", []Word{Zone, OtherZone, For}, "nothing passes between two zones",
		network(func(Trouble) model.NetworkFault { return model.NetworkFault{Loss: 1} })},
	{"leave", []Word{Share, For}, "clients close their connections early", (*Play).leave},
	{"surge", []Word{Factor, For}, "calls come at so many times their rate", (*Play).surge},
	{"flood", []Word{Tenant, Factor, For}, "one tenant asks so many times what it usually does", (*Play).flood},
	{"repeat", []Word{Tenant, Times, For}, "one tenant's clients repeat at once so many times, whatever they are told", (*Play).repeat},
	{"silent", []Word{Tenant, For}, "one tenant asks nothing", (*Play).silent},
	{"heavy-of", []Word{Tenant, Factor, For}, "one tenant's calls do so many times the work", (*Play).heavyOf},
	{"scan-of", []Word{Tenant, Share, For}, "a share of one tenant's calls is for functions that are wanted once only", (*Play).scanOf},
	{"patience", []Word{Factor, For}, "clients' patience is so many times what it was", (*Play).patience},
	{"heavy", []Word{Factor, For}, "calls do so many times the work", (*Play).heavy},
	{"hot", []Word{Share, Functions, For}, "a share of the calls goes to a few functions of each class that nobody called before", (*Play).hot},
	{"scan", []Word{Share, For}, "a share of the calls is for functions that are wanted once only", (*Play).scan},
	{"kill", []Word{FrontEnd, For}, "a front end is killed and comes back", (*Play).kill},
	{"restart", []Word{FrontEnd}, "a front end is stopped cleanly and started", (*Play).restart},
	{"stall", []Word{FrontEnd, For}, "a front end's loops stand still; then all that came meanwhile is there at once", (*Play).stall},
	{"end", nil, "nothing; marks a time", func(*Play, Trouble) error { return nil }},
}

func verbOf(name string) *verb {
	for i := range table {
		if table[i].name == name {
			return &table[i]
		}
	}
	return nil
}

// workers makes a trouble of a command to workers, and another one when it is over.
func workers(commands func(Trouble) (begin, end string)) func(*Play, Trouble) error {
	return func(p *Play, t Trouble) error {
		begin, end := commands(t)
		list := p.pick(t.Share)
		if end != "" {
			p.after(t.For, func() error { return p.command(list, end) })
		}
		return p.command(list, begin)
	}
}

// command gives workers a command.
func (p *Play) command(list []int, line string) error {
	for _, w := range list {
		if err := p.stage.Command(w, line); err != nil {
			return err
		}
	}
	return nil
}

// crash kills workers. The directory hears of their end and of their start, with its lag.
func (p *Play) crash(t Trouble) error {
	list := p.pick(t.Share)
	p.after(t.For, func() error { return p.start(list) })
	return p.die(list)
}

func (p *Play) die(list []int) error {
	for _, w := range list {
		if err := p.stage.Command(w, "die"); err != nil {
			return err
		}
		p.stage.List(w, scheduler.Removed)
	}
	return nil
}

func (p *Play) start(list []int) error {
	for _, w := range list {
		if err := p.stage.Command(w, "start"); err != nil {
			return err
		}
		p.stage.List(w, scheduler.Ready)
	}
	return nil
}

func (p *Play) deploy(t Trouble) error {
	list := p.pick(t.Share)
	for i, w := range list {
		at := t.Over * time.Duration(i) / time.Duration(len(list))
		p.after(at, func() error { p.stage.List(w, scheduler.Draining); return nil })
		p.after(at+t.Drain, func() error {
			if err := p.stage.Command(w, "die"); err != nil {
				return err
			}
			return p.start([]int{w})
		})
	}
	return nil
}

func (p *Play) takeOut(t Trouble) error {
	list := p.pick(t.Share)
	for _, w := range list {
		p.stage.List(w, scheduler.Draining)
	}
	p.after(t.Drain, func() error { return p.die(list) })
	p.after(max(t.For, t.Drain), func() error { return p.start(list) })
	return nil
}

// turns gives each worker one command and then another, again and again, and the last one at the end.
func (p *Play) turns(t Trouble, on string, lasts time.Duration, off string) error {
	for _, w := range p.pick(t.Share) {
		for at := time.Duration(p.rng.Int64N(int64(t.Every))); at < t.For; at += max(t.Every, lasts) {
			p.after(at, func() error { return p.stage.Command(w, on) })
			p.after(min(at+lasts, t.For), func() error { return p.stage.Command(w, off) })
		}
	}
	return nil
}

func (p *Play) pauses(t Trouble) error { return p.turns(t, "pause on", t.Stop, "pause off") }

func (p *Play) neighbour(t Trouble) error {
	return p.turns(Trouble{Share: t.Share, Every: 2 * t.Every, For: t.For}, fmt.Sprint("slow ", t.Factor), t.Every, "slow 1")
}

// ageingSteps are the steps in which a worker ages.
const ageingSteps = 10

func (p *Play) ageing(t Trouble) error {
	list := p.pick(t.Share)
	for i := range ageingSteps {
		part := float64(i+1) / ageingSteps
		p.after(t.For*time.Duration(i)/ageingSteps, func() error {
			return p.command(list, fmt.Sprint("slow ", 1+(t.Factor-1)*part))
		})
	}
	p.after(t.For, func() error {
		if err := p.die(list); err != nil {
			return err
		}
		return p.start(list)
	})
	return nil
}

func (p *Play) reRelease(t Trouble) error {
	salt := p.rng.Uint32() // the same functions at all workers
	return p.command(p.pick(1), fmt.Sprintf("re-release %v %d", t.Share, salt))
}

func (p *Play) clockJump(t Trouble) error {
	list := p.pick(t.Share)
	set := func(by time.Duration) {
		for _, w := range list {
			p.stage.Clock(w, by)
		}
	}
	return p.during(t, func() { set(t.By) }, func() { set(0) })
}

func (p *Play) storeStop(t Trouble) error { p.stage.StoreStop(t.For); return nil }

func (p *Play) storeSlow(t Trouble) error {
	return p.during(t, func() { p.stage.StoreSlow(t.Factor) }, func() { p.stage.StoreSlow(1) })
}

func (p *Play) storeFail(t Trouble) error {
	return p.during(t, func() { p.stage.StoreFail(t.Factor) }, func() { p.stage.StoreFail(0) })
}

func (p *Play) directoryLag(t Trouble) error {
	return p.during(t, func() { p.stage.DirectoryLag(t.By) }, func() { p.stage.DirectoryLag(0) })
}

func (p *Play) directoryDown(t Trouble) error {
	return p.during(t, func() { p.stage.DirectoryDown(true) }, func() { p.stage.DirectoryDown(false) })
}

func (p *Play) directoryPart(t Trouble) error {
	return p.during(t, func() { p.stage.DirectoryPart(t.Share) }, func() { p.stage.DirectoryPart(1) })
}

func (p *Play) directoryBack(Trouble) error { p.stage.DirectoryBack(); return nil }

// lasting begins a trouble and ends it when its time is over.
func (p *Play) lasting(t Trouble, begin, end func() error) error {
	p.after(t.For, end)
	return begin()
}

// during is lasting for what cannot fail.
func (p *Play) during(t Trouble, begin, end func()) error {
	return p.lasting(t, func() error { begin(); return nil }, func() error { end(); return nil })
}

// network makes a trouble of the ways between two zones.
func network(of func(Trouble) model.NetworkFault) func(*Play, Trouble) error {
	return func(p *Play, t Trouble) error {
		x := of(t)
		x.From, x.To = t.Number, t.To
		end := p.stage.Network(x)
		p.after(t.For, func() error { end(); return nil })
		return nil
	}
}

// demand changes what clients ask for and changes it back when the trouble is over.
func (p *Play) demand(t Trouble, begin, end func(*loadgen.Demand)) error {
	return p.lasting(t, func() error { return p.stage.Demand(begin) }, func() error { return p.stage.Demand(end) })
}

func (p *Play) leave(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Leaving = t.Share }, func(d *loadgen.Demand) { d.Leaving = 0 })
}

func (p *Play) surge(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Surge *= t.Factor }, func(d *loadgen.Demand) { d.Surge /= t.Factor })
}

func (p *Play) flood(t Trouble) error {
	return p.own(t, func(o *loadgen.Own) { o.Flood = t.Factor }, func(o *loadgen.Own) { o.Flood = 0 })
}

func (p *Play) repeat(t Trouble) error {
	return p.own(t, func(o *loadgen.Own) { o.Repeats = t.Number }, func(o *loadgen.Own) { o.Repeats = 0 })
}

// own changes what one tenant does and changes it back when the trouble is over.
func (p *Play) own(t Trouble, begin, end func(*loadgen.Own)) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Of(t.Name, begin) }, func(d *loadgen.Demand) { d.Of(t.Name, end) })
}

func (p *Play) silent(t Trouble) error {
	return p.own(t, func(o *loadgen.Own) { o.Silent = true }, func(o *loadgen.Own) { o.Silent = false })
}

func (p *Play) heavyOf(t Trouble) error {
	return p.own(t, func(o *loadgen.Own) { o.Work = t.Factor }, func(o *loadgen.Own) { o.Work = 0 })
}

func (p *Play) scanOf(t Trouble) error {
	return p.own(t, func(o *loadgen.Own) { o.Scan = t.Share }, func(o *loadgen.Own) { o.Scan = 0 })
}

func (p *Play) patience(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Patience *= t.Factor }, func(d *loadgen.Demand) { d.Patience /= t.Factor })
}

func (p *Play) heavy(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Work *= t.Factor }, func(d *loadgen.Demand) { d.Work /= t.Factor })
}

func (p *Play) hot(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Hot, d.HotFunctions, d.HotSpell = t.Share, t.Number, d.HotSpell+1 },
		func(d *loadgen.Demand) { d.Hot = 0 })
}

func (p *Play) scan(t Trouble) error {
	return p.demand(t, func(d *loadgen.Demand) { d.Scan = t.Share }, func(d *loadgen.Demand) { d.Scan = 0 })
}

func (p *Play) kill(t Trouble) error {
	n, err := p.frontEnd(t)
	if err != nil {
		return err
	}
	return p.lasting(t, func() error { return p.stage.Kill(n) }, func() error { return p.stage.Start(n) })
}

func (p *Play) restart(t Trouble) error {
	n, err := p.frontEnd(t)
	if err != nil {
		return err
	}
	return p.stage.Restart(n)
}

func (p *Play) stall(t Trouble) error {
	n, err := p.frontEnd(t)
	if err != nil {
		return err
	}
	return p.stage.Stall(n, t.For)
}

// frontEnd is the index of the front end that a trouble names.
func (p *Play) frontEnd(t Trouble) (int, error) {
	if t.Number > p.stage.FrontEnds() {
		return 0, fmt.Errorf("there is no front end %d", t.Number)
	}
	return t.Number - 1, nil
}
