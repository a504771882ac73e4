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
