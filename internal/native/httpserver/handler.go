package httpserver

import (
	"context"
	"time"
)

// Request is one request of a client, read whole.
type Request struct {
	Function       string        // its name, unescaped
	Class          string        // empty: the function's own
	Tenant         string        // empty: none
	IdempotencyKey string        // empty: none
	ID             string        // the client's own name for the request, for records
	Timeout        time.Duration // how long the client waits for the response, 0: the class's
	WorkEstimate   time.Duration // expected execution time, 0 if unknown
	MemoryMB       float64       // megabytes of one replica, 0 if unknown
	Concurrency    int           // requests that one replica executes at a time, 0 if unknown
	LoadTime       time.Duration // of a replica, 0 if unknown
	Body           []byte
	ReceivedAt     time.Time // when its first byte was received
}

// Outcome is the kind of a final response.
type Outcome string

// The outcomes, as the header Call-Outcome and problem details name them.
const (
	Served   Outcome = "served"
	Rejected Outcome = "refused" // it was not executed, so sending it again is harmless
	Failed   Outcome = "failed"  // it may have been executed
	Invalid  Outcome = "invalid" // it was not executed and never will be, so sending it again is useless
)

// Response is the final response to a request.
type Response struct {
	Outcome     Outcome
	Reason      string        // for people, unless it was served
	RetryAfter  time.Duration // of a rejected request: advice when to send it again, 0 for none
	TimedOut    bool          // a failed request had no response in time
	ContentType string        // of a served one, may be empty
	Body        []byte        // of a served one, unless Stream is set
	Stream      Stream        // of a served one, in place of Body
	Length      int64         // bytes of Stream, -1 if unknown
	Worker      string        // name of the worker that served it
	Attempts    int           // how often it was sent to a worker
	ID          string        // the Request's, empty if that had none
}

// Stream is a response body that is received in parts.
type Stream interface {
	// Next returns the next part, and nil without an error at the end. It waits at most stall, and no longer than ctx.
	// The connection's writing goroutine calls it.
	Next(ctx context.Context, stall time.Duration) ([]byte, error)
}

// Pending is a request that a Handler accepted. Its methods are called from the connection's writing goroutine.
type Pending interface {
	// Wait returns the final response, or false if gone, which says that the client disconnected, is closed before.
	Wait(gone <-chan struct{}) (Response, bool)
	// Cancel says that the client disconnected, or that the response could not be sent to its end. It may be called
	// after Wait returned a response.
	Cancel()
}

// Handler accepts the requests of a connection.
type Handler interface {
	// Handle starts a request. An error says that it is invalid, as one of an unknown class, and why: its text is sent
	// to the client. The connection's reading goroutine calls it and reads nothing meanwhile.
	Handle(request *Request) (Pending, error)
}
