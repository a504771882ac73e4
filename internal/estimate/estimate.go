// Package estimate provides the estimators that the decision packages share: averages, rates, quantiles, the time to
// drain a queue, and a deterministic hash. They do no I/O, read no clock and contain no tuned values: windows and time
// constants are parameters, so that each value is defined next to the decision for which it was tuned. Times are
// durations since the start of the process.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MovingAverage is the arithmetic mean of the samples until the window is full, and an exponentially weighted average
// from then on. The zero value has no samples.
type MovingAverage struct {
	Value   float64
	Samples int // number of samples, at most the window
}

// Add adds a sample x. With n the number of samples, at most window,
//
//	value += (x - value) / n
//
// The first samples all have equal weight; each later one has the weight 1/window.
func (m *MovingAverage) Add(x float64, window int) {
	m.Samples = min(m.Samples+1, window)
	m.Value += (x - m.Value) / float64(m.Samples)
}

// Duration returns the average as a duration, or prior if there is no sample.
func (m *MovingAverage) Duration(prior time.Duration) time.Duration {
	if m.Samples == 0 {
		return prior
	}
	return time.Duration(m.Value)
}

// Decayed is a value that decays exponentially with time, such as a count of recent events. Each instance must always
// be used with the same memory, which is the time constant of the decay. The zero value is 0.
//
// Reading applies the decay up to the time of the reading. A caller that needs bit-identical results must therefore
// read at the same times.
type Decayed struct {
	Value  float64       // value at ReadAt
	ReadAt time.Duration // time up to which the decay was applied
}

// Read returns the value at now, which must not be earlier than the last reading:
//
//	value * exp(-(now - readAt) / memory)
func (d *Decayed) Read(now, memory time.Duration) float64 {
	d.Value *= math.Exp(-float64(now-d.ReadAt) / float64(memory))
	d.ReadAt = now
	return d.Value
}

// Add adds n at now.
func (d *Decayed) Add(now, memory time.Duration, n float64) { d.Value = d.Read(now, memory) + n }

// RatePerSecond returns the rate of the added amounts, for a counter that has been in use for the time observed:
//
//	read(now) / (memory * (1 - exp(-observed / memory)))
//
// The divisor is the value that a constant rate of one per second would have reached, so that the rate is not
// underestimated for a counter that has been in use for a short time only.
func (d *Decayed) RatePerSecond(now, memory, observed time.Duration) float64 {
	counted := 1 - math.Exp(-float64(observed)/float64(memory))
	return d.Read(now, memory) / (counted * memory.Seconds())
}

// QuantileByDivisor returns the 1/divisor quantile of values, or 0 if there are no values. A divisor of 2 gives the
// median, the upper one of an even number of values. It sorts values.
func QuantileByDivisor(divisor int, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/divisor]
}

// Server processes requests at a constant rate from a given time on.
type Server struct {
	From float64 // start time, in nanoseconds from now
	Rate float64 // requests per nanosecond
}

// DrainTime returns the time that the servers together need for the given number of requests. The result is at most
// limit, and is limit if there is no server. DrainTime sorts servers. With the servers in order of From, it finds the t
// at which
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

// HashPair returns a hash of a and b that is the same on every platform. It consists of three rounds of xor-shift and
// multiplication, as in the finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number
// generators", 2014). It does not resist maliciously chosen input.
func HashPair(a, b uint64) uint64 {
	x := a*0x9E3779B97F4A7C15 ^ b
	for range 3 {
		x ^= x >> 31
		x *= 0xBF58476D1CE4E5B9
	}
	return x ^ x>>29
}

// UnitInterval maps the upper 53 bits of a hash to a number in [0, 1).
func UnitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
