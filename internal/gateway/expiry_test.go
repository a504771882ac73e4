package gateway

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

const expiryTimeout = time.Second

// newStalledLoop returns an event loop without a goroutine, which handles only what the test passes to it.
func newStalledLoop() *EventLoop {
	settings := Settings{
		Scheduler: testScheduler(), Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 8, ClockStart: time.Now(),
		DeadlineMargin: 8 * time.Millisecond,
	}
	loop := NewEventLoop(EventLoopConfig{Settings: settings, RequestQueue: 8, EventQueue: 8}, zerolog.Nop())
	loop.frontEnd = NewFrontEnd(loop.Now(), loop.cfg.Settings, loop, zerolog.Nop())
	return loop
}

func submitToStalledLoop(loop *EventLoop) *Request {
	request := NewRequest()
	request.StartedAt, request.Timeout, request.Replica.Function = loop.Now(), expiryTimeout, "f"
	loop.Submit(request)
	return request
}

// expectResponse waits for the final response and checks that it is of the given kind and precedes the client's
// timeout.
func expectResponse(t *testing.T, loop *EventLoop, request *Request, kind ResponseKind) {
	t.Helper()
	response := <-request.Response()
	if response.Kind != kind || loop.Now() >= request.StartedAt+request.Timeout {
		t.Errorf("response %v after %v, want %v before %v", response.Kind, loop.Now()-request.StartedAt, kind, request.Timeout)
	}
}

func TestExpiry_LoopNeverReceivesRequest_IsRejectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newStalledLoop()
		request := submitToStalledLoop(loop)
		expectResponse(t, loop, request, Rejected)
		loop.receive(<-loop.requests)
		if counts := loop.counts(); counts.Admitted != 0 || counts.Expired != 1 || request.state != requestCompleted {
			t.Errorf("the request was received after it expired: state %d, counts %+v", request.state, counts)
		}
	})
}

func TestExpiry_LoopStallsWithRequest_FailsInTimeAndEndsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newStalledLoop()
		request := submitToStalledLoop(loop)
		loop.receive(<-loop.requests)
		if loop.frontEnd.InFlight() != 1 {
			t.Fatal("the request was not admitted")
		}
		expectResponse(t, loop, request, Failed)
		synctest.Wait()
		loop.drainEvents()
		if counts := loop.counts(); !loop.frontEnd.Idle() || counts.Failed != 1 || counts.Expired != 1 || counts.PastDeadline != 1 {
			t.Errorf("after the request expired: idle %v, counts %+v", loop.frontEnd.Idle(), counts)
		}
	})
}

// TestExpiry_ResponseAfterwards_IsNotDelivered checks that a final response that the FrontEnd gives after the expiry,
// but before it is notified of it, is not delivered.
func TestExpiry_ResponseAfterwards_IsNotDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newStalledLoop()
		request := submitToStalledLoop(loop)
		loop.receive(<-loop.requests)
		expectResponse(t, loop, request, Failed)
		loop.frontEnd.respond(request, FinalResponse{Kind: Served})
		synctest.Wait()
		loop.drainEvents()
		if len(request.Response()) > 0 {
			t.Error("a second final response was delivered")
		}
		if counts := loop.counts(); counts.Served != 0 || counts.Failed != 1 || !loop.frontEnd.Idle() {
			t.Errorf("counts %+v, want one failed and no served request; idle %v, want true", counts, loop.frontEnd.Idle())
		}
	})
}

func TestExpiry_ResponseInTime_NothingExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newStalledLoop()
		request := submitToStalledLoop(loop)
		loop.receive(<-loop.requests)
		loop.frontEnd.respond(request, FinalResponse{Kind: Served})
		expectResponse(t, loop, request, Served)
		time.Sleep(2 * expiryTimeout)
		if len(request.Response()) > 0 || loop.counts().Expired != 0 {
			t.Errorf("a request expired after its final response: counts %+v", loop.counts())
		}
	})
}

// TestDelivery_OwnerAndExpiryAtOnce_OneDelivers is meant to be run with the race detector.
func TestDelivery_OwnerAndExpiryAtOnce_OneDelivers(t *testing.T) {
	for range 2000 {
		var state delivery
		var delivered atomic.Int32
		var ends sync.WaitGroup
		ends.Go(func() {
			if state.claim() && state.finish() {
				delivered.Add(1)
			}
		})
		ends.Go(func() {
			if owed, _ := state.expire(); owed {
				delivered.Add(1)
			}
		})
		ends.Wait()
		if n := delivered.Load(); n != 1 {
			t.Fatalf("%d final responses were delivered, want 1", n)
		}
	}
}
