package gateway

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// loadOrder is an order to load replicas, or a residency query, that awaits its response.
type loadOrder struct {
	workerconn.LoadOrder
	worker   *worker
	function scheduler.FunctionID
	sentAt   time.Duration
	timer    timer // its timeout
	ended    bool  // its result was reported to the scheduler
}

// Load implements scheduler.Actions: it orders replicas of a function loaded, or with 0 asks how many are resident.
func (f *FrontEnd) Load(to scheduler.WorkerID, id scheduler.FunctionID, replicas int) {
	worker, function := f.workers[to], f.functions[id]
	if worker == nil || function == nil {
		f.deferred = append(f.deferred, func() {
			f.scheduler.LoadEnded(f.now, scheduler.LoadResult{Worker: to, Function: id, Status: scheduler.ConnectFailed})
		})
		return
	}
	if replicas > 0 && worker.state != scheduler.Ready {
		f.guard.Count(execution.StartAtDrainingWorker)
		worker.named(f.log.Error()).Stringer("violation", execution.StartAtDrainingWorker).Msg("rule violation prevented")
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
		f.beginLoad(order)
	} else {
		f.sendLoadOrder(order)
	}
}

// Unload implements scheduler.Actions: it has the idle replicas of a function unloaded.
func (f *FrontEnd) Unload(from scheduler.WorkerID, id scheduler.FunctionID) {
	worker, function := f.workers[from], f.functions[id]
	if worker != nil && function != nil {
		worker.client.Unload(function.replica.Function)
	}
}

// LoadEnded takes the response to a load order from its worker client, with the replicas that are resident. An order
// that has ended already is ignored.
func (f *FrontEnd) LoadEnded(now time.Duration, sent *workerconn.LoadOrder, status scheduler.Status, replicas int) {
	f.now = now
	if order := f.loadOrders[sent]; order != nil {
		if status == scheduler.OK && order.Load.Replicas > 0 {
			order.worker.accepted(sent.WriteStartedAt())
		}
		f.endLoadOrder(order, status, replicas)
	}
	f.runDeferred()
}

// endLoadOrder reports the result of a load order to the scheduler, once.
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
