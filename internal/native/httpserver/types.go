// Package httpserver is the clients' edge: POST /call/FUNCTION over HTTP/1.1, requests parsed by the standard
// library. It knows nothing of workers: a Handler takes each call and gives its final answer. docs/running.md
// lists the headers.
package httpserver

import (
	"context"
	"time"
)

// Call is one call as a client made it.
type Request struct {
	Function       string
	Class          string // empty: the function's own
	Tenant         string
	IdempotencyKey string        // Idempotency-Key
	ID             string        // the client's name for the call, for records
	Timeout        time.Duration // 0: the class's
	WorkEstimate   time.Duration // rough work, 0 if not told
	MemoryMB       float64       // of one loaded copy, 0 if not told
	Concurrency    int           // 0 if not told
	LoadTime       time.Duration // usual time of a load, 0 if not told
	Body           []byte
	ReceivedAt     time.Time // when its first byte was seen
}

// Outcome is the kind of a final answer.
type Outcome string

// The outcomes, as the header Call-Outcome tells them.
const (
	Served   Outcome = "served"
	Rejected Outcome = "refused" // a repeat does no harm
	Failed   Outcome = "failed"  // no promise
	Invalid  Outcome = "invalid" // the call was none: it never ran, and a repeat is as useless
)

// Answer is the final answer of a call.
type Response struct {
	Outcome     Outcome
	Reason      string
	RetryAfter  time.Duration // with Refused; 0 is no advice
	TimedOut    bool          // with Failed
	ContentType string        // content type, with Served
	Body        []byte
	Stream      Stream // in place of Body
	Length      int64  // of Stream, -1 if not known
	Worker      string
	Attempts    int
	ID          string // the call's, empty where there was none
}

// Stream is an answer that comes in parts: nil and no error at its end.
type Stream interface {
	Next(ctx context.Context, stall time.Duration) ([]byte, error)
}

// Pending is a call that was taken.
type Pending interface {
	// Wait returns the final answer, or false if gone is closed before it.
	Wait(gone <-chan struct{}) (Response, bool)
	// Leave tells that the client is gone, or that its answer could not be sent to the end.
	Leave()
}

// Handler takes calls. Where a call is none, for a class that does not exist say, it says why.
type Handler interface {
	Take(c *Request) (Pending, error)
}

// Config bounds what clients may do. All times and sizes are above 0.
type Config struct {
	Idle       time.Duration // a connection without a call is closed after this
	Header     time.Duration // from the first byte of a call to the end of its header
	Body       time.Duration // to the end of its body
	Write      time.Duration // for each part of an answer
	Stall      time.Duration // a worker's answer that stands still for so long is given up
	MaxHeader  int           // bytes
	MaxBody    int           // bytes
	Pipeline   int           // calls of one connection in hand; further ones are not read
	MaxConns   int           // connections; further ones are answered 503 and closed
	KeepHalves bool          // a client that closed its side for writing still waits for its answers
}
