package fleet

import (
	"context"
	"sync"
	"time"

	"havencart/lab/client"
	"havencart/lab/loadgen"
)

// Clients are the clients of a Fleet. They may be used by several goroutines.
type Clients struct {
	mu     sync.Mutex
	source *loadgen.Source // of the run under way, nil before the first one
}

// change changes what the clients of the run under way ask for.
func (c *Clients) change(f func(*loadgen.Demand)) error {
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

// RunClients sends requests of a mix for d, with arrivals drawn from seed and independent of the responses, and returns
// when all have ended. It returns the number of requests by their outcomes, retries counted as one with their request.
func (f *Fleet) RunClients(ctx context.Context, m loadgen.Mix, d time.Duration, seed uint64) map[string]int {
	source := loadgen.ForSettings(m, d, f.Settings, seed)
	f.Clients.setSource(source)
	var mu sync.Mutex
	outcomes := map[string]int{}
	client.Runner{
		FrontEnds: len(f.FrontEnds),
		Pools:     func(i int) *client.Pool { return f.FrontEnds[i].Pool() },
		Next:      source.Next,
		Observe: func(o client.Observation) {
			mu.Lock()
			defer mu.Unlock()
			outcomes[o.Outcome]++
		},
	}.Run(ctx)
	return outcomes
}
