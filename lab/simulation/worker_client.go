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

// unknownQueueDepth is the queue depth in a result that does not come from a worker.
const unknownQueueDepth = -1

// workerClient is a front end's in-memory client of one worker. For the same events it reports the same results as
// muxclient.Client: which attempts were never sent, which may have executed, and which have a response.
type workerClient struct {
	frontEnd *frontEnd
	sim      *Simulation
	id       scheduler.WorkerID
	worker   *model.Worker
	index    int // index of the worker

	// The connection.
	state                connectionState
	stopped              bool
	draining             bool
	zone, workerZone     int         // zones of the front end and of the worker
	toWorker, fromWorker *model.Path // both nil before the first dial
	backoff              *reconnect.Backoff
	cancelDial           func()               // cancels the next dial
	keepalive            *reconnect.Keepalive // nil while the network has no fault

	unsent     []outgoingMessage
	attempts   []*workerconn.Attempt   // sent, but without a response
	loadOrders []*workerconn.LoadOrder // sent, but without a result
	received   []*workerconn.Attempt   // of attempts, those that the worker is known to have received
	unreported []*workerconn.Attempt   // ended, but not reported to the front end because its event loop is stalled
}

var _ gateway.WorkerClient = (*workerClient)(nil)

// outgoingMessage is a message to the worker: exactly one of its fields is set.
type outgoingMessage struct {
	attempt   *workerconn.Attempt
	loadOrder *workerconn.LoadOrder
	call      func() // effect at the worker of any other message
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

// Send implements gateway.WorkerClient, as do the other exported methods.
func (c *workerClient) Send(a *workerconn.Attempt) *workerconn.Result {
	c.sim.recordTrace(traceAttemptSent+c.frontEnd.name+a.Request.ID, uint64(c.id), uint64(a.Request.Attempt))
	switch {
	case c.draining:
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: unknownQueueDepth}
	case c.stopped:
		return &workerconn.Result{Status: scheduler.ConnectFailed, QueueDepth: unknownQueueDepth}
	}
	c.send(outgoingMessage{attempt: a})
	return nil
}

// CancelUnsent removes an attempt that has not been sent. It reports whether there was such an attempt.
func (c *workerClient) CancelUnsent(a *workerconn.Attempt) bool {
	before := len(c.unsent)
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoingMessage) bool { return m.attempt == a })
	return len(c.unsent) < before
}

// Abandon cancels an attempt and reports whether the attempt may have been sent.
func (c *workerClient) Abandon(a *workerconn.Attempt) bool {
	if !slices.Contains(c.attempts, a) {
		c.CancelUnsent(a)
		return slices.Contains(c.unreported, a)
	}
	wasReceived := c.IsReceived(a)
	c.removeAttempt(a)
	if c.state != connected {
		return true
	}
	if a.PermitEnded(c.sim.clock.Now()) && !wasReceived {
		c.discardConnection()
		return true
	}
	c.sendToWorker(func() { c.worker.Cancel(a.Request.ID, a.Request.Attempt) })
	return true
}

// IsReceived reports whether the worker is known to have received an attempt, or the attempt has ended.
func (c *workerClient) IsReceived(a *workerconn.Attempt) bool {
	return !slices.Contains(c.attempts, a) || slices.Contains(c.received, a)
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
	c.send(outgoingMessage{loadOrder: o})
	return 0
}

// AbandonLoad discards a load order. Its result will be ignored.
func (c *workerClient) AbandonLoad(o *workerconn.LoadOrder) {
	c.loadOrders = slices.DeleteFunc(c.loadOrders, func(x *workerconn.LoadOrder) bool { return x == o })
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoingMessage) bool { return m.loadOrder == o })
}

// Unload unloads the idle replicas of a function.
func (c *workerClient) Unload(function string) {
	c.send(outgoingMessage{call: func() { c.worker.Unload(function) }})
}

// CheckHealth sends a health check, to which the worker responds with a load report.
func (c *workerClient) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	c.send(outgoingMessage{call: func() {
		loadReport := []float64{float64(c.worker.QueueLength())}
		c.sendToFrontEnd(func() {
			c.frontEnd.handleEvent(func(now time.Duration) {
				c.frontEnd.gateway.HealthChecked(now, check, scheduler.OK, loadReport)
			})
		})
	}})
	return 0
}

