package fleet

import (
	"context"
	"sync"
	"time"

	"havencart/lab/client"
	"havencart/lab/loadgen"
)

// Clients controls the demand of a Fleet's clients. It is safe for concurrent use.
type Clients struct {
	mu     sync.Mutex
	source *loadgen.Source // source of the latest run; nil before the first run
}

// changeDemand changes the demand of the current run. It has no effect before the first run.
func (c *Clients) changeDemand(f func(*loadgen.Demand)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source == nil {
		return nil
	}
	return c.source.Change(f)
}

func (c *Clients) setSource(s *loadgen.Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = s
}

// RunClients sends requests of a mix for d and returns when all of them have ended. Arrivals are drawn from seed and do
// not depend on the responses. The result is the number of requests by outcome; a request and its retries count as one.
func (f *Fleet) RunClients(ctx context.Context, m loadgen.Mix, d time.Duration, seed uint64) map[string]int {
	source := loadgen.NewSourceForSettings(m, d, f.Settings, seed)
	f.Clients.setSource(source)
	var mu sync.Mutex
	outcomes := map[string]int{}
	client.Runner{
		FrontEnds: len(f.FrontEnds),
		Pool:      func(i int) *client.Pool { return f.FrontEnds[i].Pool() },
		Next:      source.Next,
		Observe: func(o client.Observation) {
			mu.Lock()
			defer mu.Unlock()
			outcomes[o.Outcome]++
		},
	}.Run(ctx)
	return outcomes
}
