// Package memoryshare implements the policy for the memory of a front end: how the memory limit of the process is
// divided between requests, responses of workers and responses to clients, and how much of each part one peer may
// reserve. The package does no I/O and measures nothing.
package memoryshare

import "time"

// Process describes what a process may use and hold.
type Process struct {
	MemoryBytes       int64 // limit of the process's anonymous memory
	ClientConnections int   // maximum number of connections of clients
	WorkerConnections int   // maximum number of connections to workers
	Functions         int   // maximum number of functions that are remembered without requests
}

// Division is how the memory of a process is divided, in bytes. What is not listed is left to the runtime, the
// connections, the tables, and the memory that was released and is not collected yet.
type Division struct {
	RuntimeLimit    int64 // memory of the Go runtime above which the garbage collector works harder
	Requests        int64 // requests and their bodies, until no attempt of them is in flight
	WorkerResponses int64 // responses that are read from workers, until the event loop has handled them
	ClientResponses int64 // responses that wait until they are written to clients
}

const (
	mebibyte = 1 << 20

	// runtimeFraction is the fraction of the process's memory for the Go runtime. The rest is for what the runtime does
	// not count, such as the stacks of threads, and for growth while a collection runs.
	runtimeFraction = 0.8
	// runtimeBytes is the memory that a process takes regardless of its load: metadata of the heap, unused parts of
	// spans, the scheduler's records, and the tables of recent identifiers.
	runtimeBytes = 10 * mebibyte
	// clientConnectionBytes is the memory of a client connection with its goroutines' stacks and buffers.
	clientConnectionBytes = 8 << 10
	// workerConnectionBytes is the memory of a worker connection with its goroutines' stacks and buffers.
	workerConnectionBytes = 24 << 10
	// workerConnectionsFraction is the fraction of the runtime's memory that connections to workers may take.
	workerConnectionsFraction = 0.2
	// functionBytes is the memory of the records of a function.
	functionBytes = 1 << 10
	// liveFraction is the fraction of the remaining memory that may be live. The rest is garbage between two collections.
	liveFraction = 0.75
	// minLiveFraction is the fraction of the process's memory that is divided at least, however many connections it may
	// hold, since they are rarely all open.
	minLiveFraction = 0.1

	// requestsFraction and workerResponsesFraction are fractions of the divided memory. Responses to clients get the rest.
	requestsFraction        = 0.55
	workerResponsesFraction = 0.2

	// minResponseBytes is the least that responses of workers and responses to clients get each. Half of it holds one
	// response of the maximum size of a request's body for each request of a connection.
	minResponseBytes = mebibyte
)

// MaxWorkerConnections returns how many connections to workers a process with that much memory may hold, at least 1.
// Requests share connections beyond that.
func MaxWorkerConnections(memoryBytes int64) int {
	return max(1, int(workerConnectionsFraction*runtimeFraction*float64(memoryBytes)/workerConnectionBytes))
}

// Divide divides the memory of a process.
func Divide(process Process) Division {
	memory := float64(process.MemoryBytes)
	runtimeLimit := runtimeFraction * memory
	fixed := runtimeBytes + clientConnectionBytes*process.ClientConnections +
		workerConnectionBytes*process.WorkerConnections + functionBytes*process.Functions
	live := max(minLiveFraction*memory, liveFraction*(runtimeLimit-float64(fixed)))
	requests := int64(requestsFraction * live)
	workerResponses := max(minResponseBytes, int64(workerResponsesFraction*live))
	return Division{
		RuntimeLimit:    int64(runtimeLimit),
		Requests:        requests,
		WorkerResponses: workerResponses,
		ClientResponses: max(minResponseBytes, int64(live)-requests-workerResponses),
	}
}

// Usage is how much of one part of the memory is reserved, in bytes.
type Usage struct {
	Limit int64 // size of the part
	Total int64 // reserved by all peers
	Peer  int64 // reserved by the peer that asks for more
}

