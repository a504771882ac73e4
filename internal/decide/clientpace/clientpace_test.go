package clientpace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxOpen is the number of requests that the clients of the tests may have open.
const maxOpen = 32

// readFor reads messages one after another for the given time, each as soon as it may be read, and returns their number.
// Each message takes step.
func readFor(meter *Meter, rate float64, length, step time.Duration) (read int) {
	for now := time.Duration(0); now < length; now += step {
		if pause := meter.Pause(now, rate); pause > 0 {
			now += pause
		}
		meter.RecordRead(now, rate)
		read++
	}
	return read
}

func TestMeter_ClientSendsAtFullSpeed_ReadAtTheRate(t *testing.T) {
	meter := NewMeter(maxOpen)
	const seconds = 10
	read := readFor(&meter, maxRate, seconds*time.Second, time.Microsecond)
	if most := (burst-initialLevel)*maxOpen + seconds*maxRate + 1; read > most || read < most-burst*maxOpen {
		t.Errorf("%d messages read in %d s, want at most %d and not much fewer", read, seconds, most)
	}
}

// TestMeter_AnyRequestsThatWorkersAnswer_NeverPauses checks that requests which workers answer never fill the meter.
func TestMeter_AnyRequestsThatWorkersAnswer_NeverPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meter := NewMeter(maxOpen)
		inFlight, now := 0, time.Duration(0)
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "microseconds")) * time.Microsecond
			if inFlight < maxOpen && (inFlight == 0 || rapid.Bool().Draw(t, "request")) {
				if pause := meter.Pause(now, minRate); pause > 0 {
					t.Fatalf("paused for %v with %d requests in flight", pause, inFlight)
				}
				meter.RecordRead(now, minRate)
				inFlight++
				continue
			}
			meter.RecordAnswered()
			inFlight--
		}
	})
}

// TestMeter_ModerateClientWithoutAnswers_NeverPauses checks that a client whose requests are all rejected is not slowed
// down while the process has time, up to the rate.
func TestMeter_ModerateClientWithoutAnswers_NeverPauses(t *testing.T) {
	meter := NewMeter(maxOpen)
	for now := time.Duration(0); now < time.Minute; now += time.Second / maxRate {
		if pause := meter.Pause(now, maxRate); pause > 0 {
			t.Fatalf("paused for %v at %v", pause, now)
		}
		meter.RecordRead(now, maxRate)
	}
}

func TestController_LagAndItsEnd_RateFallsAndRecovers(t *testing.T) {
	var controller Controller
	if rate := controller.Rate(0); rate != maxRate {
		t.Fatalf("initial rate %v, want %v", rate, maxRate)
	}
	now := time.Duration(0)
	for range 10 {
		controller.ObserveLag(now, lagTarget+1)
		now += lagInterval
	}
	if rate := controller.Rate(now); rate != minRate {
		t.Errorf("rate %v while the process lags, want %v", rate, minRate)
	}
	controller.ObserveLag(now, lagTarget)
	if rate := controller.Rate(now + lagInterval); rate <= minRate || rate > 2*minRate {
		t.Errorf("rate %v after an interval without lag, want a little more than %v", rate, minRate)
	}
	if rate := controller.Rate(now + 10*time.Second); rate != maxRate {
		t.Errorf("rate %v long after the lag, want %v", rate, maxRate)
	}
}

// TestController_AnyLags_RateWithinBounds checks the bounds for any observations.
func TestController_AnyLags_RateWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var controller Controller
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "passed"))
			controller.ObserveLag(now, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "lag")))
			if rate := controller.Rate(now); rate < minRate || rate > maxRate {
				t.Fatalf("rate %v", rate)
			}
		}
	})
}

// TestMeter_OverloadedWorkersAnswerOneOfFour_NeverPauses checks that a client whose requests are mostly rejected in an
// overload gets its rejections without delay, however many requests it sends and however late the process is.
func TestMeter_OverloadedWorkersAnswerOneOfFour_NeverPauses(t *testing.T) {
	meter := NewMeter(maxOpen)
	for request := range 100000 {
		now := time.Duration(request) * time.Millisecond
		if pause := meter.Pause(now, minRate); pause > 0 {
			t.Fatalf("paused for %v at request %d", pause, request)
		}
		meter.RecordRead(now, minRate)
		if request%answeredCredit == 0 {
			meter.RecordAnswered()
		}
	}
}
