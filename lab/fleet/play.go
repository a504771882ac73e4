package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/control"
	"havencart/lab/client"
	"havencart/lab/script"
	"havencart/lab/worker"
)

// Play carries out a script's troubles, each at its time, and returns when the last of them is over or ctx ends.
// Which workers are hit is drawn from seed.
func (f *Fleet) Play(ctx context.Context, troubles []script.Trouble, seed uint64, tell func(string)) error {
	p := &player{Fleet: f, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), tell: tell}
	began := time.Now()
	for _, t := range troubles {
		if !p.sleep(t.At - time.Since(began)) {
			break
		}
		tell(fmt.Sprintf("%v: %s", t.At, describe(t)))
		if err := p.begin(t); err != nil {
			p.tasks.Wait()
			return fmt.Errorf("line %d: %w", t.Line, err)
		}
	}
	p.tasks.Wait()
	return p.err
}

func describe(t script.Trouble) string {
	text := t.Verb
	if t.Share > 0 {
		text += fmt.Sprintf(" %.0f%%", 100*t.Share)
	}
	if t.For > 0 {
		text += fmt.Sprintf(" for %v", t.For)
	}
	return text
}

type player struct {
	*Fleet
	ctx   context.Context
	rng   *rand.Rand
	tell  func(string)
	tasks sync.WaitGroup
	mu    sync.Mutex
	err   error
}

// sleep returns false where the day ended first.
func (p *player) sleep(d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// later runs end after d, or when the day ends.
func (p *player) later(d time.Duration, end func() error) {
	p.tasks.Go(func() {
		p.sleep(d)
		p.note(end())
	})
}

func (p *player) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
}

// pick draws a share of the workers, at least one.
func (p *player) pick(share float64) []*worker.Server {
	n := max(1, int(share*float64(len(p.Workers))+0.5))
	var list []*worker.Server
	for _, i := range p.rng.Perm(len(p.Workers))[:n] {
		list = append(list, p.Workers[i])
	}
	return list
}

