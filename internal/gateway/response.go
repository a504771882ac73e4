package gateway

import (
	"time"

	"havencart/internal/workerconn"
)

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of final responses.
const (
	Served   ResponseKind = iota + 1 // the response of a worker
	Rejected                         // the request did not execute, or repeating it is harmless: a retry is safe
	Failed                           // the request may have executed: a retry may not be safe
)

// String returns the name of the kind that clients receive.
func (k ResponseKind) String() string { return [...]string{"none", "served", "refused", "failed"}[k] }

// FinalResponse is the only final response of a request.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     string               // human-readable text, if Kind is Rejected or Failed
	RetryAfter time.Duration        // how long to wait before a retry, if Kind is Rejected; 0 if unspecified
	TimedOut   bool                 // whether the worker did not respond in time, if Kind is Failed
	Response   *workerconn.Response // the worker's response, if Kind is Served
	Worker     string               // name of the worker, if Kind is Served
	Attempts   int                  // number of attempts made for the request
}
