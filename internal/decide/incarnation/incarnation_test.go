package incarnation

import (
	"testing"
	"time"

	"havencart/scheduler"
)

func listOne(tracker *Tracker, now, started time.Duration) time.Duration {
	return tracker.ObserveList(now, []scheduler.WorkerInfo{{ID: 1, Started: started, State: scheduler.Ready}})[0].Started
}

func TestObserveList_StartInTheFuture_CountsAsNow(t *testing.T) {
	tracker := New()
	for now := time.Minute; now < 2*time.Minute; now += time.Second {
		if got := listOne(tracker, now, 1000*time.Hour); got != time.Minute {
			t.Fatalf("at %v: effective start %v, want %v", now, got, time.Minute)
		}
	}
}

func TestObserveList_EarlierStart_ChangesNothing(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, 30*time.Second)
	if got := listOne(tracker, time.Minute, scheduler.UnknownStart); got != 30*time.Second {
		t.Errorf("effective start %v, want 30s", got)
	}
}

func TestObserveList_LaterStart_IsARestart(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, scheduler.UnknownStart)
	if got := listOne(tracker, time.Minute, 50*time.Second); got != 50*time.Second {
		t.Errorf("effective start %v, want 50s", got)
	}
}

func TestObserveConnection_LaterThanListed_OverridesList(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, scheduler.UnknownStart) // the worker's clock was set back, so the list has no start time
	info, restarted := tracker.ObserveConnection(time.Minute, 1, 7, time.Second)
	if !restarted || info.Started != 59*time.Second {
		t.Fatalf("effective start %v, restarted %t; want 59s, true", info.Started, restarted)
	}
	if got := listOne(tracker, 2*time.Minute, scheduler.UnknownStart); got != 59*time.Second {
		t.Errorf("effective start %v after another list, want 59s as reported by the worker", got)
	}
	if _, restarted := tracker.ObserveConnection(2*time.Minute, 1, 7, 61*time.Second); restarted {
		t.Error("another connection to the same process counts as a restart")
	}
}

func TestObserveConnection_OtherIncarnation_IsARestart(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, 59*time.Second)
	tracker.ObserveConnection(time.Minute, 1, 7, time.Second)
	info, restarted := tracker.ObserveConnection(time.Minute+time.Second, 1, 8, time.Hour)
	if !restarted || info.Started <= 59*time.Second {
		t.Errorf("new process with a wrong clock: effective start %v, restarted %t; want a later start than 59s, true", info.Started, restarted)
	}
}

func TestObserveConnection_WithinTolerance_IsTheSameStart(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, 58*time.Second)
	if _, restarted := tracker.ObserveConnection(time.Minute, 1, 7, time.Second); restarted {
		t.Error("a difference of one second between two clocks counts as a restart")
	}
}

func TestObserveConnection_UnlistedWorker_IsIgnored(t *testing.T) {
	if _, restarted := New().ObserveConnection(0, 5, 1, 0); restarted {
		t.Error("a worker that was never listed counts as restarted")
	}
}

func TestObserveList_ManyFormerWorkers_AreForgotten(t *testing.T) {
	tracker := New()
	for i := range 10 * maxUnlistedWorkers {
		tracker.ObserveList(time.Duration(i)*time.Second, []scheduler.WorkerInfo{{ID: scheduler.WorkerID(i), State: scheduler.Ready}})
	}
	if n := len(tracker.workers); n > 1+maxUnlistedWorkers {
		t.Errorf("%d workers are tracked with one listed, want at most %d", n, 1+maxUnlistedWorkers)
	}
}
