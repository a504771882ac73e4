package gateway

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// schedulingDelayMetric is the runtime's histogram of the times, in seconds, that goroutines waited until they ran once
// they were ready to run.
const schedulingDelayMetric = "/sched/latencies:seconds"

// schedulingDelays measures for how long goroutines wait to run. It belongs to a single goroutine.
type schedulingDelays struct {
	previous []uint64 // counts of the histogram when it was last read
}

// sinceLast returns a quantile, and the maximum, of the delays since the last call, or zeros if there were none. Both
// are upper bounds of buckets of the runtime's histogram.
func (s *schedulingDelays) sinceLast(quantile float64) (delay, longest time.Duration) {
	sample := []metrics.Sample{{Name: schedulingDelayMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0, 0
	}
	histogram := sample[0].Value.Float64Histogram()
	counts := slices.Clone(histogram.Counts)
	for i, before := range s.previous {
		counts[i] -= before
	}
	s.previous = slices.Clone(histogram.Counts)
	return delayAt(histogram.Buckets, counts, quantile), delayAt(histogram.Buckets, counts, 1)
}

// delayAt returns the upper bound of the bucket that holds a quantile of the counted delays, or 0 if none was counted.
// Bucket i holds delays from bounds[i] to bounds[i+1], in seconds.
func delayAt(bounds []float64, counts []uint64, quantile float64) time.Duration {
	total := uint64(0)
	for _, count := range counts {
		total += count
	}
	rank := uint64(math.Ceil(quantile * float64(total)))
	for i, count := range counts {
		if rank <= count && rank > 0 {
			return secondsToDuration(min(bounds[i+1], math.MaxInt32))
		}
		rank -= min(rank, count)
	}
	return 0
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
