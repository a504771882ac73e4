package discovery

import (
	"maps"
	"slices"

	"havencart/scheduler"
)

// listComparer is a Sink that passes the first whole list on, and of each later one the changes only: what is as it was
// costs the reader nothing, however long the list. A source that is given whole lists puts it before its sink.
type listComparer struct {
	Sink
	known   map[string]Worker // by name, of the last list
	hasList bool
}

// EndpointsChanged implements Sink.
func (c *listComparer) EndpointsChanged(list []Worker) {
	before := c.known
	c.known = make(map[string]Worker, len(list))
	for _, worker := range list {
		c.known[worker.Name] = worker
	}
	if !c.hasList {
		c.hasList = true
		c.Sink.EndpointsChanged(list)
		return
	}
	c.EndpointsUpdated(c.changes(before, list))
}

// changes returns the workers of a list that were not as they are, and those that it lacks as removed.
func (c *listComparer) changes(before map[string]Worker, list []Worker) (changed []Worker) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, isListed := c.known[name]; !isListed {
			worker := before[name]
			worker.State = scheduler.Removed
			changed = append(changed, worker)
		}
	}
	for _, worker := range list {
		if known, wasListed := before[worker.Name]; !wasListed || !known.equal(worker) {
			changed = append(changed, worker)
		}
	}
	return changed
}

// equal reports whether two entries say the same.
func (w Worker) equal(other Worker) bool {
	isSameStart := w.Started.Equal(other.Started)
	w.Started = other.Started
	return isSameStart && w == other
}
