package model

import (
	"slices"
	"time"
)

// load is the load of one replica of a function. It is queued or in progress.
type load struct {
	function    string
	memoryMB    float64
	concurrency int
	duration    time.Duration // duration while nothing else is being loaded
	started     bool
	orders      []*loadOrder // load orders that are answered when the load ends
}

// loadOrder is a front end's load order that has not been answered yet.
type loadOrder struct {
	replicas int
	reply    func(Outcome, int)
}

// newLoad returns a load of the function that a request calls.
func newLoad(a *attempt) *load {
	return &load{function: a.Function, memoryMB: a.MemoryMB, concurrency: a.Concurrency, duration: a.LoadTime}
}

const (
	// queuedLoadsFactor bounds the number of loads, queued ones included, as a multiple of MaxConcurrentLoads.
	queuedLoadsFactor = 3
	// fetchShare is the fraction of a load's duration that the fetch takes. The remainder is the start of the replica,
	// which uses no core.
	fetchShare = 0.6
)

// enqueueLoad starts a load or queues it. It returns false if there is not enough memory or the queue of loads is full.
// order is the load order that is answered when the load ends; it may be nil.
func (w *Worker) enqueueLoad(l *load, order *loadOrder) bool {
	if len(w.loads) >= queuedLoadsFactor*w.Config.MaxConcurrentLoads || !w.makeRoom(l.memoryMB) {
		return false
	}
	l.concurrency = max(1, l.concurrency)
	if order != nil {
		l.orders = append(l.orders, order)
	}
	w.loads = append(w.loads, l)
	w.startLoads()
	return true
}

// startLoads starts queued loads, oldest first, up to the limit of concurrent loads.
func (w *Worker) startLoads() {
	for i, l := range w.loads {
		if i >= w.Config.MaxConcurrentLoads || l.started {
			continue
		}
		l.started = true
		w.fetch(l)
	}
}

// fetch fetches the artefact for a load and then starts the replica.
func (w *Worker) fetch(l *load) {
	incarnation := w.incarnation
	fetchTime := time.Duration(fetchShare * float64(l.duration))
	w.store.Fetch(l.function, fetchTime, func(ok bool) {
		if incarnation != w.incarnation || !w.up {
			return
		}
		if !ok { // ends the load in a callback of its own, because Fetch may call done before it returns
			w.clock.After(0, func() { w.loadEnded(incarnation, l, false) })
			return
		}
		w.clock.After(l.duration-fetchTime, func() { w.loadEnded(incarnation, l, true) })
	})
}

// loadEnded handles the end of a load that the given incarnation of the process started.
func (w *Worker) loadEnded(incarnation int, l *load, ok bool) {
	if !w.isCurrent(incarnation, l) || w.hung {
		return
	}
	w.loads = slices.DeleteFunc(w.loads, func(x *load) bool { return x == l })
	outcome := Failed
	if ok {
		outcome = OK
		r := &replica{function: l.function, memoryMB: l.memoryMB, concurrency: l.concurrency}
		w.replicas = append(w.replicas, r)
		w.startIdle(r)
	}
	loaded, loading := w.replicaCounts(l.function)
	for _, order := range l.orders {
		order.reply(outcome, loaded)
	}
	if !ok && loaded+loading == 0 {
		w.failQueued(l.function)
	}
	w.dispatchQueued(l.function)
	w.startLoads()
}

// isCurrent reports whether a load belongs to the current incarnation of the process and has not ended.
func (w *Worker) isCurrent(incarnation int, l *load) bool {
	return w.up && incarnation == w.incarnation && slices.Contains(w.loads, l)
}

// failQueued responds NotLoaded to the queued requests of a function whose load failed.
func (w *Worker) failQueued(function string) {
	var failed []*attempt
	w.queue = slices.DeleteFunc(w.queue, func(a *attempt) bool {
		if a.Function != function {
			return false
		}
		failed = append(failed, a)
		return true
	})
	for _, a := range failed {
		a.coldStart = ColdStartFailed
		w.respond(a, NotLoaded)
	}
}

// LoadOrder is an order to hold a number of replicas of a function. An order for 0 replicas is a residency query, which
// only asks how many replicas are loaded.
type LoadOrder struct {
	FrontEnd    string
	Function    string
	Replicas    int
	MemoryMB    float64       // memory of each replica
	Concurrency int           // concurrency of each replica
	LoadTime    time.Duration // time to load a replica while nothing else is being loaded
}

// HandleLoadOrder receives a load order. reply is called once, with the number of loaded replicas, unless the worker
// crashes or hangs.
func (w *Worker) HandleLoadOrder(o LoadOrder, reply func(Outcome, int)) {
	w.observer.LoadOrderReceived(w, o.FrontEnd, o.Function, o.Replicas)
	if !w.up || w.hung {
		return
	}
	loaded, loading := w.replicaCounts(o.Function)
	switch {
	case o.Replicas == 0:
		reply(OK, loaded)
		return
	case w.draining:
		reply(Overloaded, loaded)
		return
	case loaded >= o.Replicas:
		w.renewKeepAlive(o.Function)
		reply(OK, loaded)
		return
	}
	order := &loadOrder{replicas: o.Replicas, reply: reply}
	if loaded+loading >= o.Replicas && w.joinLoad(o.Function, order) {
		return
	}
	l := &load{function: o.Function, memoryMB: o.MemoryMB, concurrency: o.Concurrency, duration: o.LoadTime}
	if !w.enqueueLoad(l, order) {
		reply(Overloaded, loaded)
	}
}

// joinLoad makes an order wait for the oldest load of a function. It returns false if the function has no load.
func (w *Worker) joinLoad(function string, order *loadOrder) bool {
	for _, l := range w.loads {
		if l.function == function {
			l.orders = append(l.orders, order)
			return true
		}
	}
	return false
}

// renewKeepAlive restarts the keep-alive time of a function's idle replicas.
func (w *Worker) renewKeepAlive(function string) {
	for _, r := range w.replicas {
		if r.serves(function) && r.executing == 0 {
			w.startIdle(r)
		}
	}
}
