package gateway

import (
	"strconv"
	"sync"
)

const (
	// idsPerGeneration is how many identifiers of requests that may have executed are remembered at least. At most twice
	// as many are remembered, and the oldest are forgotten first.
	idsPerGeneration = 16 << 10
	// rejectedIDsPerGeneration is the same for requests of which nothing has executed.
	rejectedIDsPerGeneration = 4 << 10
)

// recentIDs remembers the identifiers of the requests in flight and of those that ended most recently. Clients generate
// a new identifier for each request, so a known identifier means that a client has sent the same request again, for
// example as soon as it was rejected. Such requests would inflate the apparent demand. The exception is a request whose
// connection ended before the final response: its client sends it again on another connection.
//
// Requests that may have executed are remembered apart from those that were rejected, so that a flood of rejected
// requests does not make the front end forget what must not execute again. The methods may be called from any goroutine.
// The zero value is ready to use.
type recentIDs struct {
	mu       sync.Mutex
	inFlight map[uint64]bool // bounded by Settings.MaxInFlight plus the event loop's queue
	executed idTable         // outcomes idExecuted and idAbandoned
	rejected idTable         // outcome idRejected
}

// idOutcome is how a request ended.
type idOutcome uint8

const (
	idRejected  idOutcome = iota + 1 // nothing has executed, and the client has the final response
	idExecuted                       // it may have executed, and its client needs no further response
	idAbandoned                      // it may have executed, and its connection ended before the final response
)

// idTable holds the outcomes of the requests that were added most recently.
type idTable struct{ current, previous map[uint64]idOutcome }

// find returns the outcome of a request, and whether it is remembered.
func (t *idTable) find(id uint64) (outcome idOutcome, known bool) {
	if outcome, known = t.current[id]; known {
		return outcome, true
	}
	outcome, known = t.previous[id]
	return outcome, known
}

// add remembers an outcome as the most recent one. It keeps at least that many others, and at most twice as many.
func (t *idTable) add(id uint64, outcome idOutcome, perGeneration int) {
	if t.current == nil || len(t.current) >= perGeneration {
		t.previous = t.current
		t.current = map[uint64]idOutcome{}
	}
	t.current[id] = outcome
}

// parseID converts a request's identifier, which consists of hexadecimal digits, to a number.
func parseID(id string) (uint64, error) { return strconv.ParseUint(id, 16, 64) }

// admit records that a request is in flight and reports whether it may be handled: whether its identifier is new, or
// resent, which means that the connection of the request ended before the final response.
func (r *recentIDs) admit(id string) (resent, ok bool) {
	number, err := parseID(id)
	if err != nil {
		return false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome, known := r.find(number)
	resent = outcome == idAbandoned
	if r.inFlight[number] || known && !resent {
		return false, false
	}
	if r.inFlight == nil {
		r.inFlight = map[uint64]bool{}
	}
	r.inFlight[number] = true
	return resent, true
}

// find returns the outcome of a request, and whether it is remembered.
func (r *recentIDs) find(id uint64) (outcome idOutcome, known bool) {
	if outcome, known = r.executed.find(id); known {
		return outcome, true
	}
	return r.rejected.find(id)
}

// release records that an admitted request is no longer in flight, and how it ended. A request that was sent again and
// rejected may have executed before.
func (r *recentIDs) release(id string, outcome idOutcome) {
	number, err := parseID(id)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, number)
	_, mayHaveExecuted := r.executed.find(number)
	switch {
	case outcome != idRejected:
		r.executed.add(number, outcome, idsPerGeneration)
	case mayHaveExecuted:
		r.executed.add(number, idExecuted, idsPerGeneration)
	default:
		r.rejected.add(number, idRejected, rejectedIDsPerGeneration)
	}
}
