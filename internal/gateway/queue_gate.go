package gateway

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/cpu"
)

// queueGate holds the values that the goroutines of connections share with that of the event loop. Each value has its
// own cache line to avoid false sharing: under overload, the goroutines access the counters for every request.
type queueGate struct {
	_        cpu.CacheLinePad
	limit    atomic.Int64 // number of requests that may wait for the loop, set by the FrontEnd
	_        cpu.CacheLinePad
	rejected sharedReasonCounts // requests rejected without the FrontEnd
	_        cpu.CacheLinePad
	expired  atomic.Uint64 // number of requests that expired
	_        cpu.CacheLinePad
	worstLag atomic.Int64 // worst lag since the last swapLag, in nanoseconds
	_        cpu.CacheLinePad
}

// setLimit sets the limit. It writes to memory only if the limit has changed.
func (g *queueGate) setLimit(limit int) {
	if int64(limit) != g.limit.Load() {
		g.limit.Store(int64(limit))
	}
}

// observeLag records a lag if it is the worst since the last swapLag.
func (g *queueGate) observeLag(lag time.Duration) {
	for {
		worst := g.worstLag.Load()
		if int64(lag) <= worst || g.worstLag.CompareAndSwap(worst, int64(lag)) {
			return
		}
	}
}

// swapLag returns the worst lag since the last call, or 0 if there was none, and resets it.
func (g *queueGate) swapLag() time.Duration {
	if g.worstLag.Load() <= 0 {
		return 0
	}
	return time.Duration(g.worstLag.Swap(0))
}
