package muxframe

import "time"

// Status is the result of an attempt, a load order or a health check.
type Status uint8

// The statuses. Of the failures, only StatusError may stand for an attempt that was executed.
const (
	StatusOK         Status = iota + 1
	StatusError             // failed; it may have been executed
	StatusOverloaded        // rejected without being executed: no concurrency, no memory, or the worker drains
	StatusNotLoaded         // the function is not loaded here and no load is in progress; it was not executed
)

// ColdStart tells whether a request had to wait for the load of a replica.
type ColdStart uint8

// The values of ColdStart. A worker that does not report it leaves it out.
const (
	ColdStartUnknown   ColdStart = iota // not reported
	WarmStart                           // a replica was loaded
	ColdStartTriggered                  // the request triggered a load
	ColdStartAwaited                    // the request waited for a load that had been triggered before
	ColdStartFailed                     // the load failed
)

// Hello is the header of HELLO, the first frame of a connection.
type Hello struct {
	Version  int      `cbor:"1,keyasint"`
	FrontEnd string   `cbor:"2,keyasint"` // name of the front end, for the worker's records
	Features []string `cbor:"3,keyasint,omitempty"`
}

// Welcome is the header of WELCOME. A worker that rejects the connection, for example because it does not implement the
// version, sets Rejection and closes the connection.
type Welcome struct {
	Version          int      `cbor:"1,keyasint"`
	Worker           string   `cbor:"2,keyasint"`           // its name in the list of workers
	Incarnation      uint64   `cbor:"3,keyasint"`           // differs between two starts of the worker
	UptimeMillis     int64    `cbor:"4,keyasint"`           // since its process started, by its own monotonic clock
	LoadReportFields []string `cbor:"5,keyasint,omitempty"` // names of the values of a load report
	Features         []string `cbor:"6,keyasint,omitempty"`
	Rejection        string   `cbor:"7,keyasint,omitempty"` // why the connection is rejected, empty if it is not
}

// ReplicaSpec describes a replica of a function.
type ReplicaSpec struct {
	Function    string  `cbor:"1,keyasint"`
	MemoryMB    float64 `cbor:"2,keyasint"`
	Concurrency int     `cbor:"3,keyasint"`           // requests that it executes at a time
	LoadMillis  float64 `cbor:"4,keyasint,omitempty"` // typical time of a load in milliseconds, 0 if unknown
}

// LoadTime returns the typical time of a load, 0 if unknown.
func (r ReplicaSpec) LoadTime() time.Duration {
	return time.Duration(r.LoadMillis * float64(time.Millisecond))
}

// Request is the header of REQUEST: one attempt of a request.
type Request struct {
	Replica        ReplicaSpec `cbor:"1,keyasint"`
	ID             string      `cbor:"2,keyasint"` // the same for all attempts of a request
	Attempt        int         `cbor:"3,keyasint"` // 0 for the first
	Class          string      `cbor:"4,keyasint"`
	Tenant         string      `cbor:"5,keyasint,omitempty"`
	IdempotencyKey string      `cbor:"6,keyasint,omitempty"` // the worker's group executes requests with the same key once
	TimeoutMillis  int64       `cbor:"7,keyasint"`           // milliseconds from now after which nobody waits for the response
	Window         uint32      `cbor:"8,keyasint"`           // bytes of the response that may be sent before CREDIT
}

// Response is the header of RESPONSE. If More is set the response only starts, and DATA frames and one END follow.
type Response struct {
	Status      Status    `cbor:"1,keyasint"`
	More        bool      `cbor:"2,keyasint,omitempty"`
	ColdStart   ColdStart `cbor:"3,keyasint,omitempty"`
	QueueDepth  *int      `cbor:"4,keyasint,omitempty"` // requests of the function that the worker held on arrival; nil if not reported
	LoadReport  []float64 `cbor:"5,keyasint,omitempty"` // values in the order of Welcome.LoadReportFields
	ContentType string    `cbor:"6,keyasint,omitempty"` // of the body
	Length      int64     `cbor:"7,keyasint,omitempty"` // bytes of the whole body, if More is set and it is known
	Problem     string    `cbor:"8,keyasint,omitempty"` // what went wrong, for people
	RunMillis   float64   `cbor:"9,keyasint,omitempty"` // milliseconds of execution, without time spent queued; 0 if not reported
}

// End is the header of END.
type End struct {
	Error string `cbor:"1,keyasint,omitempty"` // why the response is incomplete, empty if it is complete
}

// Credit is the header of CREDIT.
type Credit struct {
	Bytes uint32 `cbor:"1,keyasint"` // of the response that may be sent in addition
}

// LoadOrder is the header of LOAD_ORDER. The worker is to hold at least so many replicas; an order of 0 replicas is a
// residency query, which only asks how many are loaded.
type LoadOrder struct {
	Replica  ReplicaSpec `cbor:"1,keyasint"`
	Replicas int         `cbor:"2,keyasint"`
}

// LoadResult is the header of LOAD_RESULT.
type LoadResult struct {
	Status   Status `cbor:"1,keyasint"`
	Replicas int    `cbor:"2,keyasint"` // that are loaded now
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
