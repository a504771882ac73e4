package model

import "time"

// Request is one attempt of a request as a worker receives it.
type Request struct {
	ID, FrontEnd, Class string
	IdempotencyKey      string
	Attempt             int
	Function            string
	MemoryMB            float64
	Concurrency         int           // concurrency of each replica of the function
	LoadTime            time.Duration // time to load a replica while nothing else is being loaded
	Work                time.Duration // execution time on one core of speed 1
	Deadline            time.Duration // time on the worker's clock after which a response is useless
}

// Outcome is the outcome of a request or a load order at a worker. Its values are those of the worker protocol.
type Outcome int

// The outcomes.
const (
	OK Outcome = iota + 1
	Failed
	Overloaded
	NotLoaded
)

// ColdStart is what a response reports about the load of the replica that served the request. Its values are those of
// the worker protocol.
type ColdStart int

// The cold start reports.
const (
	ColdStartUnknown   ColdStart = iota
	WarmStart                    // a replica was already loaded
	ColdStartTriggered           // the request started a load
	ColdStartAwaited             // the request waited for a load that was in progress
	ColdStartFailed              // the load failed
)

// Response is a worker's response to a Request.
type Response struct {
	Outcome    Outcome
	ColdStart  ColdStart
	QueueDepth int           // requests of the function at the worker when this request was received
	Waiting    int           // requests queued at the worker when it responds: its load report
	RunTime    time.Duration // time since the start of the execution; 0 if the request was not executed
}

// Fetcher fetches the artefacts that loads need.
type Fetcher interface {
	// Fetch fetches the artefact of a function. work is the duration of the fetch when nothing else is being fetched.
	// done is called once, when the fetch succeeds or fails. It may be called before Fetch returns.
	Fetch(function string, work time.Duration, done func(ok bool))
}

// Observer is notified of the events at a worker. Its methods are called within the worker's Clock.
type Observer interface {
	// RequestReceived is called for each attempt that is received, before the worker acts on it.
	RequestReceived(w *Worker, r *Request)
	// ResponseSent is called with the outcome of an attempt, even if the attempt was cancelled while it executed.
	ResponseSent(w *Worker, r *Request, o Outcome)
	// RequestExecuted is called when a request takes effect, at the end of its execution.
	RequestExecuted(w *Worker, r *Request)
	// LoadOrderReceived is called for each load order that is received. A residency query is an order for 0 replicas.
	LoadOrderReceived(w *Worker, frontEnd, function string, replicas int)
	// WorkerCrashed is called when overload crashes the worker.
	WorkerCrashed(w *Worker)
}

// KeyCache holds the idempotency keys that the workers of one cell share.
type KeyCache struct {
	executedAt map[string]time.Duration
}

// NewKeyCache returns an empty KeyCache.
func NewKeyCache() *KeyCache { return &KeyCache{executedAt: map[string]time.Duration{}} }

// NewKeyCaches returns an empty KeyCache for each cell. It returns at least one KeyCache.
func NewKeyCaches(cells int) (caches []*KeyCache) {
	for range max(1, cells) {
		caches = append(caches, NewKeyCache())
	}
	return caches
}
