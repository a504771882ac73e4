package rpcserver

import (
	"errors"
	"time"

	"havencart/internal/memorybudget"
)

// ErrProtocol is wrapped by errors about requests that violate the protocol or do not conform to the Rules.
var ErrProtocol = errors.New("request breaks the protocol")

// Request is a client's request that conforms to the Rules.
type Request struct {
	ID             string // 16 hexadecimal digits
	Class          int    // index in Rules.Classes
	Tenant         int    // index in Rules.Tenants
	Function       string // 16 hexadecimal digits
	IdempotencyKey string // empty if the request has none
	Timeout        time.Duration
	MemoryMB       float64       // memory of a replica in megabytes, 0 if unknown
	Concurrency    int           // number of requests that a replica executes at a time, 0 if unknown
	LoadTime       time.Duration // time to load a replica, 0 if unknown
	WorkEstimate   time.Duration // expected execution time of this request, 0 if unknown
	Body           []byte        // nil if Memory is nil
	// Memory is the reservation for the request, which the Handler releases when the request no longer takes memory. It is
	// nil if there is no memory for the request, which the Handler must reject.
	Memory       *memorybudget.Reservation
	ReceivedAt   time.Time // when the last byte of the request was read
	ArrivedAfter time.Time // lower bound of the time at which the last byte arrived; zero if unknown
}

// ResponseKind is the outcome that a final response reports.
type ResponseKind int

// The kinds of final responses.
const (
	Served   ResponseKind = iota + 1 // the request was executed
	Rejected                         // the request was not executed, so it is safe to send it again
	Failed                           // the request may have been executed
)

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // result of a served request
	RetryAfter time.Duration // advised delay before a rejected request is sent again, 0 for no advice
}

// CancelCause is why a request is cancelled.
type CancelCause int

// The causes.
const (
	CancelledByClient CancelCause = iota + 1 // the client no longer wants a response
	ConnectionEnded                          // the client may send the request again on another connection
)

// Handler handles the requests of all connections. Its methods must be safe for concurrent use.
type Handler interface {
	// Handle starts a request. It must not block, because the connection reads no other message until Handle returns.
	// The Handler passes the final response to respond, once. It may call respond from any goroutine, also before
	// Handle returns. If the request violates the protocol, Handle returns an error, respond must not be called, and
	// Request.Memory remains with the connection.
	//
	// The connection calls cancel at most once, if the client cancels the request or disconnects before the response. A
	// response that is passed to respond after that is discarded.
	Handle(request *Request, respond func(Response)) (cancel func(CancelCause), err error)
	// Ready reports whether the server is ready to accept requests. The server calls it to respond to heartbeats.
	Ready() bool
}
