package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestSubmit_QueueFull_RejectedAtOnce(t *testing.T) {
	loop := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now()}, RequestQueue: 2, EventQueue: 1}, zerolog.Nop())
	for range 2 {
		loop.Submit(NewRequest())
	}
	request := NewRequest()
	loop.Submit(request)
	select {
	case response := <-request.Response():
		if response.Kind != Rejected {
			t.Errorf("response %+v, want a rejection", response)
		}
	default:
		t.Error("no response: the request is neither queued nor rejected")
	}
}

// TestSubmit_OverQueueLimit_RejectedAndCounted checks that requests are rejected while the event loop's goroutine is
// blocked.
func TestSubmit_OverQueueLimit_RejectedAndCounted(t *testing.T) {
	loop, stop := startLoop(1)
	defer stop()
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.post(stepOther, func(time.Duration) { close(blocked); <-unblock }) // blocks the loop
	<-blocked
	loop.gate.setLimit(1)
	admitted := NewRequest()
	admitted.StartedAt, admitted.Timeout, admitted.Replica.Function = loop.Now(), time.Second, "f"
	loop.Submit(admitted)
	rejected := NewRequest()
	loop.Submit(rejected)
	select {
	case response := <-rejected.Response():
		if response.Kind != Rejected || response.RetryAfter == 0 {
			t.Errorf("response %+v, want a rejection with a retry delay", response)
		}
	default:
		t.Error("the request was not rejected immediately")
	}
	close(unblock)
	<-admitted.Response()
	if c := loop.Counts(); c.Shed != 1 || c.Admitted != 1 {
		t.Errorf("counts %+v, want one request shed and one admitted", c)
	}
}

// TestReceive_FirstAfterStall_CountsFromStallStart checks a request that waited to be read while the loop stalled,
// and that is the first thing that the loop handles afterwards.
func TestReceive_FirstAfterStall_CountsFromStallStart(t *testing.T) {
	loop := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now().Add(-time.Hour)}}, zerolog.Nop())
	loop.frontEnd = NewFrontEnd(loop.Now(), Settings{Scheduler: testScheduler(), Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1}, loop, zerolog.Nop())
	loop.renewLease(loop.Now() - time.Second)
	request := NewRequest()
	request.StartedAt, request.Timeout = loop.Now(), 100*time.Millisecond
	loop.receive(request)
	if response := <-request.Response(); response.Kind != Rejected || response.Reason != DeadlineExceeded.String() {
		t.Errorf("response %+v; want a rejection for its deadline, as no time may be left", response)
	}
}

// TestReceive_ReadSomeTimeAfterStall_CountsFromStallStart checks a request that is read some time after a stall,
// because there was much to read, on a connection that had not been read since before the stall.
func TestReceive_ReadSomeTimeAfterStall_CountsFromStallStart(t *testing.T) {
	loop := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now().Add(-time.Hour)}}, zerolog.Nop())
	loop.frontEnd = NewFrontEnd(loop.Now(), Settings{Scheduler: testScheduler(), Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1}, loop, zerolog.Nop())
	now := loop.Now()
	for pass := now - 1500*time.Millisecond; pass < now; pass += 20 * time.Millisecond {
		if pass < now-1400*time.Millisecond || pass > now-400*time.Millisecond { // the loop stalls in between
			loop.renewLease(pass)
		}
	}
	request := NewRequest()
	request.StartedAt, request.ArrivedAfter, request.Timeout = now, now-time.Minute, time.Second
	loop.receive(request)
	if response := <-request.Response(); response.Kind != Rejected || response.Reason != DeadlineExceeded.String() {
		t.Errorf("response %+v; want a rejection for its deadline, as no time may be left", response)
	}
}

// newIdleLoop returns an event loop without a goroutine: the test calls its methods.
func newIdleLoop(events int) *EventLoop {
	loop := NewEventLoop(EventLoopConfig{Settings: Settings{ClockStart: time.Now()}, EventQueue: events}, zerolog.Nop())
	loop.frontEnd = NewFrontEnd(loop.Now(), Settings{Scheduler: testScheduler(), Classes: []string{"safe", "keyed", "unsafe"}}, loop, zerolog.Nop())
	return loop
}

// TestDrainEvents_EventReceivedMeanwhile_IsHandled checks that a response that is received while the loop handles a
// slow event is handled before timers.
func TestDrainEvents_EventReceivedMeanwhile_IsHandled(t *testing.T) {
	loop := newIdleLoop(4)
	handled := false
	loop.post(stepOther, func(time.Duration) {
		loop.post(stepWorker, func(time.Duration) { handled = true })
	})
	loop.drainEvents()
	if !handled {
		t.Error("an event that was received while another was handled was not handled before the timers")
	}
}

// TestDrainEvents_EndlessEvents_Returns checks that an endless sequence of events does not keep timers from firing.
func TestDrainEvents_EndlessEvents_Returns(t *testing.T) {
	loop := newIdleLoop(4)
	handled := 0
	var again func(time.Duration)
	again = func(time.Duration) {
		handled++
		loop.post(stepWorker, again)
	}
	loop.post(stepWorker, again)
	loop.drainEvents()
	if handled != 4 {
		t.Errorf("%d events handled before the timers, want one queue of 4", handled)
	}
}