// Thresholds are the limits of one part of the memory for its peers.
type Thresholds struct {
	Untrusted float64 // maximum ratio of what a new or mostly refused peer reserves to what is left for others
	Trusted   float64 // the same for a peer that mostly returns what it reserves
	// UntrustedLimit, if not 0, is the total of all peers in bytes above which untrusted peers may reserve no more.
	UntrustedLimit int64
}

// RequestThresholds returns the thresholds for the requests of a client. Many untrusted clients together leave more to
// the others than each of them gets. One client alone may reserve a fifth of the memory at once. However much memory
// there is, the requests of untrusted clients do not fill the queues for the workers.
func RequestThresholds() Thresholds {
	return Thresholds{Untrusted: 0.25, Trusted: 2, UntrustedLimit: 16 * mebibyte}
}

// ClientResponseThresholds returns the thresholds for the responses to a client. One client alone may reserve half of
// the memory, because its responses may come together and a response that is refused is lost.
func ClientResponseThresholds() Thresholds { return Thresholds{Untrusted: 1, Trusted: 4} }

// WorkerResponseThresholds returns the thresholds for the responses of a worker.
func WorkerResponseThresholds() Thresholds { return Thresholds{Untrusted: 1, Trusted: 1} }

// MayReserve reports whether a peer may reserve size more bytes: afterwards, the ratio of its part to what is left for
// others must not exceed the peer's threshold. The total therefore never exceeds the limit, and if many peers reserve as
// much as they can, something is left for a peer that comes later. A peer may always reserve 0 bytes.
//
// The rule is the dynamic threshold of A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds for
// Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998.
func (t Thresholds) MayReserve(usage Usage, size int64, trusted bool) bool {
	if size == 0 {
		return true
	}
	ratio, limit := t.Trusted, usage.Limit
	if !trusted {
		ratio, limit = t.Untrusted, t.untrustedLimit(usage.Limit)
	}
	left := limit - usage.Total - size
	return left >= 0 && float64(usage.Peer+size) <= ratio*float64(left)
}

// untrustedLimit returns the limit of the total for untrusted peers.
func (t Thresholds) untrustedLimit(limit int64) int64 {
	if t.UntrustedLimit == 0 {
		return limit
	}
	return min(limit, t.UntrustedLimit)
}

const (
	// minReturned is how often a peer must have returned memory to be trusted.
	minReturned = 16
	// maxRefusalLevel is the level of refusals above which a peer is not trusted.
	maxRefusalLevel = 16
	// refusalLeakRate is by how much the level of refusals falls in a second. Clients that wait before they send a
	// rejected request again stay below it.
	refusalLeakRate = 20
)

// History is how often a peer returned memory, and how often it was refused memory recently, as the level of a leaky
// bucket. Only memory that was returned counts in favour of a peer, so that the first burst of a new peer does not. The
// zero value is that of a new peer. Times are durations since the start of the process.
type History struct {
	returned     int           // at most minReturned
	refusalLevel float64       // at levelAt
	levelAt      time.Duration // time of the last refusal
}

// RecordReturned records that the peer returned memory.
func (h *History) RecordReturned() { h.returned = min(h.returned+1, minReturned) }

// RecordRefused records that the peer was refused memory at now, or that its request was rejected as soon as it had
// memory.
func (h *History) RecordRefused(now time.Duration) {
	h.refusalLevel = h.levelOf(now) + 1
	h.levelAt = now
}

// levelOf returns the level of refusals at now.
func (h *History) levelOf(now time.Duration) float64 {
	return max(0, h.refusalLevel-refusalLeakRate*(now-h.levelAt).Seconds())
}

// IsTrusted reports whether the peer mostly returns what it reserves. A peer that asks again and again for what it is
// refused is not trusted.
func (h *History) IsTrusted(now time.Duration) bool {
	return h.returned >= minReturned && h.levelOf(now) <= maxRefusalLevel
}
