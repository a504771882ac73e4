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
type workerClient struct {
	frontEnd *frontEnd
	sim      *Simulation
	id       scheduler.WorkerID
	worker   *model.Worker
	backoff  *reconnect.Backoff

	connected            bool
	dialing              bool
	cancelDial           func() // takes the next dialling back
	breaking             bool   // it broke, and the front end does not know yet
	stopped              bool
	draining             bool
	toWorker, fromWorker *model.Path          // of the connection
	keepalive            *reconnect.Keepalive // kept while something ails the way
	zone, workerZone     int                  // of the front end and of the worker
	index                int                  // of the worker
	unsent               []any                // *workerlink.Attempt, *workerlink.Order, or func() to be sent
	attempts             []*muxclient.Attempt
	loadOrders           []*muxclient.LoadOrder
	endedUnheard         []*muxclient.Attempt // whose end the front end is still to hear
}

func newWorkerClient(f *frontEnd, id scheduler.WorkerID) *workerClient {
	i := f.sim.workerIndex[id]
	l := &workerClient{
		frontEnd: f, sim: f.sim, id: id, worker: f.sim.workers[i], index: i, zone: f.sim.network.Zone(f.number),
		workerZone: f.sim.network.Zone(i),
	}
	l.backoff = reconnect.NewBackoff(f.newRand(uint64(id)).Uint64())
	l.dial()
	return l
}

// to does f at the worker, after the way there, unless the connection broke meanwhile.
func (l *workerClient) sendToWorker(f func()) { l.toWorker.Send(f) }

// from does f at the front end, after the way back.
func (l *workerClient) sendToFrontEnd(f func()) {
	l.fromWorker.Send(func() {
		if l.keepalive != nil {
			l.keepalive.Received(l.sim.clock.Now())
		}
		f()
	})
}

// open gives the link the ways of a new connection.
func (l *workerClient) openPaths() {
	l.closePaths()
	l.toWorker, l.fromWorker = l.sim.network.NewPath(l.zone, l.workerZone), l.sim.network.NewPath(l.workerZone, l.zone)
}

// shut drops what is on the ways of the last connection.
func (l *workerClient) closePaths() {
	if l.toWorker != nil {
		l.toWorker.Close()
		l.fromWorker.Close()
	}
	l.keepalive = nil
}

// dial begins to connect: a round trip for the connection, one for hello and welcome, and the handshake, all
// within the time that the settings give it.
func (l *workerClient) dial() {
	if l.connected || l.dialing || l.breaking || l.stopped {
		return
	}
	l.dialing = true
	l.openPaths()
	over := l.sim.clock.After(l.sim.settings.ConnectTimeout, func() {
		l.dialing = false
		l.closePaths()
		if !l.stopped {
			l.failPending(errTimeout)
		}
	})
	l.toWorker.Send(func() {
		l.fromWorker.Send(func() {
			l.toWorker.Send(func() {
				l.sim.clock.After(l.sim.cfg.Handshake+l.sim.handshakeDelay[l.index], func() { l.fromWorker.Send(func() { over(); l.handshakeDone() }) })
			})
		})
	})
}

// met takes the end of the handshake.
func (l *workerClient) handshakeDone() {
	l.dialing = false
	if l.stopped {
		return
	}
	if !l.worker.Up() {
		l.closePaths()
		l.failPending(errRefused)
		return
	}
	l.connected = true
	l.backoff.Connected()
	up := l.worker.Uptime()
	l.frontEnd.do(func(now time.Duration) {
		l.frontEnd.gateway.WorkerConnected(now, l.id, muxframe.Welcome{
			Version: muxframe.Version, Worker: l.worker.Config.Name,
			Incarnation: uint64(l.worker.Incarnation()), UptimeMillis: up.Milliseconds(),
		})
	})
	l.startKeepalive()
	l.flush()
}

// watch takes the connection's pulse as long as something ails its way. On a sound way there is nothing to find.
func (l *workerClient) startKeepalive() {
	if l.connected && l.keepalive == nil && l.sim.network.HasFault(l.zone, l.workerZone) {
		l.keepalive = reconnect.NewKeepalive(l.sim.clock.Now())
		l.checkKeepalive(l.keepalive)
	}
}

func (l *workerClient) checkKeepalive(pulse *reconnect.Keepalive) {
	if l.keepalive != pulse || l.stopped {
		return
	}
	verdict, next := pulse.Check(l.sim.clock.Now())
	switch {
	case verdict == reconnect.Dead:
		l.connectionEnded(errSilent)
		return
	case verdict == reconnect.Ping:
		l.sendToWorker(func() { l.sendToFrontEnd(func() {}) })
	case !l.sim.network.HasFault(l.zone, l.workerZone):
		l.keepalive = nil
		return
	}
	l.sim.clock.After(next-l.sim.clock.Now(), func() { l.checkKeepalive(pulse) })
}

