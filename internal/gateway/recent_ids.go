package gateway

import "sync"

// idsKept is how many ids of calls that were taken are remembered at least; twice as many at most, and the oldest are
// forgotten first.
const idsPerGeneration = 4096

// ids knows the ids of the calls in hand, and of those taken last. Clients make a new one for each request; one that
// comes again is not asked by a client that keeps to the protocol. It guards against clients that send the same
// again as soon as it is turned away, whose calls would count as demand. It would harm a client whose request came
// whole on a connection that was closed on it, and that sends it anew.
type recentIDs struct {
	mu                sync.Mutex
	inFlight          map[string]bool // bounded by MaxCalls of the Front and the loop's queue
	current, previous map[string]bool // taken last, bounded by idsKept each
}

// take notes an id, and says whether it is new.
func (x *recentIDs) admit(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[id] || x.current[id] || x.previous[id] {
		return false
	}
	if x.inFlight == nil {
		x.inFlight = map[string]bool{}
	}
	if x.current == nil || len(x.current) >= idsPerGeneration {
		x.current, x.previous = make(map[string]bool, idsPerGeneration), x.current
	}
	x.inFlight[id], x.current[id] = true, true
	return true
}

// end notes that a call is in hand no longer.
func (x *recentIDs) release(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, id)
}
