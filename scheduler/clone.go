package scheduler

import (
	"maps"
	"slices"
)

// This file copies a Controller; it decides nothing.

// cloner remembers what it has copied, so that what was one thing stays one.
type cloner struct {
	set       *Settings
	workers   map[*worker]*worker
	functions map[*function]*function
	replicas  map[*replica]*replica
	requests  map[*request]*request
}

// Clone returns a Controller that remembers all that c does and shares nothing with it. It goes on by set, whose
// classes and tenants must be as many, and asks its actions of a.
func (c *Scheduler) Clone(set Settings, a Actions) *Scheduler {
	d := *c
	d.set, d.act = set, a
	if set.ScaleIsCapacity != c.set.ScaleIsCapacity {
		d.epoch++ // ranks are made anew
	}
	k := &cloner{&d.set, map[*worker]*worker{}, map[*function]*function{}, map[*replica]*replica{}, map[*request]*request{}}
	d.list, d.active = each(c.list, k.worker), each(c.active, k.function)
	d.workers, d.functions, d.requests = values(c.workers, k.worker), values(c.functions, k.function), values(c.requests, k.request)
	d.orders = maps.Clone(c.orders)
	d.runs, d.quietRun, d.quietAt = slices.Clone(c.runs), slices.Clone(c.quietRun), slices.Clone(c.quietAt)
	d.loadTimes, d.arrivals = slices.Clone(c.loadTimes), slices.Clone(c.arrivals)
	d.taken, d.over = slices.Clone(c.taken), slices.Clone(c.over)
	return &d
}

func each[T any](list []*T, copy func(*T) *T) []*T {
	out := make([]*T, len(list))
	for i, x := range list {
		out[i] = copy(x)
	}
	return out
}

func values[K comparable, T any](table map[K]*T, copy func(*T) *T) map[K]*T {
	out := make(map[K]*T, len(table))
	for key, x := range table {
		out[key] = copy(x)
	}
	return out
}

// once copies x and, where it was not copied before, what it holds.
func once[T any](done map[*T]*T, x *T, fill func(*T)) *T {
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

func (k *cloner) worker(w *worker) *worker {
	return once(k.workers, w, func(w *worker) {
		w.out, w.sends = each(w.out, k.request), slices.Clone(w.sends)
		w.runs, w.health = slices.Clone(w.runs), slices.Clone(w.health)
	})
}

func (k *cloner) function(f *function) *function {
	return once(k.functions, f, func(f *function) {
		f.held, f.replicas, f.order = each(f.held, k.request), each(f.replicas, k.replica), each(f.order, k.worker)
	})
}

func (k *cloner) replica(p *replica) *replica {
	return once(k.replicas, p, func(p *replica) { p.w, p.f = k.worker(p.w), k.function(p.f) })
}

func (k *cloner) request(r *request) *request {
	return once(k.requests, r, func(r *request) {
		r.class, r.f, r.at = &k.set.Classes[r.Class], k.function(r.f), k.replica(r.at)
	})
}