// broken takes the end of the connection as the front end sees it.
func (l *workerClient) connectionEnded(why error) {
	l.connected, l.breaking = false, false
	l.closePaths()
	l.failPending(why)
}

// wanted sees that the link is dialled soon, as something waits for it.
func (l *workerClient) requestDial() {
	if !l.connected && !l.dialing {
		l.backoff.Requested()
		l.scheduleDial()
	}
}

// again dials when the next attempt is due; there is one such time only, however many calls want it.
func (l *workerClient) scheduleDial() {
	if l.cancelDial != nil {
		l.cancelDial()
	}
	l.cancelDial = l.sim.clock.After(l.backoff.NextDial()-l.sim.clock.Now(), l.dial)
}

// brokeAt breaks the connection at the worker: the front end learns of it after the way back, or by its silence.
func (l *workerClient) breakAtWorker() {
	if !l.connected || l.stopped {
		return
	}
	pulse := l.keepalive
	l.connected, l.breaking = false, true
	l.openPaths()
	l.keepalive = pulse
	l.fromWorker.Send(func() { l.connectionEnded(errReset) })
}

// lost ends what was under way, or waited for a connection that cannot be had.
func (l *workerClient) failPending(why error) {
	l.backoff.Failed(l.sim.clock.Now())
	queue, attempts, orders := l.unsent, l.attempts, l.loadOrders
	l.unsent, l.attempts, l.loadOrders = nil, nil, nil
	l.endedUnheard = append(l.endedUnheard, attempts...)
	l.frontEnd.do(func(now time.Duration) {
		g := l.frontEnd.gateway
		for _, x := range queue {
			switch x := x.(type) {
			case *muxclient.Attempt:
				g.AttemptEnded(now, x, muxclient.Result{Status: scheduler.ConnectFailed, Reason: why.Error(), QueueDepth: -1})
			case *muxclient.LoadOrder:
				g.LoadEnded(now, x, scheduler.ConnectFailed, 0)
			}
		}
		for _, a := range attempts {
			l.forgetEnded(a)
			g.AttemptEnded(now, a, muxclient.Result{Status: scheduler.Reset, Reason: why.Error(), QueueDepth: -1})
		}
		for _, o := range orders {
			g.LoadEnded(now, o, scheduler.Reset, 0)
		}
		g.WorkerDisconnected(now, l.id, why)
	})
	l.scheduleDial()
}

// flush sends what waited for the connection.
func (l *workerClient) flush() {
	queue := l.unsent
	l.unsent = nil
	for _, x := range queue {
		l.transmit(x)
	}
}

// push sends x, or keeps it until there is a connection.
func (l *workerClient) push(x any) {
	if !l.connected {
		l.unsent = append(l.unsent, x)
		l.requestDial()
		return
	}
	l.transmit(x)
}

// leave sends x: from now on the worker may have it.
func (l *workerClient) transmit(x any) {
	switch x := x.(type) {
	case *muxclient.Attempt:
		l.attempts = append(l.attempts, x)
		l.sendToWorker(func() { l.deliverAttempt(x) })
	case *muxclient.LoadOrder:
		l.loadOrders = append(l.loadOrders, x)
		l.sendToWorker(func() { l.deliverLoadOrder(x) })
	case func():
		l.sendToWorker(x)
	}
}

var statuses = map[model.Outcome]scheduler.Status{
	model.OK: scheduler.OK, model.Failed: scheduler.Error, model.Overloaded: scheduler.Overloaded,
	model.NotLoaded: scheduler.NotLoaded,
}

var coldStarts = map[model.ColdStart]scheduler.ColdStart{
	model.WarmStart: scheduler.WarmStart, model.ColdStartTriggered: scheduler.ColdStartTriggered,
	model.ColdStartAwaited: scheduler.ColdStartAwaited, model.ColdStartFailed: scheduler.ColdStartFailed,
}

// handle gives an attempt to the worker.
func (l *workerClient) deliverAttempt(a *muxclient.Attempt) {
	c := &a.Request
	work, _ := worker.ParseBody(string(a.Body), 0)
	l.worker.Handle(&model.Request{
		ID: c.ID, Attempt: c.Attempt, FrontEnd: l.frontEnd.name, Class: c.Class, IdempotencyKey: c.IdempotencyKey,
		Function: c.Replica.Function, MemoryMB: c.Replica.MemoryMB, Concurrency: max(1, c.Replica.Concurrency), Work: work, Deadline: a.Deadline,
		LoadTime: c.Replica.LoadTime(),
	}, func(r model.Response) {
		l.sendToFrontEnd(func() { l.responseReceived(a, r) })
	})
}

