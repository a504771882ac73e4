package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// loadOrder is a load order, or a residency query, that awaits its response.
type loadOrder struct {
	workerconn.LoadOrder
	worker   *worker
	function scheduler.FunctionID
	sentAt   time.Duration
	timer    timer // timeout of the response
	ended    bool  // whether the result was reported to the scheduler
}

// Load implements scheduler.Actions. It sends an order to load replicas of a function or, if replicas is 0, a residency
// query, which asks how many replicas are resident.
func (f *FrontEnd) Load(to scheduler.WorkerID, id scheduler.FunctionID, replicas int) {
	worker, function := f.workers[to], f.functions.find(id)
	if worker == nil || function == nil {
		f.deferred = append(f.deferred, func() {
			f.scheduler.LoadEnded(f.now, scheduler.LoadResult{Worker: to, Function: id, Status: scheduler.ConnectFailed})
		})
		return
	}
	if replicas > 0 && worker.state != scheduler.Ready {
		f.guard.CountViolation(execution.StartAtDrainingWorker)
		worker.addLogFields(f.log.Error()).Stringer("violation", execution.StartAtDrainingWorker).Msg("rule violation prevented")
		f.deferred = append(f.deferred, func() {
			f.scheduler.LoadEnded(f.now, scheduler.LoadResult{Worker: to, Function: id, Status: scheduler.Overloaded})
		})
		return
	}
	if replicas > 0 {
		f.counts.LoadOrders++
	} else {
		f.counts.ResidencyQueries++
	}
	order := &loadOrder{worker: worker, function: id, sentAt: f.now}
	order.Load = muxframe.LoadOrder{Replica: function.replica, Replicas: replicas}
	f.loadOrders[&order.LoadOrder] = order
	order.timer = timer{kind: loadOrderTimer, due: f.now + f.settings.Scheduler.LoadOrderTimeout, loadOrder: order}
	f.timers.add(&order.timer)
	if replicas > 0 {
		f.loadWhenConfirmed(order)
	} else {
		f.sendLoadOrder(order)
	}
}

// Unload implements scheduler.Actions: it asks a worker to unload the idle replicas of a function.
func (f *FrontEnd) Unload(from scheduler.WorkerID, id scheduler.FunctionID) {
	worker, function := f.workers[from], f.functions.find(id)
	if worker != nil && function != nil {
		worker.client.Unload(function.replica.Function)
	}
}

// LoadEnded handles the result of a load order or residency query, as reported by its worker client. replicas is the
// number of resident replicas. It ignores an order that has already ended.
func (f *FrontEnd) LoadEnded(now time.Duration, sent *workerconn.LoadOrder, status scheduler.Status, replicas int) {
	f.now = now
	if order := f.loadOrders[sent]; order != nil {
		if status == scheduler.OK && order.Load.Replicas > 0 {
			order.worker.recordAccepted(sent.WriteStartedAt())
		}
		f.endLoadOrder(order, status, replicas)
	}
	f.runDeferred()
}

// endLoadOrder ends a load order or residency query and reports its result to the scheduler, at most once.
func (f *FrontEnd) endLoadOrder(order *loadOrder, status scheduler.Status, replicas int) {
	if order.ended {
		return
	}
	order.ended = true
	f.timers.remove(&order.timer)
	delete(f.loadOrders, &order.LoadOrder)
	f.trace.loadOrderEnded(f.now, order, status)
	f.scheduler.LoadEnded(f.now, scheduler.LoadResult{
		Worker:   order.worker.id,
		Function: order.function,
		Status:   status,
		Latency:  f.now - order.sentAt,
		Replicas: replicas,
	})
}
