// Package loadgen decides what clients ask for and when: arrivals, mixes of functions, timeouts and retries. It is pure
// and seeded, so that the same clients run in real and in virtual time.
package loadgen

import "time"

// Request is a client's request.
type Request struct {
	ID, Function, Class, Tenant string
	IdempotencyKey              string
	Timeout                     time.Duration // of the client
	Work                        time.Duration // that the worker is to do
	ResponseBytes               int           // that the worker is to respond with
	PaddingBytes                int           // added to the request's body
	MemoryMB                    float64       // of a replica
	Concurrency                 int           // of a replica
	LoadTime                    time.Duration // of a replica
	DisconnectAfter             time.Duration // the client closes the connection then; 0: it does not
	RetryPolicy                 RetryPolicy
	Retries                     int // at most
}

// RetryPolicy is a client's retry policy. Its values are the words of experiment files.
type RetryPolicy string

// The retry policies.
const (
	RetryNever       RetryPolicy = "never"
	RetryAtOnce      RetryPolicy = "at-once"  // retries a rejected request at once, whatever it was advised
	RetryWithBackoff RetryPolicy = "wait"     // retries a rejected request with a backoff of its own
	RetryAsAdvised   RetryPolicy = "advised"  // retries a rejected request when it is advised to
	RetryAlways      RetryPolicy = "impolite" // retries at once, also after failures that may have executed; for retry storms
)

// Outcomes of a request that a retry depends on.
const (
	outcomeServed      = "served"
	outcomeRejected    = "refused"
	outcomeUnreachable = "unreachable"
)

// The backoff of Wait doubles from firstBackoff on, maxBackoffDoublings times at most.
const (
	firstBackoff        = 50 * time.Millisecond
	maxBackoffDoublings = 6
)

// Retry reports whether a client retries after an attempt, from 0, with an outcome, and after which wait. retryAfter
// is what the response advised.
func (c *Request) Retry(attempt int, outcome string, retryAfter time.Duration) (wait time.Duration, retry bool) {
	if attempt >= c.Retries || outcome == outcomeServed {
		return 0, false
	}
	if outcome != outcomeRejected && outcome != outcomeUnreachable {
		return 0, c.RetryPolicy == RetryAlways
	}
	switch c.RetryPolicy {
	case RetryAtOnce, RetryAlways:
		return 0, true
	case RetryWithBackoff:
		return firstBackoff << min(attempt, maxBackoffDoublings), true
	case RetryAsAdvised:
		return retryAfter, true
	}
	return 0, false
}
