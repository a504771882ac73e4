package muxframe

import "time"

// Version is the protocol version that this code speaks. A peer of another version is told so and left.
const Version = 1

// Type says what a frame carries.
type Type uint8

// The types of frames. To the worker go Hello, Call, Credit, Cancel, Load, Unload, Probe and Ping; the others
// come from it.
const (
	TypeHello        Type = iota + 1 // opens a connection
	TypeWelcome                      // answers Hello
	TypeRequest                      // one attempt of a call; the body is the call's
	TypeResponse                     // how an attempt ended, or that its answer begins; the body is its first part
	TypeData                         // the next part of an answer
	TypeEnd                          // the answer is complete, or broke off
	TypeCredit                       // so many more bytes of an answer may be sent
	TypeCancel                       // nobody waits for this attempt any longer
	TypeLoadOrder                    // hold so many copies of a function; 0 only asks
	TypeLoadResult                   // answers Load
	TypeUnload                       // unload idle copies
	TypeHealthCheck                  // asks for a load report
	TypeHealthReport                 // answers Probe
	TypePing                         // asks for a sign of life
	TypePong                         // answers Ping
	typeEnd                          // one past the last
)

var typeNames = [...]string{"", "hello", "welcome", "call", "answer", "data", "end", "credit", "cancel", "load",
	"loaded", "unload", "probe", "probed", "ping", "pong"}

// String is the name of t as the documents write it.
func (t Type) String() string {
	if t > 0 && t < typeEnd {
		return typeNames[t]
	}
	return "unknown"
}

// Status is what a worker says of an attempt, a probe or an order.
type Status uint8

// The statuses. Only StatusError may stand for an attempt that ran.
const (
	StatusOK         Status = iota + 1
	StatusError             // answered with an error; it may have run
	StatusOverloaded        // turned away unseen: no place, no memory, or draining
	StatusNotLoaded         // the function is not loaded here and no load is under way; it never ran
)

// Warmth is what an answer says of the copy that served it.
type ColdStart uint8

// The notes on an answer. A worker that does not tell leaves the note out.
const (
	ColdStartUnknown ColdStart = iota
	WarmStart
	ColdStartTriggered
	ColdStartAwaited
	ColdStartFailed
)

// Hello is the first frame of a connection.
type Hello struct {
	Version  int      `cbor:"1,keyasint"`
	FrontEnd string   `cbor:"2,keyasint"` // who calls, for the worker's records
	Features []string `cbor:"3,keyasint,omitempty"`
}

// Welcome answers Hello. A worker that does not speak the version says so in Refused and closes.
type Welcome struct {
	Version          int      `cbor:"1,keyasint"`
	Worker           string   `cbor:"2,keyasint"` // the name that the list of workers has for it
	Incarnation      uint64   `cbor:"3,keyasint"` // differs between two starts of the worker
	UptimeMillis     int64    `cbor:"4,keyasint"` // since its process started, by its own monotonic clock
	LoadReportFields []string `cbor:"5,keyasint,omitempty"`
	Features         []string `cbor:"6,keyasint,omitempty"`
	Rejection        string   `cbor:"7,keyasint,omitempty"`
}

// Copy describes one loaded copy of a function.
type ReplicaSpec struct {
	Function    string  `cbor:"1,keyasint"`
	MemoryMB    float64 `cbor:"2,keyasint"`
	Concurrency int     `cbor:"3,keyasint"`           // calls that it runs at a time
	LoadMillis  float64 `cbor:"4,keyasint,omitempty"` // usual time of a load, 0 if not told
}

// LoadTime is the usual time of a load, 0 if not told.
func (c ReplicaSpec) LoadTime() time.Duration {
	return time.Duration(c.LoadMillis * float64(time.Millisecond))
}

// Call is one attempt of a call.
type Request struct {
	Replica        ReplicaSpec `cbor:"1,keyasint"`
	ID             string      `cbor:"2,keyasint"` // the same for all attempts of a call
	Attempt        int         `cbor:"3,keyasint"` // 0 for the first
	Class          string      `cbor:"4,keyasint"`
	Tenant         string      `cbor:"5,keyasint,omitempty"`
	IdempotencyKey string      `cbor:"6,keyasint,omitempty"` // idempotency key: repeats are dropped by the worker's group
	TimeoutMillis  int64       `cbor:"7,keyasint"`           // ms from now after which nobody waits
	Window         uint32      `cbor:"8,keyasint"`           // bytes of the answer that may be sent before Credit
}

// Answer ends an attempt, or begins its answer where More is set; Data frames and one End then follow.
type Response struct {
	Status      Status    `cbor:"1,keyasint"`
	More        bool      `cbor:"2,keyasint,omitempty"`
	ColdStart   ColdStart `cbor:"3,keyasint,omitempty"`
	QueueDepth  *int      `cbor:"4,keyasint,omitempty"` // calls of the function held here on arrival
	LoadReport  []float64 `cbor:"5,keyasint,omitempty"` // values in the order of Welcome.Reports
	ContentType string    `cbor:"6,keyasint,omitempty"` // content type of the body
	Length      int64     `cbor:"7,keyasint,omitempty"` // of the whole body where More is set and it is known
	Problem     string    `cbor:"8,keyasint,omitempty"` // what went wrong, for people
	RunMillis   float64   `cbor:"9,keyasint,omitempty"` // milliseconds that the run took, without what the call waited; 0: not told
}

// End closes an answer that was begun. Broken tells that it is incomplete.
type End struct {
	Error string `cbor:"1,keyasint,omitempty"`
}

// Credit allows Bytes more of an answer.
type Credit struct {
	Bytes uint32 `cbor:"1,keyasint"`
}

// Load orders at least Copies copies held; 0 only asks how many stand.
type LoadOrder struct {
	Replica  ReplicaSpec `cbor:"1,keyasint"`
	Replicas int         `cbor:"2,keyasint"`
}

// Loaded answers Load with the copies that stand now.
type LoadResult struct {
	Status   Status `cbor:"1,keyasint"`
	Replicas int    `cbor:"2,keyasint"`
}

// Unload asks to unload the idle copies of a function.
type Unload struct {
	Function string `cbor:"1,keyasint"`
}

// Probed answers Probe.
type HealthReport struct {
	Status     Status    `cbor:"1,keyasint"`
	LoadReport []float64 `cbor:"2,keyasint,omitempty"`
}
