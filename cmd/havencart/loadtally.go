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

// errVoid is returned by a load run in which the tool itself was too slow.
var errVoid = errors.New("the load tool could not keep up: the run is void")

// The tool was the bottleneck of a run, which is then void, if the voidQuantile of its requests were sent more than
// voidLag after they were due.
const (
	voidQuantile = 99 // percent
	voidLag      = 20 * time.Millisecond
)

// The range and precision of latency histograms, in nanoseconds and significant digits.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// outcomeServed is the outcome of a request whose latency counts; outcomeMissing stands for a request without one.
const (
	outcomeServed  = "served"
	outcomeMissing = "no answer"
)

// allRequests is the name of the histogram of all served requests.
const allRequests = "all"

// loadTally gathers the outcomes and latencies of requests. It is safe for concurrent use.
type loadTally struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // of served requests, by "class NAME", "tenant NAME" and allRequests
	outcomes  map[string]int
	sendLag   *hdrhistogram.Histogram // of each request, from when it was due
	lost      int                     // requests without an answer that they should have had
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
	_ = t.sendLag.RecordValue(int64(max(observation.SendDelay, time.Microsecond))) // an error is a value out of range
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

// recordLatency adds a latency to the histogram of that name. The caller holds mu.
func (t *loadTally) recordLatency(name string, latency time.Duration) {
	histogram := t.latencies[name]
	if histogram == nil {
		histogram = newHistogram()
		t.latencies[name] = histogram
	}
	_ = histogram.RecordValue(int64(latency)) // an error is a value out of range
}

// reportProgress rewrites one line of progress until ctx ends.
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

// print prints the results. It returns an error that wraps errVoid if the tool was too slow for them to count.
func (t *loadTally) print(out output) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.printf("calls %d, tries %d, lost %d, by outcome %v\n", t.sendLag.TotalCount(), t.attempts, t.lost, t.outcomes)
	for _, name := range slices.Sorted(maps.Keys(t.latencies)) {
		printLatencies(out, name, t.latencies[name])
	}
	lag := time.Duration(t.sendLag.ValueAtQuantile(voidQuantile))
	out.printf("sent late by p99 %v\n", lag.Round(10*time.Microsecond))
	if lag > voidLag {
		return fmt.Errorf("%w: 1 call in 100 was sent %v late or more", errVoid, lag)
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
