package muxframe

import "time"

// Status is the result of an attempt, a load order or a health check.
type Status uint8

// The values of Status. StatusError is the only failure after which an attempt may have been executed.
const (
	StatusOK         Status = iota + 1
	StatusError             // the attempt failed; it may have been executed
	StatusOverloaded        // rejected, not executed: no free concurrency or memory, or the worker is draining
	StatusNotLoaded         // not executed: the function is not loaded at this worker and no load is in progress
)

// ColdStart tells whether a request had to wait for a replica to be loaded.
type ColdStart uint8

// The values of ColdStart. A worker that does not report cold starts omits the field.
const (
	ColdStartUnknown   ColdStart = iota // not reported
	WarmStart                           // a replica was already loaded
	ColdStartTriggered                  // the request triggered a load
	ColdStartAwaited                    // the request waited for a load triggered by an earlier request or load order
	ColdStartFailed                     // the load failed
)

// Hello is the header of HELLO, the first frame of a connection.
type Hello struct {
	Version  int      `cbor:"1,keyasint"`
	FrontEnd string   `cbor:"2,keyasint"` // name of the front end, for the worker's log records
	Features []string `cbor:"3,keyasint,omitempty"`
}

// Welcome is the header of WELCOME, the response to HELLO. A worker that rejects the connection, for example because it
// does not implement the protocol version, sets RejectionReason and closes the connection.
type Welcome struct {
	Version          int      `cbor:"1,keyasint"`
	Worker           string   `cbor:"2,keyasint"`           // name of the worker in the endpoint list
	Incarnation      uint64   `cbor:"3,keyasint"`           // differs between any two starts of the worker
	UptimeMillis     int64    `cbor:"4,keyasint"`           // ms since the process started, by its monotonic clock
	LoadReportFields []string `cbor:"5,keyasint,omitempty"` // names of the values in a load report
	Features         []string `cbor:"6,keyasint,omitempty"`
	RejectionReason  string   `cbor:"7,keyasint,omitempty"` // reason for rejecting the connection; else empty
}

// ReplicaSpec describes a replica of a function.
type ReplicaSpec struct {
	Function    string  `cbor:"1,keyasint"`
	MemoryMB    float64 `cbor:"2,keyasint"`
	Concurrency int     `cbor:"3,keyasint"`           // requests that the replica executes at a time
	LoadMillis  float64 `cbor:"4,keyasint,omitempty"` // typical load time in milliseconds; 0 if unknown
}

// LoadTime returns the typical load time, or 0 if it is unknown.
func (r ReplicaSpec) LoadTime() time.Duration {
	return time.Duration(r.LoadMillis * float64(time.Millisecond))
}

// Request is the header of REQUEST, which carries one attempt of a request. Workers that share the scope of an
// idempotency key execute requests with the same key once.
type Request struct {
	Replica        ReplicaSpec `cbor:"1,keyasint"`
	ID             string      `cbor:"2,keyasint"` // ID of the request, the same for all its attempts
	Attempt        int         `cbor:"3,keyasint"` // number of the attempt, starting at 0
	Class          string      `cbor:"4,keyasint"`
	Tenant         string      `cbor:"5,keyasint,omitempty"`
	IdempotencyKey string      `cbor:"6,keyasint,omitempty"`
	TimeoutMillis  int64       `cbor:"7,keyasint"` // milliseconds that the front end still waits for the response
	Window         uint32      `cbor:"8,keyasint"` // bytes of the response that may be sent before CREDIT is received
}

// Response is the header of RESPONSE. If More is set, the frame only starts the response, and DATA frames and one END
// follow.
type Response struct {
	Status        Status    `cbor:"1,keyasint"`
	More          bool      `cbor:"2,keyasint,omitempty"`
	ColdStart     ColdStart `cbor:"3,keyasint,omitempty"`
	QueueDepth    *int      `cbor:"4,keyasint,omitempty"` // queue depth of the function on arrival; nil if not reported
	LoadReport    []float64 `cbor:"5,keyasint,omitempty"` // values in the order of Welcome.LoadReportFields
	ContentType   string    `cbor:"6,keyasint,omitempty"` // content type of the body
	Length        int64     `cbor:"7,keyasint,omitempty"` // bytes of the complete body if More is set; 0 if unknown
	FailureReason string    `cbor:"8,keyasint,omitempty"` // human-readable description of a failure
	RunMillis     float64   `cbor:"9,keyasint,omitempty"` // execution time in ms, without queue delay; 0 if not reported
}

// End is the header of END.
type End struct {
	Error string `cbor:"1,keyasint,omitempty"` // reason why the response is incomplete; empty if it is complete
}

// Credit is the header of CREDIT.
type Credit struct {
	Bytes uint32 `cbor:"1,keyasint"` // number of further bytes of the response that the worker may send
}

// LoadOrder is the header of LOAD_ORDER, which asks the worker to have at least the given number of replicas loaded. A
// load order of 0 replicas is a residency query: the worker loads nothing and reports how many replicas are loaded.
type LoadOrder struct {
	Replica  ReplicaSpec `cbor:"1,keyasint"`
	Replicas int         `cbor:"2,keyasint"`
}

// LoadResult is the header of LOAD_RESULT.
type LoadResult struct {
	Status   Status `cbor:"1,keyasint"`
	Replicas int    `cbor:"2,keyasint"` // replicas that are now loaded
}

// Unload is the header of UNLOAD.
type Unload struct {
	Function string `cbor:"1,keyasint"`
}

// HealthReport is the header of HEALTH_REPORT.
type HealthReport struct {
	Status     Status    `cbor:"1,keyasint"`
	LoadReport []float64 `cbor:"2,keyasint,omitempty"` // values in the order of Welcome.LoadReportFields
}
