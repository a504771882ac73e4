package model

import (
	"slices"
	"time"
)

// load is a replica of a function that is being loaded, or waits for its turn.
type load struct {
	function    string
	memoryMB    float64
	concurrency int
	duration    time.Duration // while nothing else loads
	started     bool
	orders      []*loadOrder // that wait for its end
}

// loadOrder is a front end's order to hold replicas of a function.
type loadOrder struct {
	replicas int
	reply    func(Outcome, int)
}

// newLoad is a load of the function that a request is for.
func newLoad(a *attempt) *load {
	return &load{function: a.Function, memoryMB: a.MemoryMB, concurrency: a.Concurrency, duration: a.LoadTime}
}

const (
	// queuedLoadsFactor bounds the loads, those that wait included, as a multiple of those at a time.
	queuedLoadsFactor = 3
	// fetchShare is the share of a load's time that is the fetch; the rest is the start, which uses no core.
	fetchShare = 0.6
)

// enqueueLoad starts a load or queues it. It reports false where memory or places in the queue are short. order may
// be nil.
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

// startLoads starts the oldest loads, as many as may run at a time.
func (w *Worker) startLoads() {
	for i, l := range w.loads {
		if i >= w.Config.MaxConcurrentLoads || l.started {
			continue
		}
		l.started = true
		w.fetch(l)
	}
}

// fetch fetches a load's artefact and then starts the replica.
func (w *Worker) fetch(l *load) {
	incarnation := w.incarnation
	fetchTime := time.Duration(fetchShare * float64(l.duration))
	w.store.Fetch(l.function, fetchTime, func(ok bool) {
		if incarnation != w.incarnation || !w.up {
			return
		}
		if !ok { // never from within Fetch itself
			w.clock.After(0, func() { w.loadEnded(incarnation, l, false) })
			return
		}
		w.clock.After(l.duration-fetchTime, func() { w.loadEnded(incarnation, l, true) })
	})
}

// loadEnded handles the end of a load that an incarnation of the process began.
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

// isCurrent reports whether a load belongs to the process that runs now.
func (w *Worker) isCurrent(incarnation int, l *load) bool {
	return w.up && incarnation == w.incarnation && slices.Contains(w.loads, l)
}

// failQueued responds to the queued requests of a function whose load failed.
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

// LoadOrder is an order to hold replicas of a function. For 0 replicas it is a residency query, which only asks how
// many are loaded.
type LoadOrder struct {
	FrontEnd    string
	Function    string
	Replicas    int
	MemoryMB    float64       // of each replica
	Concurrency int           // of each replica
	LoadTime    time.Duration // of a replica, while nothing else loads
}

// HandleLoadOrder receives a load order. reply is called once with the number of loaded replicas, unless the worker
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

// joinLoad makes an order wait for the first load of a function under way. It reports false where there is none.
func (w *Worker) joinLoad(function string, order *loadOrder) bool {
	for _, l := range w.loads {
		if l.function == function {
			l.orders = append(l.orders, order)
			return true
		}
	}
	return false
}

// renewKeepAlive starts the keep-alive time of a function's idle replicas anew.
func (w *Worker) renewKeepAlive(function string) {
	for _, r := range w.replicas {
		if r.serves(function) && r.busy == 0 {
			w.startIdle(r)
		}
	}
}
