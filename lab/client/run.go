package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"havencart/lab/loadgen"
)

// Observation is the outcome of one request of a client, its retries counted as part of it.
type Observation struct {
	Request   loadgen.Request
	Outcome   string        // of the last attempt
	Duration  time.Duration // from when the request was due, not from when it could be sent
	SendDelay time.Duration // how long after it was due its first attempt was sent
	Attempts  int           // attempts
	Lost      bool          // it got no response that it should have had
}

// Runner sends the requests of a source, each at its time whatever becomes of earlier ones (open loop): a slow server
// is not spared, and what a request waits because the client could not send it in time is counted as the request's (G.
// Tene's "coordinated omission").
type Runner struct {
	Next      func() (time.Duration, loadgen.Request, bool)
	Pools     func(i int) *Pool // of front end i
	FrontEnds int               // number of front ends
	Observe   func(Observation) // is called by several goroutines
}

// Run sends all requests and returns when they have ended.
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

// outcomeUnreachable is the outcome of an attempt for which there was no connection.
const outcomeUnreachable = "unreachable"

// runRequest sends a request and retries it by the client's policy, each time through the next front end.
func (r Runner) runRequest(ctx context.Context, request loadgen.Request, frontEnd int, due time.Time) Observation {
	id := request.ID
	o := Observation{Request: request, SendDelay: time.Since(due)}
	for attempt := 0; ; attempt++ {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		response, err := r.Pools((frontEnd + attempt) % r.FrontEnds).Do(request)
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

// Sleep waits for d. It returns false where ctx ended first.
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
