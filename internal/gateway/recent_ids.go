package gateway

import "sync"

// idsPerGeneration is the minimum number of identifiers of admitted requests that are remembered. At most twice as many
// are remembered, and the oldest are discarded first.
const idsPerGeneration = 4096

// recentIDs remembers the identifiers of the requests in flight and of those admitted most recently. Clients generate
// a new identifier for each request, so a known identifier means that a client has sent the same request again, for
// example as soon as it was rejected. Such requests would inflate the apparent demand. The exception is a request whose
// connection ended before the final response: its client sends it again on another connection. The methods may be
// called from any goroutine.
type recentIDs struct {
	mu       sync.Mutex
	inFlight map[string]bool    // bounded by Settings.MaxInFlight plus the event loop's queue
	current  map[string]idState // most recently admitted, at most idsPerGeneration
	previous map[string]idState // admitted before those in current, at most idsPerGeneration
}

// idState is what is known of the identifier of a request that is no longer in flight.
type idState uint8

const (
	idUsed      idState = iota // the request is in flight, or its client needs no further response
	idAbandoned                // the connection ended before the final response
)

// admit records an identifier and reports whether its request may be handled: whether the identifier is new, or resent,
// which means that the connection of its request ended before the final response.
func (r *recentIDs) admit(id string) (resent, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, known := r.find(id)
	resent = known && state == idAbandoned
	if r.inFlight[id] || known && !resent {
		return false, false
	}
	if r.inFlight == nil {
		r.inFlight = map[string]bool{}
	}
	r.inFlight[id] = true
	r.set(id, idUsed)
	return resent, true
}

// find returns the state of an identifier, and whether it is remembered.
func (r *recentIDs) find(id string) (state idState, known bool) {
	if state, known = r.current[id]; known {
		return state, true
	}
	state, known = r.previous[id]
	return state, known
}

// set remembers the state of an identifier as the most recent one.
func (r *recentIDs) set(id string, state idState) {
	if r.current == nil || len(r.current) >= idsPerGeneration {
		r.previous = r.current
		r.current = make(map[string]idState, idsPerGeneration)
	}
	r.current[id] = state
}

// release records that a request is no longer in flight, and whether its client may send it again.
func (r *recentIDs) release(id string, mayBeResent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, id)
	if mayBeResent {
		r.set(id, idAbandoned)
	}
}
