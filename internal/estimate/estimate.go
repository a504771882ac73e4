// Package estimate has the estimators that the decision packages share: averages, rates, quantiles, the time to drain
// a queue, and a deterministic hash. They are pure and hold no tuned value: windows and memories are parameters, so
// that they stand beside the decision that they were tuned for. Times are durations since the start of the process.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MovingAverage is the mean of the first samples and, from then on, an exponentially weighted one. The zero value has
// no samples.
type MovingAverage struct {
	Value   float64
	Samples int // counted up to the window
}

// Add takes a sample x: with n the number of samples, window at most,
//
//	value += (x - value) / n
//
// The first samples count fully at once; later ones weigh 1/window.
func (m *MovingAverage) Add(x float64, window int) {
	m.Samples = min(m.Samples+1, window)
	m.Value += (x - m.Value) / float64(m.Samples)
}

// Duration returns the average as a duration, or prior where there is no sample.
func (m *MovingAverage) Duration(prior time.Duration) time.Duration {
	if m.Samples == 0 {
		return prior
	}
	return time.Duration(m.Value)
}

// Decayed is a value that decays exponentially with time: a count of recent events. Each instance is always used with the
// same memory. The zero value is 0.
//
// Reading advances the decay to the time of the reading. A caller that needs bit-identical results must therefore read
// at the same times.
type Decayed struct {
	Value  float64       // as it was at ReadAt
	ReadAt time.Duration // when the decay was last applied
}

// Read returns the value at now, which must not be before the last reading:
//
//	value * exp(-(now - readAt) / memory)
func (d *Decayed) Read(now, memory time.Duration) float64 {
	d.Value *= math.Exp(-float64(now-d.ReadAt) / float64(memory))
	d.ReadAt = now
	return d.Value
}

// Add counts n more at now.
func (d *Decayed) Add(now, memory time.Duration, n float64) { d.Value = d.Read(now, memory) + n }

// RatePerSecond returns the rate of what was added, for a counter that has counted for the time observed:
//
//	read(now) / (memory * (1 - exp(-observed / memory)))
//
// The divisor is what a constant rate of one a second would have left, so that a young counter is not taken for a low
// rate.
func (d *Decayed) RatePerSecond(now, memory, observed time.Duration) float64 {
	counted := 1 - math.Exp(-float64(observed)/float64(memory))
	return d.Read(now, memory) / (counted * memory.Seconds())
}

// UpperBoundOfOneIn returns the value that one in divisor of the values stays below (divisor 2: the median), 0 if
// there are none. It sorts values.
func UpperBoundOfOneIn(divisor int, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/divisor]
}

// Server works off requests at a rate from some time on.
type Server struct {
	From float64 // nanoseconds from now
	Rate float64 // requests a nanosecond
}

// DrainTime returns how long the servers take together for so many requests, at most limit; limit where there is no
// server. It sorts servers. With the servers in order of From, it finds the t at which
//
//	sum over servers with From < t of Rate * (t - From) = requests
func DrainTime(servers []Server, requests float64, limit time.Duration) time.Duration {
	slices.SortStableFunc(servers, func(a, b Server) int { return cmp.Compare(a.From, b.From) })
	rate, at := 0.0, 0.0
	for _, server := range servers {
		done := rate * (server.From - at)
		if done >= requests {
			break
		}
		requests, at, rate = requests-done, server.From, rate+server.Rate
	}
	if rate == 0 {
		return limit
	}
	return time.Duration(min(at+requests/rate, float64(limit)))
}

// Mix returns a hash of a and b that is the same on every platform: three rounds of xor-shift and multiplication, as in
// the finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014). It is not
// meant to withstand chosen input.
func Mix(a, b uint64) uint64 {
	x := a*0x9E3779B97F4A7C15 ^ b
	for range 3 {
		x ^= x >> 31
		x *= 0xBF58476D1CE4E5B9
	}
	return x ^ x>>29
}

// UnitInterval maps a hash to a number from 0 to below 1, by its upper 53 bits.
func UnitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
