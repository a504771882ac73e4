package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/discovery"
	"havencart/scheduler"
)

// changedEndpoints is a discovery.Source whose list is initially empty and changes once.
type changedEndpoints struct {
	changed  []discovery.Worker
	reported chan struct{} // closed after the change was reported
}

func (c changedEndpoints) Run(ctx context.Context, sink discovery.Sink) {
	sink.EndpointsListed(nil)
	sink.EndpointsUpdated(c.changed)
	close(c.reported)
	<-ctx.Done()
}

func (c changedEndpoints) Refresh() {}

// runWithChange runs an event loop until it has handled a change of the endpoint list, and returns the loop's state.
// The loop calls observe whenever it opens a worker client, with the number of endpoint steps completed so far.
func runWithChange(t *testing.T, changed []discovery.Worker, observe func(step uint64)) LoopSnapshot {
	t.Helper()
	settings := Settings{Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, ClockStart: time.Now()}
	source := changedEndpoints{changed, make(chan struct{})}
	loop := NewEventLoop(EventLoopConfig{Settings: settings, Source: source, RequestQueue: 1, EventQueue: 64, ShutdownTimeout: time.Second}, zerolog.Nop())
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
	for snapshot.Workers < len(changed) {
		snapshot = loop.Snapshot()
	}
	cancel()
	<-ended
	return snapshot
}

// TestEndpointsUpdated_ThousandsOfChanges_StepsAreBounded checks that a deployment that changes thousands of workers is
// handled in several steps, so that requests, responses and timers are handled in between.
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
			t.Errorf("step %d handled %d changes, want at most 128", step, count)
		}
	}
}

// TestEndpointChanges_NotReadyComeFirst checks that the changes of workers that must not be sent new work are taken
// first, however many other changes are pending.
func TestEndpointChanges_NotReadyComeFirst(t *testing.T) {
	changes := newEndpointChanges(endpointlease.Lease{})
	var many []discovery.Worker
	for i := range maxEndpointChanges {
		many = append(many, discovery.Worker{Name: fmt.Sprint("new", i), State: scheduler.Ready})
	}
	changes.add(many)
	changes.add([]discovery.Worker{{Name: "draining", State: scheduler.Draining}, {Name: "removed", State: scheduler.Removed}})
	changes.add([]discovery.Worker{{Name: "new5", State: scheduler.Removed}})
	var first []string
	step, _ := changes.take()
	taken := step.changed
	for _, worker := range taken[:4] {
		first = append(first, worker.Name)
	}
	if want := []string{"new5", "draining", "removed", "new0"}; !slices.Equal(first, want) {
		t.Errorf("workers %v are taken first, want %v", first, want)
	}
	if len(taken) != maxEndpointChanges {
		t.Errorf("%d changes are taken in a step, want %d", len(taken), maxEndpointChanges)
	}
}

// TestEndpointChanges_AnyChanges_LastStateCounts checks that applying the taken changes in order yields the latest
// state of each worker, even if workers change while others are pending.
func TestEndpointChanges_AnyChanges_LastStateCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := newEndpointChanges(endpointlease.Lease{})
		reported, applied := map[string]discovery.Worker{}, map[string]discovery.Worker{}
		take := func() bool {
			step, ok := changes.take()
			for _, worker := range step.changed {
				applied[worker.Name] = worker
			}
			return ok
		}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			var changed []discovery.Worker
			for range rapid.IntRange(0, 2*maxEndpointChanges).Draw(t, "changes") {
				worker := discovery.Worker{
					Name:  fmt.Sprint(rapid.IntRange(0, 400).Draw(t, "name")),
					State: scheduler.WorkerState(rapid.IntRange(int(scheduler.Ready), int(scheduler.Removed)).Draw(t, "state")),
				}
				changed = append(changed, worker)
				reported[worker.Name] = worker
			}
			changes.add(changed)
			if rapid.Bool().Draw(t, "taken meanwhile") {
				take()
			}
		}
		for take() {
		}
		if !maps.Equal(applied, reported) {
			t.Fatalf("applied %v, reported %v", applied, reported)
		}
		if len(changes.byName)+len(changes.inOrder) > 0 {
			t.Fatalf("%d workers by name and %d in order are still pending", len(changes.byName), len(changes.inOrder))
		}
	})
}

// TestEndpointChanges_MoreThanOneStep_LeaseIsExtendedByLastStep checks that the lease is extended only by the step that
// handles the last of the changes that were reported before the lease.
func TestEndpointChanges_MoreThanOneStep_LeaseIsExtendedByLastStep(t *testing.T) {
	rules := endpointlease.Rules{NotifiedAfterSilence: time.Second}
	changes := newEndpointChanges(endpointlease.New(rules, 0))
	var many []discovery.Worker
	for i := range maxEndpointChanges + 1 {
		many = append(many, discovery.Worker{Name: fmt.Sprint("w", i), State: scheduler.Draining})
	}
	changes.add(many)
	changes.observe(func(lease *endpointlease.Lease) { lease.Confirm(time.Minute) })
	for _, wantComplete := range []bool{false, true} {
		step, ok := changes.take()
		if !ok || step.isComplete != wantComplete || step.lease.ConfirmedAt() != time.Minute {
			t.Errorf("ok %t, complete %t, want complete %t", ok, step.isComplete, wantComplete)
		}
	}
	if _, ok := changes.take(); ok {
		t.Error("the unchanged lease was taken twice")
	}
}

// orderingScheduler records the order in which it is called.
type orderingScheduler struct {
	Scheduler
	calls *[]string
}

func (s orderingScheduler) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, complete bool) {
	*s.calls = append(*s.calls, "workers changed")
	s.Scheduler.WorkersChanged(now, list, complete)
}

func (s orderingScheduler) TimerFired(now time.Duration, token uint64) {
	*s.calls = append(*s.calls, "timer")
	s.Scheduler.TimerFired(now, token)
}

// TestBeginPass_DrainAndTimerDue_DrainFirst checks that a pending drain is handled before a timer that is due,
// because the timer may send new work.
func TestBeginPass_DrainAndTimerDue_DrainFirst(t *testing.T) {
	loop := newIdleLoop(4)
	var calls []string
	loop.frontEnd.scheduler = orderingScheduler{loop.frontEnd.scheduler, &calls}
	loop.newTestClient = func(*EventLoop) WorkerClient { return &fakeWorkerClient{} }
	loop.endpointChanges.add([]discovery.Worker{{Name: "w", Address: "h:1", Scale: 1, State: scheduler.Draining}})
	loop.frontEnd.timers.add(&timer{kind: schedulerTimer, due: 0})
	loop.beginPass()
	if want := []string{"workers changed", "timer"}; len(calls) < 2 || !slices.Equal(calls[:2], want) {
		t.Errorf("scheduler calls %v, want %v first", calls, want)
	}
}
