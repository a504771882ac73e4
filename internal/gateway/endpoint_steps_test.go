package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/scheduler"
)

// changedEndpoints is a discovery.Source whose list is empty at first and changes once.
type changedEndpoints struct {
	changed  []discovery.Worker
	reported chan struct{} // closed when the change was reported
}

func (c changedEndpoints) Run(ctx context.Context, sink discovery.Sink) {
	sink.EndpointsChanged(nil)
	sink.EndpointsUpdated(c.changed)
	close(c.reported)
	<-ctx.Done()
}

func (c changedEndpoints) Refresh() {}

// runWithChange runs an event loop until it has handled a change of the endpoint list, and returns its state. observe is
// called in the loop for each worker that a client is opened for, with the number of steps for endpoints before.
func runWithChange(t *testing.T, changed []discovery.Worker, observe func(step uint64)) LoopSnapshot {
	t.Helper()
	set := Settings{Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, ClockStart: time.Now()}
	source := changedEndpoints{changed, make(chan struct{})}
	loop := NewEventLoop(EventLoopConfig{Settings: set, Source: source, RequestQueue: 1, EventQueue: 64, ShutdownTimeout: time.Second}, zerolog.Nop())
	loop.newTestClient = func(loop *EventLoop) WorkerClient {
		observe(loop.times.byStep[stepEndpoints].Steps)
		return &fakeWorkerClient{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx)
	}()
	<-source.reported
	snapshot := loop.Snapshot()
	cancel()
	<-ended
	return snapshot
}

// A release of thousands of workers is no single step: requests, responses and timers come in between.
func TestEndpointsUpdated_ThousandsOfChanges_StepsAreBounded(t *testing.T) {
	const workers = 3000
	var changed []discovery.Worker
	for i := range workers {
		changed = append(changed, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	perStep := map[uint64]int{}
	snapshot := runWithChange(t, changed, func(step uint64) { perStep[step]++ })
	if snapshot.Workers != workers {
		t.Errorf("%d workers are listed, want %d", snapshot.Workers, workers)
	}
	for step, count := range perStep {
		if count > 128 {
			t.Errorf("step %d took in %d changes, want 128 at most", step, count)
		}
	}
}

// What may get nothing new is known first, however many others are added with it.
func TestReadyLast_DrainingAndRemovedComeFirst(t *testing.T) {
	var names []string
	for _, worker := range readyLast([]discovery.Worker{
		{Name: "new", State: scheduler.Ready},
		{Name: "draining", State: scheduler.Draining},
		{Name: "newer", State: scheduler.Ready},
		{Name: "removed", State: scheduler.Removed},
	}) {
		names = append(names, worker.Name)
	}
	if want := []string{"draining", "removed", "new", "newer"}; !slices.Equal(names, want) {
		t.Errorf("%v, want %v", names, want)
	}
}
