package simulation

import (
	"errors"
	"slices"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/gateway"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/lab/model"
	"havencart/lab/worker"
	"havencart/scheduler"
)

var (
	errDown    = errors.New("the directory is down")
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
	errTimeout = errors.New("connection timed out")
	errSilent  = errors.New("no sign of life")
)

// link is the in-memory way from a front end to a worker. It tells the Front what workerlink.Link tells it of
// the same events: what never left, what may have run, what was answered.
type link struct {
	front  *front
	sim    *Sim
	id     scheduler.WorkerID
	worker *model.Worker
	redial *reconnect.Backoff

	connected bool
	dialing   bool
	redialing func() // takes the next dialling back
	breaking  bool   // it broke, and the front end does not know yet
	stopped   bool
	draining  bool
	out, in   *model.Path           // of the connection
	pulse     *reconnect.Keepalive // kept while something ails the way
	zone, far int                  // of the front end and of the worker
	index     int                  // of the worker
	queue     []any                // *workerlink.Attempt, *workerlink.Order, or func() to be sent
	attempts  []*muxclient.Attempt
	orders    []*muxclient.LoadOrder
	ending    []*muxclient.Attempt // whose end the front end is still to hear
}

func newLink(f *front, id scheduler.WorkerID) *link {
	i := f.sim.byID[id]
	l := &link{front: f, sim: f.sim, id: id, worker: f.sim.workers[i], index: i, zone: f.sim.net.Zone(f.number),
		far: f.sim.net.Zone(i)}
	l.redial = reconnect.NewBackoff(f.drawn(uint64(id)).Uint64())
	l.dial()
	return l
}

// to does f at the worker, after the way there, unless the connection broke meanwhile.
func (l *link) to(f func()) { l.out.Send(f) }

// from does f at the front end, after the way back.
func (l *link) from(f func()) {
	l.in.Send(func() {
		if l.pulse != nil {
			l.pulse.Received(l.sim.clock.Now())
		}
		f()
	})
}

// open gives the link the ways of a new connection.
func (l *link) open() {
	l.shut()
	l.out, l.in = l.sim.net.NewPath(l.zone, l.far), l.sim.net.NewPath(l.far, l.zone)
}

// shut drops what is on the ways of the last connection.
func (l *link) shut() {
	if l.out != nil {
		l.out.Close()
		l.in.Close()
	}
	l.pulse = nil
}

// dial begins to connect: a round trip for the connection, one for hello and welcome, and the handshake, all
// within the time that the settings give it.
func (l *link) dial() {
	if l.connected || l.dialing || l.breaking || l.stopped {
		return
	}
	l.dialing = true
	l.open()
	over := l.sim.clock.After(l.sim.set.ConnectTimeout, func() {
		l.dialing = false
		l.shut()
		if !l.stopped {
			l.lost(errTimeout)
		}
	})
	l.out.Send(func() {
		l.in.Send(func() {
			l.out.Send(func() {
				l.sim.clock.After(l.sim.cfg.Handshake+l.sim.shakes[l.index], func() { l.in.Send(func() { over(); l.met() }) })
			})
		})
	})
}

// met takes the end of the handshake.
func (l *link) met() {
	l.dialing = false
	if l.stopped {
		return
	}
	if !l.worker.Up() {
		l.shut()
		l.lost(errRefused)
		return
	}
	l.connected = true
	l.redial.Connected()
	up := l.worker.Uptime()
	l.front.do(func(now time.Duration) {
		l.front.gate.WorkerConnected(now, l.id, muxframe.Welcome{Version: muxframe.Version, Worker: l.worker.Config.Name,
			Incarnation: uint64(l.worker.Incarnation()), UptimeMillis: up.Milliseconds()})
	})
	l.watch()
	l.flush()
}

// watch takes the connection's pulse as long as something ails its way. On a sound way there is nothing to find.
func (l *link) watch() {
	if l.connected && l.pulse == nil && l.sim.net.HasFault(l.zone, l.far) {
		l.pulse = reconnect.NewKeepalive(l.sim.clock.Now())
		l.check(l.pulse)
	}
}

func (l *link) check(pulse *reconnect.Keepalive) {
	if l.pulse != pulse || l.stopped {
		return
	}
	verdict, next := pulse.Check(l.sim.clock.Now())
	switch {
	case verdict == reconnect.Dead:
		l.broken(errSilent)
		return
	case verdict == reconnect.Ping:
		l.to(func() { l.from(func() {}) })
	case !l.sim.net.HasFault(l.zone, l.far):
		l.pulse = nil
		return
	}
	l.sim.clock.After(next-l.sim.clock.Now(), func() { l.check(pulse) })
}

