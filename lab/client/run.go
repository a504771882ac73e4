package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"havencart/lab/loadgen"
)

// Observation is the result of one request of a client, its retries included.
type Observation struct {
	Request   loadgen.Request
	Outcome   string        // outcome of the last attempt
	Duration  time.Duration // time from when the request was due, not sent, to the end of the last attempt
	SendDelay time.Duration // delay of the first attempt after the request was due
	Attempts  int           // number of attempts
	Lost      bool          // no response to the last attempt, although the client was not told to disconnect
}

// Runner sends the requests of a source, each at its arrival time, whether earlier requests have ended or not (open
// loop). A slow server therefore does not lower its own load. If a request is sent late, the delay counts as part of
// its latency, which avoids what G. Tene calls coordinated omission.
type Runner struct {
	Next      func() (time.Duration, loadgen.Request, bool) // yields the requests as loadgen.Source.Next does
	Pool      func(i int) *Pool                             // returns the pool of front end i
	FrontEnds int                                           // number of front ends
	Observe   func(Observation)                             // is called once per request, by several goroutines
}

// Run sends all requests and returns once they have ended. If ctx ends first, the rest is not sent or retried.
func (r Runner) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		at, request, more := r.Next()
		if !more || !Sleep(ctx, at-time.Since(start)) {
			break
		}
		due := start.Add(at)
		tasks.Go(func() { r.Observe(r.runRequest(ctx, request, n, due)) })
	}
	tasks.Wait()
}

// outcomeUnreachable is the outcome of an attempt whose client could not connect to the front end.
const outcomeUnreachable = "unreachable"

// runRequest sends a request through a front end and retries it as its retry policy says, each time through the next
// front end.
func (r Runner) runRequest(ctx context.Context, request loadgen.Request, frontEnd int, due time.Time) Observation {
	id := request.ID
	o := Observation{Request: request, SendDelay: time.Since(due)}
	for attempt := 0; ; attempt++ {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		response, err := r.Pool((frontEnd + attempt) % r.FrontEnds).Do(request)
		if err != nil {
			response.Outcome = outcomeUnreachable
		}
		o.Outcome, o.Duration, o.Attempts = response.Outcome, time.Since(due), attempt+1
		o.Lost = response.Outcome == "" && request.DisconnectAfter == 0
		wait, retry := request.Retry(attempt, response.Outcome, response.RetryAfter)
		if !retry || request.DisconnectAfter > 0 || !Sleep(ctx, wait) {
			return o
		}
	}
}

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
