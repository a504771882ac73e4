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
func (e *WorkEstimator) ObserveReported(execution time.Duration) {
	e.mean = movingAverage(e.mean, execution, elapsedBatch)
	e.count = 0
}

// movingAverage returns the mean, in seconds, updated with a sample at the weight 1/window. A mean of 0 means that
// there is no sample yet.
func movingAverage(mean float64, sample time.Duration, window float64) float64 {
	mean = cmp.Or(mean, sample.Seconds())
	return mean + (sample.Seconds()-mean)/window
}

// ObserveElapsed records the time from sending a request to its response, including any queue delay.
func (e *WorkEstimator) ObserveElapsed(elapsed time.Duration) {
	e.count++
	if e.count == 1 || elapsed.Seconds() < e.shortest {
		e.shortest = elapsed.Seconds()
	}
	batchComplete := e.count >= elapsedBatch
	switch {
	case e.mean == 0, batchComplete && e.shortest > changedFactor*e.mean:
		e.mean = e.shortest
	case batchComplete:
		e.mean += (e.shortest - e.mean) / 2
	}
	if batchComplete {
		e.count = 0
	}
}

// ObserveAbandoned records a request that was given up after elapsed without a response. Several such requests in a row
// mean that the function takes longer than estimated.
func (e *WorkEstimator) ObserveAbandoned(elapsed time.Duration) {
	if elapsed.Seconds() > e.mean {
		e.ObserveElapsed(elapsed)
	}
}

// Estimate returns the expected work of one request, or 0 before the first observation.
func (e *WorkEstimator) Estimate() time.Duration { return time.Duration(e.mean * float64(time.Second)) }
