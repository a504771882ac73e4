package gateway

import "sync"

// idsPerGeneration is how many identifiers of admitted requests are remembered at least; twice as many at most, and
// the oldest are forgotten first.
const idsPerGeneration = 4096

// recentIDs knows the identifiers of the requests in flight, and of those admitted last. Clients make a new one for
// each request. It guards against clients that send the same request again as soon as it is rejected, whose requests
// would count as demand. A client whose request was received whole on a connection that was then closed, and that
// sends it anew, would be harmed by it. Its methods may be called from any goroutine.
type recentIDs struct {
	mu       sync.Mutex
	inFlight map[string]bool // bounded by Settings.MaxInFlight and the event loop's queue
	current  map[string]bool // admitted last, bounded by idsPerGeneration
	previous map[string]bool // admitted before those of current, bounded likewise
}

// admit notes an identifier and reports whether it is new.
func (r *recentIDs) admit(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known(id) {
		return false
	}
	if r.inFlight == nil {
		r.inFlight = map[string]bool{}
	}
	if r.current == nil || len(r.current) >= idsPerGeneration {
		r.previous = r.current
		r.current = make(map[string]bool, idsPerGeneration)
	}
	r.inFlight[id] = true
	r.current[id] = true
	return true
}

// known reports whether an identifier is remembered.
func (r *recentIDs) known(id string) bool { return r.inFlight[id] || r.current[id] || r.previous[id] }

// release notes that a request is no longer in flight.
func (r *recentIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, id)
}