// AbandonHealthCheck does nothing, because the gateway ignores the response to an abandoned health check.
func (c *workerClient) AbandonHealthCheck(*workerconn.HealthCheck) {}

// Drain removes and returns the attempts and load orders that are waiting for a connection. Nothing is waiting while
// the client is connected, because sending takes no virtual time.
func (c *workerClient) Drain(time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	c.draining = true
	c.unsent = slices.DeleteFunc(c.unsent, func(m outgoingMessage) bool {
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

// Resume makes the client accept new work again after Drain.
func (c *workerClient) Resume() { c.draining = false }

// Busy reports whether anything is in flight or waiting for a connection.
func (c *workerClient) Busy() bool { return len(c.unsent)+len(c.attempts)+len(c.loadOrders) > 0 }

// Stop closes the connection. The client does not connect again.
func (c *workerClient) Stop() {
	c.stopped = true
	c.closePaths()
	if c.cancelDial != nil {
		c.cancelDial()
	}
}

// send transmits a message, or keeps it until the client is connected.
func (c *workerClient) send(m outgoingMessage) {
	if c.state != connected {
		c.unsent = append(c.unsent, m)
		c.requestDial()
		return
	}
	c.transmit(m)
}

// flush transmits the messages that were waiting for the connection.
func (c *workerClient) flush() {
	unsent := c.unsent
	c.unsent = nil
	for _, m := range unsent {
		c.transmit(m)
	}
}

// transmit sends a message over the connection. From now on the worker may have received it.
func (c *workerClient) transmit(m outgoingMessage) {
	switch {
	case m.attempt != nil:
		c.attempts = append(c.attempts, m.attempt)
		c.sendToWorker(func() { c.deliverAttempt(m.attempt) })
		c.requestReceipt(m.attempt)
	case m.loadOrder != nil:
		c.loadOrders = append(c.loadOrders, m.loadOrder)
		c.sendToWorker(func() { c.deliverLoadOrder(m.loadOrder) })
	default:
		c.sendToWorker(m.call)
	}
}

// requestReceipt sends a ping behind an attempt that has a permit. The pong confirms that the attempt has arrived.
func (c *workerClient) requestReceipt(a *workerconn.Attempt) {
	if !a.HasPermit() {
		return
	}
	c.sendToWorker(func() {
		c.sendToFrontEnd(func() {
			if slices.Contains(c.attempts, a) {
				c.received = append(c.received, a)
			}
		})
	})
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

// deliverAttempt delivers an attempt to the worker.
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

// responseReceived handles a response from the worker. A response to an abandoned attempt is late.
func (c *workerClient) responseReceived(attempt *workerconn.Attempt, r model.Response) {
	if !slices.Contains(c.attempts, attempt) {
		c.frontEnd.handleEvent(c.frontEnd.gateway.LateResponse)
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
	c.frontEnd.handleEvent(func(now time.Duration) {
		c.markReported(attempt)
		c.frontEnd.gateway.AttemptEnded(now, attempt, result)
	})
}

// markReported records that the end of an attempt is reported to the front end.
func (c *workerClient) markReported(a *workerconn.Attempt) {
	c.unreported = slices.DeleteFunc(c.unreported, func(x *workerconn.Attempt) bool { return x == a })
}

func (c *workerClient) removeAttempt(a *workerconn.Attempt) {
	remove := func(x *workerconn.Attempt) bool { return x == a }
	c.attempts = slices.DeleteFunc(c.attempts, remove)
	c.received = slices.DeleteFunc(c.received, remove)
}

// deliverLoadOrder delivers a load order to the worker.
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

// loadResultReceived handles the result of a load order, unless the order was abandoned.
func (c *workerClient) loadResultReceived(o *workerconn.LoadOrder, outcome model.Outcome, replicas int) {
	if !slices.Contains(c.loadOrders, o) {
		return
	}
	c.AbandonLoad(o)
	c.frontEnd.handleEvent(func(now time.Duration) {
		c.frontEnd.gateway.LoadEnded(now, o, statuses[outcome], replicas)
	})
}
