// Package memoryshare implements the policy for the memory of a front end: how the memory limit of the process is divided
// between the bodies of requests, the responses of workers and the responses to clients, and how much of each part one
// peer may take. The package does no I/O and measures nothing.
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
	Requests        int64 // requests without a final response, with their bodies
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

	requestsFraction        = 0.55 // of the divided memory
	workerResponsesFraction = 0.2  // of the divided memory

	// minResponseBytes is the least that is divided to the responses of workers and to those to clients: that all
	// requests of one connection have a response of the maximum size of a request.
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

// Usage is the state of one part of the memory, in bytes.
type Usage struct {
	Limit int64 // size of the part
	Total int64 // taken by all peers
	Held  int64 // taken by the peer that asks for more
}

// Threshold is the ratio of what a peer may hold to what must then be left for others.
type Threshold float64

// Thresholds are the thresholds of one part of the memory.
type Thresholds struct {
	Untrusted Threshold // of peers that are mostly refused, and of new ones
	Trusted   Threshold // of peers that mostly return what they took
	// UntrustedBytes is the size of the memory of all peers above which untrusted ones get no more; 0: its limit.
	UntrustedBytes int64
}

// Usage returns the usage that counts for a peer, which may be an untrusted one.
func (t Thresholds) Usage(usage Usage, trusted bool) Usage {
	if !trusted && t.UntrustedBytes > 0 {
		usage.Limit = min(usage.Limit, t.UntrustedBytes)
	}
	return usage
}

// RequestThresholds returns the thresholds for the requests of a client. Many untrusted clients together leave more to
// the others than each of them gets. One client alone may hold a fifth of the memory at once. However much memory there
// is, the requests of untrusted clients do not fill the queues for the workers.
func RequestThresholds() Thresholds {
	return Thresholds{Untrusted: 0.25, Trusted: 2, UntrustedBytes: 16 * mebibyte}
}

// ClientResponseThresholds returns the thresholds for the responses to a client. One client alone may hold half of the
// memory, because its responses may come together and a response that is refused is lost.
func ClientResponseThresholds() Thresholds { return Thresholds{Untrusted: 1, Trusted: 4} }

// WorkerResponseThresholds returns the thresholds for the responses of a worker.
func WorkerResponseThresholds() Thresholds { return Thresholds{Untrusted: 1, Trusted: 1} }

// MayTake reports whether a peer may take size more bytes: afterwards, the peer must not hold more than the threshold
// times what is left for others. The total therefore never exceeds the limit, and if many peers take as much as they can,
// something is left for a peer that comes later. A peer may always take 0 bytes.
//
// The rule is the dynamic threshold of A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds for
// Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998.
func MayTake(usage Usage, size int64, threshold Threshold) bool {
	if size == 0 {
		return true
	}
	left := usage.Limit - usage.Total - size
	return left >= 0 && float64(usage.Held+size) <= float64(threshold)*float64(left)
}

const (
	// minReturned is how often a peer must have returned memory to be trusted.
	minReturned = 16
	// maxRefusalLevel is the level of refusals above which a peer is not trusted.
	maxRefusalLevel = 16
	// refusalLeakRate is by how much the level of refusals falls in a second. Clients that wait before they send a rejected
	// request again stay below it.
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

// IsTrusted reports whether the peer returns what it takes. A peer that asks again and again for what it is refused is not
// trusted.
func (h *History) IsTrusted(now time.Duration) bool {
	return h.returned >= minReturned && h.levelOf(now) <= maxRefusalLevel
}

// Threshold returns the one of the thresholds that applies to the peer at now.
func (h *History) Threshold(now time.Duration, thresholds Thresholds) Threshold {
	if h.IsTrusted(now) {
		return thresholds.Trusted
	}
	return thresholds.Untrusted
}