// broken takes the end of the connection as the front end sees it.
func (l *link) broken(why error) {
	l.connected, l.breaking = false, false
	l.shut()
	l.lost(why)
}

// wanted sees that the link is dialled soon, as something waits for it.
func (l *link) wanted() {
	if !l.connected && !l.dialing {
		l.redial.Requested()
		l.again()
	}
}

// again dials when the next attempt is due; there is one such time only, however many calls want it.
func (l *link) again() {
	if l.redialing != nil {
		l.redialing()
	}
	l.redialing = l.sim.clock.After(l.redial.NextDial()-l.sim.clock.Now(), l.dial)
}

// brokeAt breaks the connection at the worker: the front end learns of it after the way back, or by its silence.
func (l *link) brokeAt() {
	if !l.connected || l.stopped {
		return
	}
	pulse := l.pulse
	l.connected, l.breaking = false, true
	l.open()
	l.pulse = pulse
	l.in.Send(func() { l.broken(errReset) })
}

// lost ends what was under way, or waited for a connection that cannot be had.
func (l *link) lost(why error) {
	l.redial.Failed(l.sim.clock.Now())
	queue, attempts, orders := l.queue, l.attempts, l.orders
	l.queue, l.attempts, l.orders = nil, nil, nil
	l.ending = append(l.ending, attempts...)
	l.front.do(func(now time.Duration) {
		g := l.front.gate
		for _, x := range queue {
			switch x := x.(type) {
			case *muxclient.Attempt:
				g.AttemptEnded(now, x, muxclient.Result{Status: scheduler.ConnectFailed, Reason: why.Error(), QueueDepth: -1})
			case *muxclient.LoadOrder:
				g.LoadEnded(now, x, scheduler.ConnectFailed, 0)
			}
		}
		for _, a := range attempts {
			l.heard(a)
			g.AttemptEnded(now, a, muxclient.Result{Status: scheduler.Reset, Reason: why.Error(), QueueDepth: -1})
		}
		for _, o := range orders {
			g.LoadEnded(now, o, scheduler.Reset, 0)
		}
		g.WorkerDisconnected(now, l.id, why)
	})
	l.again()
}

// flush sends what waited for the connection.
func (l *link) flush() {
	queue := l.queue
	l.queue = nil
	for _, x := range queue {
		l.leave(x)
	}
}

// push sends x, or keeps it until there is a connection.
func (l *link) push(x any) {
	if !l.connected {
		l.queue = append(l.queue, x)
		l.wanted()
		return
	}
	l.leave(x)
}

// leave sends x: from now on the worker may have it.
func (l *link) leave(x any) {
	switch x := x.(type) {
	case *muxclient.Attempt:
		l.attempts = append(l.attempts, x)
		l.to(func() { l.handle(x) })
	case *muxclient.LoadOrder:
		l.orders = append(l.orders, x)
		l.to(func() { l.order(x) })
	case func():
		l.to(x)
	}
}

var statuses = map[model.Outcome]scheduler.Status{model.OK: scheduler.OK, model.Failed: scheduler.Error, model.Overloaded: scheduler.Overloaded,
	model.NotLoaded: scheduler.NotLoaded}

var warmths = map[model.ColdStart]scheduler.ColdStart{model.WarmStart: scheduler.WarmStart, model.ColdStartTriggered: scheduler.ColdStartTriggered,
	model.ColdStartAwaited: scheduler.ColdStartAwaited, model.ColdStartFailed: scheduler.ColdStartFailed}

// handle gives an attempt to the worker.
func (l *link) handle(a *muxclient.Attempt) {
	c := &a.Request
	work, _ := worker.ParseBody(string(a.Body), 0)
	l.worker.Handle(&model.Request{ID: c.ID, Attempt: c.Attempt, FrontEnd: l.front.name, Class: c.Class, IdempotencyKey: c.IdempotencyKey,
		Function: c.Replica.Function, MemoryMB: c.Replica.MemoryMB, Concurrency: max(1, c.Replica.Concurrency), Work: work, Deadline: a.Deadline,
		LoadTime: c.Replica.LoadTime()}, func(r model.Response) {
		l.from(func() { l.answered(a, r) })
	})
}

func (l *link) answered(a *muxclient.Attempt, r model.Response) {
	if !slices.Contains(l.attempts, a) {
		l.front.do(l.front.gate.LateResponse)
		return
	}
	l.drop(a)
	result := muxclient.Result{Status: statuses[r.Outcome], ColdStart: warmths[r.ColdStart], QueueDepth: r.QueueDepth,
		LoadReport: []float64{float64(r.Waiting)}, RunTime: r.RunTime, Response: &muxclient.Response{}}
	l.ending = append(l.ending, a)
	l.front.do(func(now time.Duration) {
		l.heard(a)
		l.front.gate.AttemptEnded(now, a, result)
	})
}

