package discovery

import (
	"maps"
	"slices"

	"havencart/scheduler"
)

// listComparer is a Sink that passes on the first list completely, and then only the changes from one list to the next,
// so that unchanged workers cost the receiver nothing, however long the list is. A source that receives complete lists
// wraps its sink in a listComparer.
type listComparer struct {
	Sink
	known   map[string]Worker // workers of the last list, by name
	hasList bool
}

// EndpointsListed implements Sink.
func (c *listComparer) EndpointsListed(list []Worker) {
	before := c.known
	c.known = make(map[string]Worker, len(list))
	for _, worker := range list {
		c.known[worker.Name] = worker
	}
	if !c.hasList {
		c.hasList = true
		c.Sink.EndpointsListed(list)
		return
	}
	c.EndpointsUpdated(c.changes(before, list))
}

// changes returns the workers of before that list lacks, in state Removed, and the workers of list that are new or
// changed.
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

// equal reports whether two entries have equal fields; Started is compared as an instant, regardless of its time zone.
func (w Worker) equal(other Worker) bool {
	isSameStart := w.Started.Equal(other.Started)
	w.Started = other.Started
	return isSameStart && w == other
}
