package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"havencart/scheduler"
)

// reportSink keeps the last list and the last changes reported, and counts the reports.
type reportSink struct {
	list, changed []Worker
	reports       int
}

func (r *reportSink) EndpointsListed(list []Worker)     { r.list, r.reports = list, r.reports+1 }
func (r *reportSink) EndpointsUpdated(changed []Worker) { r.changed, r.reports = changed, r.reports+1 }
func (r *reportSink) WatchFailed(error)                 {}
func (r *reportSink) ListRequested(time.Time)           {}
func (r *reportSink) ListConfirmed(time.Time)           {}

func TestListComparer_SecondList_ReportsChangesOnly(t *testing.T) {
	sink := &reportSink{}
	comparer := &listComparer{Sink: sink}
	started := time.UnixMilli(1000)
	worker := func(name string) Worker {
		return Worker{Name: name, Scale: 1, State: scheduler.Ready, Started: started}
	}
	first := []Worker{worker("a"), worker("b"), worker("c")}
	comparer.EndpointsListed(first)
	if sink.reports != 1 || len(sink.list) != 3 {
		t.Fatalf("first list: %d reports, the list has %d", sink.reports, len(sink.list))
	}
	again := worker("a")
	again.Started = started.UTC() // the same instant
	restarted := worker("b")
	restarted.Started = started.Add(time.Second)
	comparer.EndpointsListed([]Worker{again, restarted, worker("d")})
	var changes []string
	for _, w := range sink.changed {
		changes = append(changes, fmt.Sprint(w.Name, w.State))
	}
	want := []string{fmt.Sprint("c", scheduler.Removed), fmt.Sprint("b", scheduler.Ready), fmt.Sprint("d", scheduler.Ready)}
	if !slices.Equal(changes, want) {
		t.Errorf("changes %v, want %v", changes, want)
	}
	comparer.EndpointsListed([]Worker{worker("d"), restarted, worker("a")})
	if sink.reports != 3 || len(sink.changed) != 0 {
		t.Errorf("the same list in another order: %d reports, the last one changes %v", sink.reports, sink.changed)
	}
}

// TestListComparer_RandomLists_ReportsReproduceEachList checks that applying the reports in order reproduces each list.
func TestListComparer_RandomLists_ReportsReproduceEachList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sink := &reportSink{}
		comparer := &listComparer{Sink: sink}
		listed := map[string]Worker{}
		for range rapid.IntRange(1, 8).Draw(t, "lists") {
			var list []Worker
			for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID[int]).Draw(t, "workers") {
				list = append(list, Worker{Name: fmt.Sprint(number), Scale: float64(1 + rapid.IntRange(0, 1).Draw(t, "scale"))})
			}
			sink.list, sink.changed = nil, nil
			comparer.EndpointsListed(list)
			for _, worker := range slices.Concat(sink.list, sink.changed) {
				if listed[worker.Name] = worker; worker.State == scheduler.Removed {
					delete(listed, worker.Name)
				}
			}
			if len(listed) != len(list) {
				t.Fatalf("%d workers are listed, want %d", len(listed), len(list))
			}
			for _, worker := range list {
				if listed[worker.Name] != worker {
					t.Fatalf("listed %+v, want %+v", listed[worker.Name], worker)
				}
			}
		}
	})
}