// command gives workers a command, and another one when the trouble is over.
func (p *player) command(list []*worker.Server, begin, end string, lasts time.Duration) error {
	for _, w := range list {
		if err := w.Command(begin); err != nil {
			return err
		}
	}
	if end != "" {
		p.later(lasts, func() error {
			for _, w := range list {
				if err := w.Command(end); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return nil
}

func (p *player) begin(t script.Trouble) error {
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
		p.Clients.leave(t.Share)
		p.later(t.For, func() error { p.Clients.leave(0); return nil })
	case "kill", "restart":
		return p.frontEnd(t)
	case "end":
	default:
		p.service(t)
	}
	return nil
}

// service begins a trouble of the store or the directory.
func (p *player) service(t script.Trouble) {
	end := func(f func()) { p.later(t.For, func() error { f(); return nil }) }
	switch t.Verb {
	case "store-stop":
		p.Origin.Stop(t.For)
	case "store-slow":
		p.Origin.Slow(t.Factor)
		end(func() { p.Origin.Slow(1) })
	case "directory-lag":
		p.Directory.Lag(t.By)
		end(func() { p.Directory.Lag(0) })
	case "directory-down":
		p.Directory.Down(true)
		end(func() { p.Directory.Down(false) })
	case "directory-part":
		p.Directory.Partial(t.Share)
		end(func() { p.Directory.Partial(1) })
	case "directory-back":
		p.Directory.Back()
	}
}

// crash kills workers; they come back cold. The directory hears of both, with its lag.
func (p *player) crash(list []*worker.Server, lasts time.Duration) error {
	for _, w := range list {
		if err := w.Command("die"); err != nil {
			return err
		}
		p.List(w, control.Gone)
	}
	p.later(lasts, func() error {
		for _, w := range list {
			if err := w.Command("start"); err != nil {
				return err
			}
			p.List(w, control.Ready)
		}
		return nil
	})
	return nil
}

// deploy replaces workers one after another: each drains, ends and starts anew.
func (p *player) deploy(list []*worker.Server, over, drain time.Duration) {
	gap := over / time.Duration(len(list))
	p.tasks.Go(func() {
		for _, w := range list {
			p.tasks.Go(func() { p.note(p.replace(w, drain)) })
			if !p.sleep(gap) {
				return
			}
		}
	})
}

func (p *player) replace(w *worker.Server, drain time.Duration) error {
	p.List(w, control.Draining)
	p.sleep(drain)
	if err := w.Command("die"); err != nil {
		return err
	}
	if err := w.Command("start"); err != nil {
		return err
	}
	p.List(w, control.Ready)
	return nil
}

// frontEnd kills a front end, or restarts it cleanly.
func (p *player) frontEnd(t script.Trouble) error {
	if t.Number > len(p.FrontEnds) {
		return fmt.Errorf("there is no front end %d", t.Number)
	}
	e := p.FrontEnds[t.Number-1]
	if t.Verb == "restart" {
		p.tasks.Go(func() {
			if err := e.Stop(); err != nil {
				p.note(err)
				return
			}
			p.note(e.Start())
		})
		return nil
	}
	e.Kill()
	p.later(t.For, e.Start)
	return nil
}

// Mix is what clients ask for.
type Mix struct {
	Rate      float64 // calls a second over all
	Functions int     // of each class, called by Zipf's law
	Work      time.Duration
	Load      time.Duration
	MemoryMB  float64
	Patience  time.Duration // at most; drawn from half of it up
	Retries   int           // after a refusal
}

// Clients are the clients of a Fleet.
type Clients struct {
	mu    sync.Mutex
	share float64 // that leave early
}

func (c *Clients) leave(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = share
}

func (c *Clients) leaving() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}

// Run makes calls as m says for d, arrivals after a Poisson process drawn from seed, whatever becomes of
// earlier ones, and returns when all have ended. It returns the answers by kind.
func (f *Fleet) Run(ctx context.Context, m Mix, d time.Duration, seed uint64) map[string]int {
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, 1.3, 2, uint64(m.Functions-1))
	var tasks sync.WaitGroup
	var mu sync.Mutex
	seen := map[string]int{}
	began, at := time.Now(), time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		timer := time.NewTimer(time.Until(began.Add(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		if at > d || ctx.Err() != nil {
			break
		}
		class := f.Settings.Classes[rng.IntN(len(f.Settings.Classes))].Name
		call := client.Call{ID: fmt.Sprintf("c%d", n), Class: class, Function: fmt.Sprintf("%s-%d", class, zipf.Uint64()),
			Key: fmt.Sprintf("k%d", n), Patience: m.Patience/2 + time.Duration(rng.Int64N(int64(m.Patience/2))),
			Work: time.Duration(rng.ExpFloat64() * float64(m.Work)), MemoryMB: m.MemoryMB, Lanes: 2, Load: m.Load,
			Reply: rng.IntN(2000)}
		if len(f.Settings.Tenants) > 0 {
			call.Tenant = f.Settings.Tenants[rng.IntN(len(f.Settings.Tenants))].Name
		}
		if rng.Float64() < f.Clients.leaving() {
			call.LeaveAfter = time.Duration(rng.Int64N(int64(call.Patience / 2)))
		}
		front := rng.IntN(len(f.FrontEnds))
		tasks.Go(func() {
			outcome := f.persist(ctx, call, front, m.Retries)
			mu.Lock()
			defer mu.Unlock()
			seen[outcome]++
		})
	}
	tasks.Wait()
	return seen
}

// persist makes a call and repeats it by the advice of refusals, each time through the next front end. A call
// whose front end cannot be reached was not asked and goes to the next.
func (f *Fleet) persist(ctx context.Context, c client.Call, front, retries int) string {
	id := c.ID
	for try := 0; ; try++ {
		c.ID = fmt.Sprintf("%s.%d", id, try)
		seen, err := f.FrontEnds[(front+try)%len(f.FrontEnds)].Pool().Do(c)
		if err != nil {
			seen.Outcome = "unreachable"
		}
		if try >= retries || ctx.Err() != nil || err == nil && seen.Outcome != "refused" || c.LeaveAfter > 0 {
			return seen.Outcome
		}
		time.Sleep(seen.RetryAfter)
	}
}
