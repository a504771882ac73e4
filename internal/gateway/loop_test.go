package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAFullQueueRefusesAtOnce(t *testing.T) {
	loop := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now()}, RequestQueue: 2, EventQueue: 1}, zerolog.Nop())
	for range 2 {
		loop.Submit(NewRequest())
	}
	request := NewRequest()
	loop.Submit(request)
	select {
	case f := <-request.Response():
		if f.Kind != Rejected {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("no answer: the call is neither queued nor refused")
	}
}

// TestANarrowDoorRefusesAtOnce: what is refused there is counted, and never seen by the loop.
func TestANarrowDoorRefusesAtOnce(t *testing.T) {
	loop, stop := startLoop(1)
	defer stop()
	stands, goOn := make(chan struct{}), make(chan struct{})
	loop.post(func(time.Duration) { close(stands); <-goOn }) // the loop takes nothing meanwhile
	<-stands
	loop.gate.setLimit(1)
	taken := NewRequest()
	taken.StartedAt, taken.Timeout, taken.Replica.Function = loop.Now(), time.Second, "f"
	loop.Submit(taken)
	turned := NewRequest()
	loop.Submit(turned)
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
	if c := loop.Counts(); c.Shed != 1 || c.Admitted != 1 {
		t.Errorf("%+v", c)
	}
}
