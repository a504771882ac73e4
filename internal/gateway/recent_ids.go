package gateway

import "sync"

// idsPerGeneration is the minimum number of identifiers of admitted requests that are remembered. At most twice as many
// are remembered, and the oldest are discarded first.
const idsPerGeneration = 4096

// recentIDs remembers the identifiers of the requests in flight and of those admitted most recently. Clients generate
// a new identifier for each request, so a known identifier means that a client has sent the same request again, for
// example as soon as it was rejected. Such requests would inflate the apparent demand. The drawback is that a client
// whose connection was closed after a complete request had been received cannot send that request again. The methods
// may be called from any goroutine.
type recentIDs struct {
	mu       sync.Mutex
	inFlight map[string]bool // bounded by Settings.MaxInFlight plus the event loop's queue
	current  map[string]bool // most recently admitted, at most idsPerGeneration
	previous map[string]bool // admitted before those in current, at most idsPerGeneration
}

// admit records an identifier and reports whether it is new.
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

// release records that a request is no longer in flight.
func (r *recentIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, id)
}
