package scheduler

import (
	"maps"
	"slices"
)

// This file copies a Scheduler. It contains no scheduling decisions. It must copy every slice, map and pointer
// reachable from a Scheduler: a new field of such a type needs a line here.

// Clone returns a deep copy of s that uses the given settings, which must have the same number of classes and
// tenants, and calls the given actions. The shadow evaluation compares the original and the clone on the same events.
func (s *Scheduler) Clone(settings Settings, actions Actions) *Scheduler {
	clone := *s
	clone.settings, clone.actions = settings, actions
	cloner := newCloner(&clone.settings)
	clone.endpoints.byID = cloneValues(s.endpoints.byID, cloner.worker)
	clone.endpoints.list = cloneElements(s.endpoints.list, cloner.worker)
	clone.endpoints.ranking = slices.Clone(s.endpoints.ranking)
	clone.endpoints.busy = cloneElements(s.endpoints.busy, cloner.worker)
	clone.endpoints.cells = make(map[int][]*workerRecord, len(s.endpoints.cells))
	for cell, workers := range s.endpoints.cells {
		clone.endpoints.cells[cell] = cloneElements(workers, cloner.worker)
	}
	clone.endpoints.counts.healthy = slices.Clone(s.endpoints.counts.healthy)
	clone.endpoints.counts.serving = slices.Clone(s.endpoints.counts.serving)
	clone.endpoints.counts.cold = cloneElements(s.endpoints.counts.cold, cloner.worker)
	clone.endpoints.counts.servingByResponse = cloneElements(s.endpoints.counts.servingByResponse, cloner.worker)
	clone.delay.ordered = cloneElements(s.delay.ordered, cloner.worker)
	clone.delay.contacts = slices.Clone(s.delay.contacts)
	for i := range clone.delay.contacts {
		clone.delay.contacts[i].worker = cloner.worker(s.delay.contacts[i].worker)
	}
	clone.functions.byID = cloneValues(s.functions.byID, cloner.function)
	clone.functions.active = cloneElements(s.functions.active, cloner.function)
	clone.functions.idle = cloneElements(s.functions.idle, cloner.function)
	clone.requests = cloneValues(s.requests, cloner.request)
	clone.loadOrders = maps.Clone(s.loadOrders)
	clone.latency.runTimeByClass = slices.Clone(s.latency.runTimeByClass)
	clone.latency.sampledWorkers = slices.Clone(s.latency.sampledWorkers)
	for class, workers := range s.latency.sampledWorkers {
		clone.latency.sampledWorkers[class] = cloneElements(workers, cloner.worker)
	}
	clone.latency.unloadedRunTime = slices.Clone(s.latency.unloadedRunTime)
	clone.latency.unloadedRunTimeAt = slices.Clone(s.latency.unloadedRunTimeAt)
	clone.loadRate.orderTimes = slices.Clone(s.loadRate.orderTimes)
	clone.loadRate.requestTimes = slices.Clone(s.loadRate.requestTimes)
	clone.tenants.usage = slices.Clone(s.tenants.usage)
	clone.tenants.overage = slices.Clone(s.tenants.overage)
	if settings.ScaleIsCapacity != s.settings.ScaleIsCapacity {
		clone.endpoints.version++ // invalidates the cached rendezvous orders
		clone.rankWorkers()
	}
	return &clone
}

// cloner maps originals to their copies, so that records shared in the original are shared in the copy.
type cloner struct {
	settings  *Settings // settings of the copy
	workers   map[*workerRecord]*workerRecord
	functions map[*functionRecord]*functionRecord
	replicas  map[*replicaRecord]*replicaRecord
	requests  map[*requestRecord]*requestRecord
}

func newCloner(settings *Settings) *cloner {
	return &cloner{
		settings:  settings,
		workers:   map[*workerRecord]*workerRecord{},
		functions: map[*functionRecord]*functionRecord{},
		replicas:  map[*replicaRecord]*replicaRecord{},
		requests:  map[*requestRecord]*requestRecord{},
	}
}

func (c *cloner) worker(worker *workerRecord) *workerRecord {
	return cloneOnce(c.workers, worker, func(w *workerRecord) {
		w.inFlight = cloneElements(w.inFlight, c.request)
		w.sendTimes = slices.Clone(w.sendTimes)
		w.runTimeByClass = slices.Clone(w.runTimeByClass)
		w.healthByClass = slices.Clone(w.healthByClass)
	})
}

func (c *cloner) function(function *functionRecord) *functionRecord {
	return cloneOnce(c.functions, function, func(f *functionRecord) {
		f.queue = cloneElements(f.queue, c.request)
		f.replicas = cloneElements(f.replicas, c.replica)
		f.rendezvous.workers = cloneElements(f.rendezvous.workers, c.worker)
		f.preferred.workers = cloneElements(f.preferred.workers, c.worker)
	})
}

func (c *cloner) replica(replica *replicaRecord) *replicaRecord {
	return cloneOnce(c.replicas, replica, func(r *replicaRecord) {
		r.worker = c.worker(r.worker)
		r.function = c.function(r.function)
	})
}

func (c *cloner) request(request *requestRecord) *requestRecord {
	return cloneOnce(c.requests, request, func(r *requestRecord) {
		r.class = &c.settings.Classes[r.Class]
		r.function = c.function(r.function)
		r.replica = c.replica(r.replica)
	})
}

// cloneElements copies a slice of records.
func cloneElements[T any](list []*T, clone func(*T) *T) []*T {
	out := make([]*T, len(list))
	for i, x := range list {
		out[i] = clone(x)
	}
	return out
}

// cloneValues copies a map of records.
func cloneValues[K comparable, T any](table map[K]*T, clone func(*T) *T) map[K]*T {
	out := make(map[K]*T, len(table))
	for key, x := range table {
		out[key] = clone(x)
	}
	return out
}

// cloneOnce returns the copy of x. On the first call for x it makes the copy and calls fill to copy what x refers to.
func cloneOnce[T any](done map[*T]*T, x *T, fill func(*T)) *T {
	if x == nil {
		return nil
	}
	y := done[x]
	if y == nil {
		y = new(T)
		*y = *x
		done[x] = y
		fill(y)
	}
	return y
}
