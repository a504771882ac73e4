package simulation

import (
	"slices"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/gateway"
	"havencart/internal/workerconn"
	"havencart/lab/model"
	"havencart/lab/worker"
	"havencart/scheduler"
)

// unknownQueueDepth is the queue depth of results that no worker reported.
const unknownQueueDepth = -1

// workerClient is a front end's in-memory client of one worker. It reports the same results as muxclient.Client for
// the same events: what was never sent, what may have executed, what was responded to.
type workerClient struct {
	frontEnd *frontEnd
	sim      *Simulation
	id       scheduler.WorkerID
	worker   *model.Worker
	index    int // of the worker

	// The connection.
	state                connectionState
	stopped              bool
	draining             bool
	zone, workerZone     int         // of the front end and of the worker
	toWorker, fromWorker *model.Path // nil before the first dial
	backoff              *reconnect.Backoff
	cancelDial           func()               // cancels the next dial
	keepalive            *reconnect.Keepalive // nil while the network has no fault

	unsent     []outgoing
	attempts   []*workerconn.Attempt   // sent, without a response
	loadOrders []*workerconn.LoadOrder // sent, without a result
	unreported []*workerconn.Attempt   // ended, and the stalled front end does not know yet
}

var _ gateway.WorkerClient = (*workerClient)(nil)

// outgoing is a message to the worker: exactly one of its fields is set.
type outgoing struct {
	attempt   *workerconn.Attempt
	loadOrder *workerconn.LoadOrder
	call      func() // what it does at the worker
}

func newWorkerClient(f *frontEnd, id scheduler.WorkerID) *workerClient {
	index := f.sim.workerIndex[id]
	c := &workerClient{
		frontEnd:   f,
		sim:        f.sim,
		id:         id,
		worker:     f.sim.workers[index],
		index:      index,
		zone:       f.sim.network.Zone(f.number),
		workerZone: f.sim.network.Zone(index),
		backoff:    reconnect.NewBackoff(f.newRand(id).Uint64()),
	}
	c.dial()
	return c
}

// Send implements gateway.WorkerClient, as do the methods below.
func (c *workerClient) Send(a *workerconn.Attempt) *workerconn.Result {
	c.sim.recordTrace(traceAttemptSent+c.frontEnd.name+a.Request.ID, uint64(c.id), uint64(a.Request.Attempt))
	switch {
	case c.draining:
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: unknownQueueDepth}
	case c.stopped:
		return &workerconn.Result{Status: scheduler.ConnectFailed, QueueDepth: unknownQueueDepth}
	}
	c.send(outgoing{attempt: a})
	return nil
}

// CancelUnsent takes an attempt back that was not sent.
func (c *workerClient) CancelUnsent(a *workerconn.Attempt) bool {
	before := len(c.unsent)
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoing) bool { return m.attempt == a })
	return len(c.unsent) < before
}

// Abandon cancels an attempt and reports whether it may have been sent.
func (c *workerClient) Abandon(a *workerconn.Attempt) bool {
	if !slices.Contains(c.attempts, a) {
		c.CancelUnsent(a)
		return slices.Contains(c.unreported, a)
	}
	c.removeAttempt(a)
	if c.state == connected {
		c.sendToWorker(func() { c.worker.Cancel(a.Request.ID, a.Request.Attempt) })
	}
	return true
}

// Load sends a load order.
func (c *workerClient) Load(o *workerconn.LoadOrder) scheduler.Status {
	c.sim.recordTrace(traceLoadOrderSent+c.frontEnd.name+o.Load.Replica.Function, uint64(c.id), uint64(o.Load.Replicas))
	switch {
	case c.draining && o.Load.Replicas > 0:
		return scheduler.Overloaded
	case c.stopped:
		return scheduler.ConnectFailed
	}
	c.send(outgoing{loadOrder: o})
	return 0
}

// AbandonLoad gives a load order up.
func (c *workerClient) AbandonLoad(o *workerconn.LoadOrder) {
	c.loadOrders = slices.DeleteFunc(c.loadOrders, func(x *workerconn.LoadOrder) bool { return x == o })
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoing) bool { return m.loadOrder == o })
}

// Unload unloads the idle replicas of a function.
func (c *workerClient) Unload(function string) {
	c.send(outgoing{call: func() { c.worker.Unload(function) }})
}

// CheckHealth asks for a load report.
func (c *workerClient) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	c.send(outgoing{call: func() {
		loadReport := []float64{float64(c.worker.QueueLength())}
		c.sendToFrontEnd(func() {
			c.frontEnd.do(func(now time.Duration) {
				c.frontEnd.gateway.HealthChecked(now, check, scheduler.OK, loadReport)
			})
		})
	}})
	return 0
}

// AbandonHealthCheck does nothing: the response of one that was given up is ignored.
func (c *workerClient) AbandonHealthCheck(*workerconn.HealthCheck) {}

// Drain takes back what waits for a connection. In virtual time nothing waits once there is one.
func (c *workerClient) Drain(time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	c.draining = true
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoing) bool {
		switch {
		case m.attempt != nil:
			attempts = append(attempts, m.attempt)
			return true
		case m.loadOrder != nil && m.loadOrder.Load.Replicas > 0:
			orders = append(orders, m.loadOrder)
			return true
		}
		return false
	})
	return attempts, orders
}

