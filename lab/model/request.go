package model

import "time"

// Request is one attempt of a request as a worker receives it.
type Request struct {
	ID, FrontEnd, Class string
	IdempotencyKey      string
	Attempt             int
	Function            string
	MemoryMB            float64
	Concurrency         int           // of each replica
	LoadTime            time.Duration // of a replica, while nothing else loads
	Work                time.Duration // on one core of speed 1
	Deadline            time.Duration // on the worker's clock; nobody waits after this
}

// Outcome is how a worker responds. Its values are those of the worker protocol.
type Outcome int

// The outcomes.
const (
	OK Outcome = iota + 1
	Failed
	Overloaded
	NotLoaded
)

// ColdStart is what a response reports of the replica that served it. Its values are those of the worker protocol.
type ColdStart int

// The cold start reports.
const (
	ColdStartUnknown   ColdStart = iota
	WarmStart                    // a replica was loaded
	ColdStartTriggered           // the request began a load
	ColdStartAwaited             // the request waited for a load under way
	ColdStartFailed              // the load failed
)

// Response is a worker's response to a Request.
type Response struct {
	Outcome    Outcome
	ColdStart  ColdStart
	QueueDepth int           // requests of the function at the worker when this one was received
	Waiting    int           // requests queued at the worker now: its load report
	RunTime    time.Duration // from the start of execution; 0 where it did not execute
}

// Fetcher fetches the artefacts that loads need.
type Fetcher interface {
	// Fetch calls done once, when an artefact that takes work to fetch alone was fetched or could not be.
	Fetch(function string, work time.Duration, done func(ok bool))
}

// Observer is notified of what a worker sees and does. Its methods are called from callbacks of the worker's Clock.
type Observer interface {
	// RequestReceived reports an attempt before the worker acts on it.
	RequestReceived(w *Worker, r *Request)
	// ResponseSent reports the outcome of an attempt.
	ResponseSent(w *Worker, r *Request, o Outcome)
	// RequestExecuted reports that a request's effect took place, at the end of its execution.
	RequestExecuted(w *Worker, r *Request)
	// LoadOrderReceived reports a load order, or a residency query: an order for no replicas.
	LoadOrderReceived(w *Worker, frontEnd, function string, copies int)
	// WorkerCrashed reports a crash caused by overload.
	WorkerCrashed(w *Worker)
}

// KeyCache holds the idempotency keys that the workers of one cell share.
type KeyCache struct {
	executedAt map[string]time.Duration
}

// NewKeyCache returns an empty KeyCache.
func NewKeyCache() *KeyCache { return &KeyCache{executedAt: map[string]time.Duration{}} }

// NewKeyCaches returns an empty KeyCache for each cell, and at least one.
func NewKeyCaches(cells int) (caches []*KeyCache) {
	for range max(1, cells) {
		caches = append(caches, NewKeyCache())
	}
	return caches
}