func (l *workerClient) responseReceived(a *muxclient.Attempt, r model.Response) {
	if !slices.Contains(l.attempts, a) {
		l.frontEnd.do(l.frontEnd.gateway.LateResponse)
		return
	}
	l.removeAttempt(a)
	result := muxclient.Result{
		Status: statuses[r.Outcome], ColdStart: coldStarts[r.ColdStart], QueueDepth: r.QueueDepth,
		LoadReport: []float64{float64(r.Waiting)}, RunTime: r.RunTime, Response: &muxclient.Response{},
	}
	l.endedUnheard = append(l.endedUnheard, a)
	l.frontEnd.do(func(now time.Duration) {
		l.forgetEnded(a)
		l.frontEnd.gateway.AttemptEnded(now, a, result)
	})
}

// heard notes that the front end hears of an attempt's end.
func (l *workerClient) forgetEnded(a *muxclient.Attempt) {
	l.endedUnheard = slices.DeleteFunc(l.endedUnheard, func(x *muxclient.Attempt) bool { return x == a })
}

func (l *workerClient) removeAttempt(a *muxclient.Attempt) {
	l.attempts = slices.DeleteFunc(l.attempts, func(x *muxclient.Attempt) bool { return x == a })
}

// order gives an order to the worker.
func (l *workerClient) deliverLoadOrder(o *muxclient.LoadOrder) {
	c := o.Load.Replica
	order := model.LoadOrder{
		FrontEnd:    l.frontEnd.name,
		Function:    c.Function,
		Replicas:    o.Load.Replicas,
		MemoryMB:    c.MemoryMB,
		Concurrency: max(1, c.Concurrency),
		LoadTime:    c.LoadTime(),
	}
	l.worker.HandleLoadOrder(order, func(outcome model.Outcome, replicas int) {
		l.sendToFrontEnd(func() {
			if !slices.Contains(l.loadOrders, o) {
				return
			}
			l.AbandonLoad(o)
			l.frontEnd.do(func(now time.Duration) { l.frontEnd.gateway.LoadEnded(now, o, statuses[outcome], replicas) })
		})
	})
}

var _ gateway.WorkerClient = (*workerClient)(nil)

// Send implements gateway.Link, as do the methods below.
func (l *workerClient) Send(a *muxclient.Attempt) *muxclient.Result {
	l.sim.recordTrace("send"+l.frontEnd.name+a.Request.ID, uint64(l.id), uint64(a.Request.Attempt))
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
func (l *workerClient) CancelUnsent(a *muxclient.Attempt) bool {
	n := len(l.unsent)
	l.unsent = slices.DeleteFunc(l.unsent, func(x any) bool { return x == any(a) })
	return len(l.unsent) < n
}

// Abandon gives an attempt up and says whether it may have left.
func (l *workerClient) Abandon(a *muxclient.Attempt) bool {
	if slices.Contains(l.attempts, a) {
		l.removeAttempt(a)
		if l.connected {
			l.sendToWorker(func() { l.worker.Cancel(a.Request.ID, a.Request.Attempt) })
		}
		return true
	}
	l.CancelUnsent(a)
	return slices.Contains(l.endedUnheard, a)
}

// Load gives an order.
func (l *workerClient) Load(o *muxclient.LoadOrder) scheduler.Status {
	l.sim.recordTrace("load"+l.frontEnd.name+o.Load.Replica.Function, uint64(l.id), uint64(o.Load.Replicas))
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
func (l *workerClient) AbandonLoad(o *muxclient.LoadOrder) {
	l.loadOrders = slices.DeleteFunc(l.loadOrders, func(x *muxclient.LoadOrder) bool { return x == o })
	l.unsent = slices.DeleteFunc(l.unsent, func(x any) bool { return x == any(o) })
}

// Unload unloads idle copies.
func (l *workerClient) Unload(function string) { l.push(func() { l.worker.Unload(function) }) }

// Probe asks for a load report.
func (l *workerClient) CheckHealth() {
	l.push(func() {
		report := []float64{float64(l.worker.QueueLength())}
		l.sendToFrontEnd(func() {
			l.frontEnd.do(func(now time.Duration) { l.frontEnd.gateway.HealthChecked(now, l.id, scheduler.OK, report) })
		})
	})
}

// Drain takes back what waits for a connection; in virtual time a frame leaves at once when there is one.
func (l *workerClient) Drain(time.Duration) (attempts []*muxclient.Attempt, orders []*muxclient.LoadOrder) {
	l.draining = true
	l.unsent = slices.DeleteFunc(l.unsent, func(x any) bool {
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
func (l *workerClient) Resume() { l.draining = false }

// Busy says whether anything is under way.
func (l *workerClient) Busy() bool { return len(l.unsent)+len(l.attempts)+len(l.loadOrders) > 0 }

// Stop ends the link.
func (l *workerClient) Stop() {
	l.stopped = true
	l.closePaths()
	if l.cancelDial != nil {
		l.cancelDial()
	}
}
