package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAFullQueueRefusesAtOnce(t *testing.T) {
	l := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now()}, RequestQueue: 2, EventQueue: 1}, zerolog.Nop())
	for range 2 {
		l.Submit(NewRequest())
	}
	c := NewRequest()
	l.Submit(c)
	select {
	case f := <-c.Response():
		if f.Kind != Rejected {
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
	taken := NewRequest()
	taken.StartedAt, taken.Timeout, taken.Replica.Function = l.Now(), time.Second, "f"
	l.Submit(taken)
	turned := NewRequest()
	l.Submit(turned)
	select {
	case f := <-turned.Response():
		if f.Kind != Rejected || f.RetryAfter == 0 {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("no answer at once")
	}
	close(goOn)
	<-taken.Response()
	if c := l.Counts(); c.Shed != 1 || c.Admitted != 1 {
		t.Errorf("%+v", c)
	}
}