// heard notes that the front end hears of an attempt's end.
func (l *link) heard(a *muxclient.Attempt) {
	l.ending = slices.DeleteFunc(l.ending, func(x *muxclient.Attempt) bool { return x == a })
}

func (l *link) drop(a *muxclient.Attempt) {
	l.attempts = slices.DeleteFunc(l.attempts, func(x *muxclient.Attempt) bool { return x == a })
}

// order gives an order to the worker.
func (l *link) order(o *muxclient.LoadOrder) {
	c := o.Load.Replica
	l.worker.HandleLoadOrder(l.front.name, c.Function, o.Load.Replicas, c.MemoryMB, max(1, c.Concurrency),
		c.LoadTime(), func(r model.Outcome, copies int) {
			l.from(func() {
				if !slices.Contains(l.orders, o) {
					return
				}
				l.AbandonLoad(o)
				l.front.do(func(now time.Duration) { l.front.gate.LoadEnded(now, o, statuses[r], copies) })
			})
		})
}

var _ gateway.WorkerClient = (*link)(nil)

// Send implements gateway.Link, as do the methods below.
func (l *link) Send(a *muxclient.Attempt) *muxclient.Result {
	l.sim.note("send"+l.front.name+a.Request.ID, uint64(l.id), uint64(a.Request.Attempt))
	switch {
	case l.draining:
		return &muxclient.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1}
	case l.stopped:
		return &muxclient.Result{Status: scheduler.ConnectFailed, QueueDepth: -1}
	}
	l.push(a)
	return nil
}

// Withdraw takes back an attempt that has not left.
func (l *link) CancelUnsent(a *muxclient.Attempt) bool {
	n := len(l.queue)
	l.queue = slices.DeleteFunc(l.queue, func(x any) bool { return x == any(a) })
	return len(l.queue) < n
}

// Abandon gives an attempt up and says whether it may have left.
func (l *link) Abandon(a *muxclient.Attempt) bool {
	if slices.Contains(l.attempts, a) {
		l.drop(a)
		if l.connected {
			l.to(func() { l.worker.Cancel(a.Request.ID, a.Request.Attempt) })
		}
		return true
	}
	l.CancelUnsent(a)
	return slices.Contains(l.ending, a)
}

// Load gives an order.
func (l *link) Load(o *muxclient.LoadOrder) scheduler.Status {
	l.sim.note("load"+l.front.name+o.Load.Replica.Function, uint64(l.id), uint64(o.Load.Replicas))
	switch {
	case l.draining && o.Load.Replicas > 0:
		return scheduler.Overloaded
	case l.stopped:
		return scheduler.ConnectFailed
	}
	l.push(o)
	return 0
}

// AbandonOrder gives an order up.
func (l *link) AbandonLoad(o *muxclient.LoadOrder) {
	l.orders = slices.DeleteFunc(l.orders, func(x *muxclient.LoadOrder) bool { return x == o })
	l.queue = slices.DeleteFunc(l.queue, func(x any) bool { return x == any(o) })
}

// Unload unloads idle copies.
func (l *link) Unload(function string) { l.push(func() { l.worker.Unload(function) }) }

// Probe asks for a load report.
func (l *link) CheckHealth() {
	l.push(func() {
		report := []float64{float64(l.worker.QueueLength())}
		l.from(func() {
			l.front.do(func(now time.Duration) { l.front.gate.HealthChecked(now, l.id, scheduler.OK, report) })
		})
	})
}

// Drain takes back what waits for a connection; in virtual time a frame leaves at once when there is one.
func (l *link) Drain(time.Duration) (attempts []*muxclient.Attempt, orders []*muxclient.LoadOrder) {
	l.draining = true
	l.queue = slices.DeleteFunc(l.queue, func(x any) bool {
		switch x := x.(type) {
		case *muxclient.Attempt:
			attempts = append(attempts, x)
			return true
		case *muxclient.LoadOrder:
			if x.Load.Replicas > 0 {
				orders = append(orders, x)
				return true
			}
		}
		return false
	})
	return attempts, orders
}

// Resume lets new work through again.
func (l *link) Resume() { l.draining = false }

// Busy says whether anything is under way.
func (l *link) Busy() bool { return len(l.queue)+len(l.attempts)+len(l.orders) > 0 }

// Stop ends the link.
func (l *link) Stop() {
	l.stopped = true
	l.shut()
	if l.redialing != nil {
		l.redialing()
	}
}
