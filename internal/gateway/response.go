package gateway

import (
	"time"

	"havencart/internal/workerconn"
)

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of final responses.
const (
	Served   ResponseKind = iota + 1 // a worker's response
	Rejected                         // with a promise: the request did not execute, or repeating it does no harm
	Failed                           // no promise: the request may have executed
)

// String returns the kind as clients read it.
func (k ResponseKind) String() string { return [...]string{"none", "served", "refused", "failed"}[k] }

// FinalResponse is the one final response of a request.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     string               // for people; with Rejected and Failed
	RetryAfter time.Duration        // when to retry, with Rejected; 0: no advice
	TimedOut   bool                 // with Failed: no response was received in time
	Response   *workerconn.Response // with Served
	Worker     string               // name of the worker, with Served
	Attempts   int                  // attempts sent for the request
}
