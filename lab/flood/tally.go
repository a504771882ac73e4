package flood

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota + 1
	Rejected         // the request was not executed
	Failed           // the request may have been executed
	Late             // the response came within half a second after the client's timeout
	Lost             // the connection ended, or half a second passed after the client's timeout, without a response
)

// Tally counts the outcomes of the requests of a group of clients. Its methods may be called from any goroutine, but not
// while String or the fields are used.
type Tally struct {
	Connections, Sent, Served, Rejected, Failed, Late, Lost int

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // of served requests, in microseconds
}

// Bounds of the recorded latencies.
const (
	maxLatency    = time.Minute
	latencyDigits = 2 // significant digits
)

// ServedShare returns the fraction of the sent requests that were served, or 0 if none was sent.
func (t *Tally) ServedShare() float64 { return float64(t.Served) / float64(max(1, t.Sent)) }

// String returns the counts as text.
func (t *Tally) String() string {
	text := fmt.Sprintf("%d connections, %d sent, %d served (%.3f), %d rejected, %d failed, %d late, %d lost",
		t.Connections, t.Sent, t.Served, t.ServedShare(), t.Rejected, t.Failed, t.Late, t.Lost)
	if t.latencies == nil {
		return text
	}
	quantile := func(percent float64) time.Duration {
		return time.Duration(t.latencies.ValueAtQuantile(percent)) * time.Microsecond
	}
	return fmt.Sprintf("%s, median %v, 99th percentile %v", text, quantile(50), quantile(99))
}

func (t *Tally) connected() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Connections++
}

func (t *Tally) sent() { t.sentMany(1) }

func (t *Tally) sentMany(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent += count
}

// ended records the outcome of a request that was sent some time ago.
func (t *Tally) ended(outcome Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch outcome {
	case Served:
		t.Served++
		if t.latencies == nil {
			t.latencies = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		}
		_ = t.latencies.RecordValue(took.Microseconds()) // fails above maxLatency only, which is beyond every timeout
	case Rejected:
		t.Rejected++
	case Failed:
		t.Failed++
	case Late:
		t.Late++
	case Lost:
		t.Lost++
	}
}
