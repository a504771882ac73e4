package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havencart/lab/client"
)

// errInvalidRun is returned for a run in which the load generator itself was too slow.
var errInvalidRun = errors.New("the load generator could not keep up; the results of this run are invalid")

// The load generator was the bottleneck of a run, whose results are then invalid, if the sendLagQuantile of the delay
// between a request's scheduled time and its sending exceeds maxSendLag.
const (
	sendLagQuantile = 99 // percentile
	maxSendLag      = 20 * time.Millisecond
)

// Range of the latency histograms in nanoseconds, and their precision in significant decimal digits.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// progressInterval is the interval at which the progress line is updated.
const progressInterval = time.Second

const (
	outcomeServed  = "served"      // outcome of requests that are included in the latencies
	outcomeMissing = "no response" // stands for the empty outcome of a request without a response
)

// allRequests is the name of the histogram of all served requests.
const allRequests = "all"

// loadTally collects the outcomes and latencies of requests. It is safe for concurrent use.
type loadTally struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // served requests by "class NAME", "tenant NAME", allRequests
	outcomes  map[string]int                     // number of requests by outcome
	sendLag   *hdrhistogram.Histogram            // delay between a request's scheduled time and its sending
	lost      int                                // requests that got no response although a response was due
	attempts  int
}

func newLoadTally() *loadTally {
	return &loadTally{
		latencies: map[string]*hdrhistogram.Histogram{},
		outcomes:  map[string]int{},
		sendLag:   newHistogram(),
	}
}

// observe adds a request that ended.
func (t *loadTally) observe(observation client.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.sendLag.RecordValue(int64(max(observation.SendDelay, time.Microsecond))) // fails only for values out of range
	t.attempts += observation.Attempts
	if observation.Lost {
		t.lost++
	}
	outcome := observation.Outcome
	if outcome == "" {
		outcome = outcomeMissing
	}
	t.outcomes[outcome]++
	if observation.Outcome != outcomeServed {
		return
	}
	t.recordLatency(allRequests, observation.Duration)
	t.recordLatency("class "+observation.Request.Class, observation.Duration)
	if observation.Request.Tenant != "" {
		t.recordLatency("tenant "+observation.Request.Tenant, observation.Duration)
	}
}

// recordLatency adds a latency to the histogram with the given name. The caller must hold mu.
func (t *loadTally) recordLatency(name string, latency time.Duration) {
	histogram := t.latencies[name]
	if histogram == nil {
		histogram = newHistogram()
		t.latencies[name] = histogram
	}
	_ = histogram.RecordValue(int64(latency)) // fails only for values out of range
}

// reportProgress prints the progress line once per progressInterval, over the previous one, until ctx ends.
func (t *loadTally) reportProgress(ctx context.Context, out output) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for seconds := 1; ; seconds++ {
		select {
		case <-ctx.Done():
			out.println()
			return
		case <-ticker.C:
			t.printProgress(out, seconds)
		}
	}
}

func (t *loadTally) printProgress(out output, seconds int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p99 := time.Duration(0)
	if histogram := t.latencies[allRequests]; histogram != nil {
		p99 = time.Duration(histogram.ValueAtQuantile(99))
	}
	out.printf("\r%4ds %v p99 %v   ", seconds, t.outcomes, p99.Round(100*time.Microsecond))
}

// print prints the results. It returns an error that wraps errInvalidRun if the load generator was too slow.
func (t *loadTally) print(out output) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.printf("requests %d, attempts %d, lost %d, by outcome %v\n", t.sendLag.TotalCount(), t.attempts, t.lost, t.outcomes)
	for _, name := range slices.Sorted(maps.Keys(t.latencies)) {
		printLatencies(out, name, t.latencies[name])
	}
	lag := time.Duration(t.sendLag.ValueAtQuantile(sendLagQuantile))
	out.printf("send delay p99 %v\n", lag.Round(10*time.Microsecond))
	if lag > maxSendLag {
		return fmt.Errorf("%w: 1 request in 100 was sent at least %v late", errInvalidRun, lag)
	}
	return nil
}

func printLatencies(out output, name string, histogram *hdrhistogram.Histogram) {
	at := func(percent float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(percent)).Round(10 * time.Microsecond)
	}
	out.printf("%-22s served %7d  p50 %-9v p90 %-9v p99 %-9v p99.9 %-9v max %v\n",
		name, histogram.TotalCount(), at(50), at(90), at(99), at(99.9), at(100))
}
