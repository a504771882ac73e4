package httpserver

import (
	"context"
	"time"
)

// Request is a client's request with its complete body.
type Request struct {
	Function       string        // function name, unescaped
	Class          string        // class name; empty selects the class of the function
	Tenant         string        // tenant name; empty if the request has no tenant
	IdempotencyKey string        // idempotency key; empty if the request has none
	ID             string        // request ID chosen by the client, for log records
	Timeout        time.Duration // how long the client waits for the response; 0 selects the timeout of the class
	WorkEstimate   time.Duration // expected execution time; 0 if unknown
	MemoryMB       float64       // memory of one replica in megabytes; 0 if unknown
	Concurrency    int           // requests that one replica executes at a time; 0 if unknown
	LoadTime       time.Duration // expected time to load a replica; 0 if unknown
	Body           []byte
	ReceivedAt     time.Time // time when the first byte of the request was received
}

// Outcome is the kind of a final response.
type Outcome string

// The outcomes, with the values used in the Call-Outcome header and in problem details.
const (
	Served   Outcome = "served"  // a worker executed the request
	Rejected Outcome = "refused" // the request was not executed and can safely be retried
	Failed   Outcome = "failed"  // the request may have been executed
	Invalid  Outcome = "invalid" // the request was not executed; a retry of the same request cannot succeed
)

// Response is the final response to a request.
type Response struct {
	Outcome     Outcome
	Reason      string        // human-readable reason; not used if Outcome is Served
	RetryAfter  time.Duration // delay advised before a retry if Outcome is Rejected; 0 for no advice
	TimedOut    bool          // whether the request timed out, if Outcome is Failed
	ContentType string        // content type of a served response; may be empty
	Body        []byte        // body of a served response, unless Stream is set
	Stream      Stream        // body of a served response that is received in parts; replaces Body
	Length      int64         // length of Stream in bytes; -1 if unknown
	Worker      string        // name of the worker that served the request
	Attempts    int           // number of attempts that were sent to workers
	ID          string        // ID of the Request; may be empty
}

// Stream is a response body that is received in parts.
type Stream interface {
	// Next returns the next part, or nil without an error at the end of the body. It waits at most stall for the part,
	// and stops waiting when ctx is done. It is called from the connection's writing goroutine.
	Next(ctx context.Context, stall time.Duration) ([]byte, error)
}

// Pending is a request that a Handler accepted. Its methods are called from the connection's writing goroutine.
type Pending interface {
	// Wait returns the final response and true. It returns false if disconnected is closed first, which means that the
	// client has disconnected.
	Wait(disconnected <-chan struct{}) (Response, bool)
	// Cancel cancels the request because the client disconnected or the response could not be sent completely. It may
	// be called after Wait has returned a response.
	Cancel()
}

// Handler accepts the requests of a connection.
type Handler interface {
	// Handle starts processing a request. It returns an error if the request is invalid, for example because its class
	// is unknown; the text of the error is sent to the client. Handle is called from the connection's reading
	// goroutine, so no further request is read until it returns.
	Handle(request *Request) (Pending, error)
}
