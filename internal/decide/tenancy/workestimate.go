package tenancy

import (
	"cmp"
	"time"
)

const (
	// tenantAverageWindow is the number of requests that the moving average of a tenant's work remembers.
	tenantAverageWindow = 10
	// elapsedBatch is the number of elapsed times of which the shortest counts, and the number of reported ones that
	// the moving average remembers.
	elapsedBatch = 4
	// changedFactor is how many times the average the shortest of a batch must be to replace it: the function does
	// other work by now.
	changedFactor = 2
)

// WorkEstimator estimates the work of one request of one function: the time for which it occupies a worker. What
// workers report counts where they do. Else, the shortest of a few elapsed times counts: the time that requests wait
// for each other is not work, and would make all functions look alike where it is long.
//
// The zero value is ready to use. It is not safe for concurrent use.
type WorkEstimator struct {
	mean     float64 // seconds; 0 before the first observation
	shortest float64 // seconds, of the batch in progress
	count    int     // elapsed times in that batch
}

// ObserveReported takes the execution time that a worker reported.
func (c *WorkEstimator) ObserveReported(execution time.Duration) {
	c.mean = movingAverage(c.mean, execution, elapsedBatch)
	c.count = 0
}

// movingAverage takes a sample into an average in seconds that remembers window samples; 0 is no sample yet.
func movingAverage(mean float64, sample time.Duration, window float64) float64 {
	mean = cmp.Or(mean, sample.Seconds())
	return mean + (sample.Seconds()-mean)/window
}

// ObserveElapsed takes the time from sending a request to its response, waiting included.
func (c *WorkEstimator) ObserveElapsed(elapsed time.Duration) {
	c.count++
	if c.count == 1 || elapsed.Seconds() < c.shortest {
		c.shortest = elapsed.Seconds()
	}
	batchComplete := c.count >= elapsedBatch
	switch {
	case c.mean == 0, batchComplete && c.shortest > changedFactor*c.mean:
		c.mean = c.shortest
	case batchComplete:
		c.mean += (c.shortest - c.mean) / 2
	}
	if batchComplete {
		c.count = 0
	}
}

// ObserveAbandoned takes a request that was given up after elapsed, unanswered. Several in a row mean that the
// function takes longer than estimated.
func (c *WorkEstimator) ObserveAbandoned(elapsed time.Duration) {
	if elapsed.Seconds() > c.mean {
		c.ObserveElapsed(elapsed)
	}
}

// Estimate is the expected work of one request, 0 before the first observation.
func (c *WorkEstimator) Estimate() time.Duration { return time.Duration(c.mean * float64(time.Second)) }
