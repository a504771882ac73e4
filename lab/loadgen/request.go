// Package loadgen generates the requests of clients: arrival times, mixes of functions, timeouts and retries. It reads
// no clock and draws from a seeded generator, so that the same requests can be sent in real and in virtual time.
package loadgen

import "time"

// Request is a client's request.
type Request struct {
	ID, Function, Class, Tenant string
	IdempotencyKey              string
	Timeout                     time.Duration // client's timeout
	Work                        time.Duration // work of the request at the worker
	ResponseBytes               int           // size of the response's body
	PaddingBytes                int           // bytes added to the request's body
	MemoryMB                    float64       // memory of each replica
	Concurrency                 int           // concurrency of each replica
	LoadTime                    time.Duration // time to load a replica
	DisconnectAfter             time.Duration // time after which the client closes the connection; 0 means never
	RetryPolicy                 RetryPolicy
	Retries                     int // maximum number of retries
}

// RetryPolicy is a client's retry policy. Its values are the words that experiment files use. The policies apply to
// requests that were rejected or for which the front end was unreachable. Only RetryAlways also retries other failures.
type RetryPolicy string

// The retry policies.
const (
	RetryNever       RetryPolicy = "never"
	RetryAtOnce      RetryPolicy = "at-once" // retries immediately, whatever delay the response advises
	RetryWithBackoff RetryPolicy = "wait"    // retries with an exponential backoff, whatever delay the response advises
	RetryAsAdvised   RetryPolicy = "advised" // retries after the delay that the response advises
	// RetryAlways retries immediately, even after a failure that may have executed; it makes retry storms.
	RetryAlways RetryPolicy = "impolite"
)

// Outcomes of a request that decide about a retry.
const (
	outcomeServed      = "served"
	outcomeRejected    = "refused"
	outcomeUnreachable = "unreachable"
)

// The backoff of RetryWithBackoff starts at firstBackoff and doubles with each retry, up to maxBackoffDoublings times.
const (
	firstBackoff        = 50 * time.Millisecond
	maxBackoffDoublings = 6
)

// Retry reports whether the client retries after an attempt with the given outcome, and how long it waits before that.
// Attempts are counted from 0. retryAfter is the delay that the response advised.
func (r *Request) Retry(attempt int, outcome string, retryAfter time.Duration) (wait time.Duration, retry bool) {
	if attempt >= r.Retries || outcome == outcomeServed {
		return 0, false
	}
	if outcome != outcomeRejected && outcome != outcomeUnreachable {
		return 0, r.RetryPolicy == RetryAlways
	}
	switch r.RetryPolicy {
	case RetryAtOnce, RetryAlways:
		return 0, true
	case RetryWithBackoff:
		return firstBackoff << min(attempt, maxBackoffDoublings), true
	case RetryAsAdvised:
		return retryAfter, true
	}
	return 0, false
}
