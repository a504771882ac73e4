package tenancy

import (
	"cmp"
	"time"
)

const (
	// tenantAverageWindow is the window of the moving average of a tenant's work, in requests.
	tenantAverageWindow = 10
	// elapsedBatch is the number of elapsed times in a batch, of which only the shortest is used. It is also the window of
	// the moving average of reported execution times.
	elapsedBatch = 4
	// changedFactor is the multiple of the average above which the shortest elapsed time of a batch replaces the average,
	// because the work of the function must have changed.
	changedFactor = 2
)

// WorkEstimator estimates the work of one request of one function, which is the time for which the request occupies a
// worker. It uses the execution times that workers report, if they do. Otherwise, it uses the shortest of several
// elapsed times: time spent in a queue is not work, and a long queue would make all functions look alike.
//
// The zero value is ready to use. A WorkEstimator is not safe for concurrent use.
type WorkEstimator struct {
	mean     float64 // estimated work in seconds, 0 before the first observation
	shortest float64 // shortest elapsed time of the current batch, in seconds
	count    int     // number of elapsed times in the current batch
}

// ObserveReported records an execution time that a worker reported.
func (c *WorkEstimator) ObserveReported(execution time.Duration) {
	c.mean = movingAverage(c.mean, execution, elapsedBatch)
	c.count = 0
}

// movingAverage returns the mean, in seconds, updated with a sample at the weight 1/window. A mean of 0 means that
// there is no sample yet.
func movingAverage(mean float64, sample time.Duration, window float64) float64 {
	mean = cmp.Or(mean, sample.Seconds())
	return mean + (sample.Seconds()-mean)/window
}

// ObserveElapsed records the time from sending a request to its response, including any queue delay.
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

// ObserveAbandoned records a request that was given up after elapsed without a response. Several such requests in a row
// mean that the function takes longer than estimated.
func (c *WorkEstimator) ObserveAbandoned(elapsed time.Duration) {
	if elapsed.Seconds() > c.mean {
		c.ObserveElapsed(elapsed)
	}
}

// Estimate returns the expected work of one request, or 0 before the first observation.
func (c *WorkEstimator) Estimate() time.Duration { return time.Duration(c.mean * float64(time.Second)) }
