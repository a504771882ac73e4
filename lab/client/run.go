package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"havencart/lab/loadgen"
)

// Observation is what became of one call of a client, its repeats counted as part of it.
type Observation struct {
	Call    loadgen.Call
	Outcome string        // of the last try
	Took    time.Duration // from when the call was due, not from when it could be sent
	Late    time.Duration // how long after it was due its first try was sent
	Tries   int
	Lost    bool // it got no answer that it should have had
}

// Runner makes the calls of a source, each at its time whatever becomes of earlier ones (open loop): a slow
// server is not spared, and what a call waits because the client could not send it in time is counted as the
// call's (G. Tene's "coordinated omission").
type Runner struct {
	Next    func() (time.Duration, loadgen.Call, bool)
	Pools   func(i int) *Pool // of front end i
	Fronts  int
	Observe func(Observation)
}

// Run makes all calls and returns when they have ended.
func (r Runner) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at, call, more := r.Next()
		if !more || !Sleep(ctx, at-time.Since(began)) {
			break
		}
		due := began.Add(at)
		tasks.Go(func() { r.Observe(r.persist(ctx, call, n, due)) })
	}
	tasks.Wait()
}

// persist makes a call and repeats it by the clients' habit, each time through the next front end.
func (r Runner) persist(ctx context.Context, c loadgen.Call, front int, due time.Time) Observation {
	id := c.ID
	o := Observation{Call: c, Late: time.Since(due)}
	for try := 0; ; try++ {
		c.ID = fmt.Sprintf("%s.%d", id, try)
		seen, err := r.Pools((front + try) % r.Fronts).Do(c)
		if err != nil {
			seen.Outcome = "unreachable"
		}
		o.Outcome, o.Took, o.Tries = seen.Outcome, time.Since(due), try+1
		o.Lost = seen.Outcome == "" && c.DisconnectAfter == 0
		wait, again := c.Retry(try, seen.Outcome, seen.RetryAfter)
		if !again || c.DisconnectAfter > 0 || !Sleep(ctx, wait) {
			return o
		}
	}
}

// Sleep returns false where ctx ended first.
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
