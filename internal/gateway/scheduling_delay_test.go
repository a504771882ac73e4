package gateway

import (
	"math"
	"testing"
	"time"
)

func TestDelayAt_Quantiles(t *testing.T) {
	bounds := []float64{0, 0.001, 0.002, math.Inf(1)}
	for name, test := range map[string]struct {
		counts   []uint64
		quantile float64
		want     time.Duration
	}{
		"no delays":          {[]uint64{0, 0, 0}, 0.99, 0},
		"median":             {[]uint64{2, 2, 0}, 0.5, time.Millisecond},
		"above the median":   {[]uint64{2, 2, 0}, 0.6, 2 * time.Millisecond},
		"longest":            {[]uint64{99, 1, 0}, 1, 2 * time.Millisecond},
		"quantile in a tail": {[]uint64{99, 1, 0}, 0.99, time.Millisecond},
		"unbounded bucket":   {[]uint64{0, 0, 1}, 1, math.MaxInt32 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := delayAt(bounds, test.counts, test.quantile); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
