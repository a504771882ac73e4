package estimate

import (
	"math"
	"testing"
	"time"
)

const (
	window = 20
	never  = 1000 * time.Hour
)

func TestMovingAverage_FirstSamples_HaveEqualWeight(t *testing.T) {
	var average MovingAverage
	if got := average.Duration(time.Second); got != time.Second {
		t.Errorf("average without samples is %v, want the prior of 1s", got)
	}
	for _, sample := range []float64{10, 20, 60} {
		average.Add(sample, window)
	}
	if average.Value != 30 || average.Samples != 3 {
		t.Errorf("average of 10, 20, 60 is %v over %d samples, want 30 over 3", average.Value, average.Samples)
	}
}

func TestMovingAverage_FullWindow_WeighsOneInWindow(t *testing.T) {
	var average MovingAverage
	for range 2 * window {
		average.Add(100, window)
	}
	average.Add(300, window)
	if average.Value != 110 || average.Samples != window {
		t.Errorf("average is %v over %d samples, want 110 over %d", average.Value, average.Samples, window)
	}
}

func TestDecayed_Read_HalvesInHalfLife(t *testing.T) {
	memory := 10 * time.Second
	halfLife := time.Duration(float64(memory) * math.Ln2)
	decayed := Decayed{Value: 8, ReadAt: time.Minute}
	for range 3 {
		decayed.Read(decayed.ReadAt+halfLife, memory)
	}
	if math.Abs(decayed.Value-1) > 1e-6 {
		t.Errorf("a value of 8 is %v after three half-lives, want 1", decayed.Value)
	}
}

func TestDecayed_ReadTwiceAtOneTime_IsUnchanged(t *testing.T) {
	decayed := Decayed{Value: 8}
	first := decayed.Read(time.Second, 3*time.Second)
	if second := decayed.Read(time.Second, 3*time.Second); first != second {
		t.Errorf("read %v, then %v at the same time", first, second)
	}
}

func TestDecayed_RatePerSecond_IsRightForYoungCounters(t *testing.T) {
	const memory = 10 * time.Second
	for _, age := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		var count Decayed
		for now := time.Duration(0); now < age; now += time.Millisecond {
			count.Add(now, memory, 0.05)
		}
		if rate := count.RatePerSecond(age, memory, age); math.Abs(rate-50) > 0.1 {
			t.Errorf("rate is %v after %v, want 50 per second", rate, age)
		}
	}
}

func TestQuantileByDivisor(t *testing.T) {
	tests := []struct {
		name    string
		divisor int
		values  []float64
		want    float64
	}{
		{"no values", 2, nil, 0},
		{"one value", 4, []float64{7}, 7},
		{"median of odd count", 2, []float64{5, 1, 3}, 3},
		{"median of even count", 2, []float64{4, 1, 3, 2}, 3},
		{"quartile", 4, []float64{8, 7, 6, 5, 4, 3, 2, 1}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := QuantileByDivisor(test.divisor, test.values); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestDrainTime(t *testing.T) {
	tests := []struct {
		name     string
		servers  []Server
		requests float64
		want     time.Duration
	}{
		{"no server", nil, 1, never},
		{"one server", []Server{{From: 0, Rate: 0.5}}, 10, 20},
		{"server that starts later", []Server{{From: 100, Rate: 0.5}}, 10, 120},
		{"second server helps", []Server{{From: 100, Rate: 0.5}, {From: 0, Rate: 0.5}}, 60, 110},
		{"second server starts too late", []Server{{From: 100, Rate: 0.5}, {From: 0, Rate: 0.5}}, 10, 20},
		{"beyond the limit", []Server{{From: 0, Rate: 1e-30}}, 1, never},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := DrainTime(test.servers, test.requests, never); got != test.want {
				t.Errorf("got %d ns, want %d ns", got, test.want)
			}
		})
	}
}

// TestMix_Values_AreUniformAndFixed pins two hash values, because placement on workers and all random draws depend on
// the hash.
func TestHashPair_Values_AreUniformAndFixed(t *testing.T) {
	if first, second := HashPair(1, 2), HashPair(42, 1<<63); first != 0xc6c62fe4e45e3f6f || second != 0xde7518d6b83e4283 {
		t.Errorf("hashes are %#x and %#x, want 0xc6c62fe4e45e3f6f and 0xde7518d6b83e4283", first, second)
	}
	if HashPair(1, 2) == HashPair(2, 1) {
		t.Error("the hash does not depend on the order of its arguments")
	}
	const draws = 10000
	sum := 0.0
	for i := range uint64(draws) {
		x := UnitInterval(HashPair(42, i))
		if x < 0 || x >= 1 {
			t.Fatalf("%v is not in [0, 1)", x)
		}
		sum += x
	}
	if mean := sum / draws; math.Abs(mean-0.5) > 0.02 {
		t.Errorf("mean of %d draws is %v, want about 0.5", draws, mean)
	}
}
