package rpcserver

import (
	"errors"
	"time"
)

// ErrProtocol is wrapped by errors about requests that break the protocol or are outside the Rules.
var ErrProtocol = errors.New("request breaks the protocol")

// Request is one request of a client, checked against the Rules.
type Request struct {
	ID             string // 16 hexadecimal digits
	Class          int    // index in Rules.Classes
	Tenant         int    // index in Rules.Tenants
	Function       string // 16 hexadecimal digits
	IdempotencyKey string // empty without one
	Timeout        time.Duration
	MemoryMB       float64       // megabytes of one replica, 0 if unknown
	Concurrency    int           // requests that one replica executes at a time, 0 if unknown
	LoadTime       time.Duration // of a replica, 0 if unknown
	WorkEstimate   time.Duration // expected execution time, 0 if unknown
	Body           []byte
	ReceivedAt     time.Time // when its last byte was read
	ArrivedAfter   time.Time // its last byte arrived after that; the zero time if it may have arrived at any time
}

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of a final response.
const (
	Served   ResponseKind = iota + 1 // it was executed
	Rejected                         // it was not executed, so sending it again is harmless
	Failed                           // it may have been executed
)

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // of a served request
	RetryAfter time.Duration // of a rejected one: advice when to send it again, 0 for none
}

// Handler serves the requests of all connections. Its methods are called from many goroutines.
type Handler interface {
	// Handle starts a request. It must not block: the connection reads nothing meanwhile. The final response is passed
	// to respond, once, perhaps before Handle returns and from any goroutine. A request that breaks the protocol is
	// returned as an error, and respond is not called then.
	//
	// The connection calls cancel at most once, when the client cancelled the request or disconnected before the
	// response. A response that comes later is discarded.
	Handle(request *Request, respond func(Response)) (cancel func(), err error)
	// Ready reports what heartbeats are answered.
	Ready() bool
}
