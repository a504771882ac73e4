package gateway

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/cpu"
)

// queueGate is what the connections' goroutines share with the event loop's. Each value has a cache line of its own:
// in an overload they touch both counters at each request.
type queueGate struct {
	_        cpu.CacheLinePad
	limit    atomic.Int64 // requests that may wait for the loop, as the FrontEnd sets it
	_        cpu.CacheLinePad
	rejected atomic.Uint64 // requests that were rejected without the FrontEnd
	_        cpu.CacheLinePad
	expired  atomic.Uint64 // requests that expired
	_        cpu.CacheLinePad
	worstLag atomic.Int64 // nanoseconds; the worst since the loop took it last
	_        cpu.CacheLinePad
}

// setLimit sets the limit where it has changed.
func (g *queueGate) setLimit(limit int) {
	if int64(limit) != g.limit.Load() {
		g.limit.Store(int64(limit))
	}
}

// observeLag notes a lag if it is the worst since swapLag.
func (g *queueGate) observeLag(lag time.Duration) {
	for {
		worst := g.worstLag.Load()
		if int64(lag) <= worst || g.worstLag.CompareAndSwap(worst, int64(lag)) {
			return
		}
	}
}

// swapLag returns the worst lag since it was taken last, 0 if there was none.
func (g *queueGate) swapLag() time.Duration {
	if g.worstLag.Load() <= 0 {
		return 0
	}
	return time.Duration(g.worstLag.Swap(0))
}