// Resume accepts new work again.
func (c *workerClient) Resume() { c.draining = false }

// Busy reports whether anything is in flight or waits for a connection.
func (c *workerClient) Busy() bool { return len(c.unsent)+len(c.attempts)+len(c.loadOrders) > 0 }

// Stop closes the connection for good.
func (c *workerClient) Stop() {
	c.stopped = true
	c.closePaths()
	if c.cancelDial != nil {
		c.cancelDial()
	}
}

// send transmits a message, or keeps it until there is a connection.
func (c *workerClient) send(m outgoing) {
	if c.state != connected {
		c.unsent = append(c.unsent, m)
		c.requestDial()
		return
	}
	c.transmit(m)
}

// flush transmits what waited for the connection.
func (c *workerClient) flush() {
	unsent := c.unsent
	c.unsent = nil
	for _, m := range unsent {
		c.transmit(m)
	}
}

// transmit sends a message: from now on the worker may have it.
func (c *workerClient) transmit(m outgoing) {
	switch {
	case m.attempt != nil:
		c.attempts = append(c.attempts, m.attempt)
		c.sendToWorker(func() { c.deliverAttempt(m.attempt) })
	case m.loadOrder != nil:
		c.loadOrders = append(c.loadOrders, m.loadOrder)
		c.sendToWorker(func() { c.deliverLoadOrder(m.loadOrder) })
	default:
		c.sendToWorker(m.call)
	}
}

var statuses = map[model.Outcome]scheduler.Status{
	model.OK:         scheduler.OK,
	model.Failed:     scheduler.Error,
	model.Overloaded: scheduler.Overloaded,
	model.NotLoaded:  scheduler.NotLoaded,
}

var coldStarts = map[model.ColdStart]scheduler.ColdStart{
	model.WarmStart:          scheduler.WarmStart,
	model.ColdStartTriggered: scheduler.ColdStartTriggered,
	model.ColdStartAwaited:   scheduler.ColdStartAwaited,
	model.ColdStartFailed:    scheduler.ColdStartFailed,
}

// deliverAttempt hands an attempt to the worker.
func (c *workerClient) deliverAttempt(attempt *workerconn.Attempt) {
	r := &attempt.Request
	work, _ := worker.ParseBody(string(attempt.Body), 0)
	received := &model.Request{
		ID:             r.ID,
		Attempt:        r.Attempt,
		FrontEnd:       c.frontEnd.name,
		Class:          r.Class,
		IdempotencyKey: r.IdempotencyKey,
		Function:       r.Replica.Function,
		MemoryMB:       r.Replica.MemoryMB,
		Concurrency:    max(1, r.Replica.Concurrency),
		LoadTime:       r.Replica.LoadTime(),
		Work:           work,
		Deadline:       attempt.Deadline,
	}
	c.worker.Handle(received, func(response model.Response) {
		c.sendToFrontEnd(func() { c.responseReceived(attempt, response) })
	})
}

// responseReceived handles a response. One to an abandoned attempt is late.
func (c *workerClient) responseReceived(attempt *workerconn.Attempt, r model.Response) {
	if !slices.Contains(c.attempts, attempt) {
		c.frontEnd.do(c.frontEnd.gateway.LateResponse)
		return
	}
	c.removeAttempt(attempt)
	result := workerconn.Result{
		Status:     statuses[r.Outcome],
		ColdStart:  coldStarts[r.ColdStart],
		QueueDepth: r.QueueDepth,
		LoadReport: []float64{float64(r.Waiting)},
		RunTime:    r.RunTime,
		Response:   &workerconn.Response{},
	}
	c.unreported = append(c.unreported, attempt)
	c.frontEnd.do(func(now time.Duration) {
		c.reported(attempt)
		c.frontEnd.gateway.AttemptEnded(now, attempt, result)
	})
}

// reported notes that the front end learns of an attempt's end.
func (c *workerClient) reported(a *workerconn.Attempt) {
	c.unreported = slices.DeleteFunc(c.unreported, func(x *workerconn.Attempt) bool { return x == a })
}

func (c *workerClient) removeAttempt(a *workerconn.Attempt) {
	c.attempts = slices.DeleteFunc(c.attempts, func(x *workerconn.Attempt) bool { return x == a })
}

// deliverLoadOrder hands a load order to the worker.
func (c *workerClient) deliverLoadOrder(o *workerconn.LoadOrder) {
	replica := o.Load.Replica
	received := model.LoadOrder{
		FrontEnd:    c.frontEnd.name,
		Function:    replica.Function,
		Replicas:    o.Load.Replicas,
		MemoryMB:    replica.MemoryMB,
		Concurrency: max(1, replica.Concurrency),
		LoadTime:    replica.LoadTime(),
	}
	c.worker.HandleLoadOrder(received, func(outcome model.Outcome, replicas int) {
		c.sendToFrontEnd(func() { c.loadResultReceived(o, outcome, replicas) })
	})
}

// loadResultReceived handles the result of a load order, unless it was given up.
func (c *workerClient) loadResultReceived(o *workerconn.LoadOrder, outcome model.Outcome, replicas int) {
	if !slices.Contains(c.loadOrders, o) {
		return
	}
	c.AbandonLoad(o)
	c.frontEnd.do(func(now time.Duration) {
		c.frontEnd.gateway.LoadEnded(now, o, statuses[outcome], replicas)
	})
}
