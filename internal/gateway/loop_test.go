package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAFullQueueRefusesAtOnce(t *testing.T) {
	l := NewLoop(LoopConfig{Settings: Settings{Began: time.Now()}, Queue: 2, Events: 1}, zerolog.Nop())
	for range 2 {
		l.Submit(NewCall())
	}
	c := NewCall()
	l.Submit(c)
	select {
	case f := <-c.Answer():
		if f.Kind != Refused {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("no answer: the call is neither queued nor refused")
	}
}

// TestANarrowDoorRefusesAtOnce: what is refused there is counted, and never seen by the loop.
func TestANarrowDoorRefusesAtOnce(t *testing.T) {
	l, stop := alone(1)
	defer stop()
	stands, goOn := make(chan struct{}), make(chan struct{})
	l.post(func(time.Duration) { close(stands); <-goOn }) // the loop takes nothing meanwhile
	<-stands
	l.door.set(1)
	taken := NewCall()
	taken.Since, taken.Patience, taken.Copy.Function = l.Now(), time.Second, "f"
	l.Submit(taken)
	turned := NewCall()
	l.Submit(turned)
	select {
	case f := <-turned.Answer():
		if f.Kind != Refused || f.RetryAfter == 0 {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("no answer at once")
	}
	close(goOn)
	<-taken.Answer()
	if c := l.Counts(); c.TurnedAway != 1 || c.Taken != 1 {
		t.Errorf("%+v", c)
	}
}
