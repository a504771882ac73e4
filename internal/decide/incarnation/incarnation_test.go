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
			t.Fatalf("at %v it counts as started at %v", now, got)
		}
	}
}

func TestObserveList_EarlierStart_ChangesNothing(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, 30*time.Second)
	if got := listOne(tracker, time.Minute, scheduler.UnknownStart); got != 30*time.Second {
		t.Errorf("started %v", got)
	}
}

func TestObserveList_LaterStart_IsARestart(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, scheduler.UnknownStart)
	if got := listOne(tracker, time.Minute, 50*time.Second); got != 50*time.Second {
		t.Errorf("started %v", got)
	}
}

func TestObserveConnection_LaterThanListed_PrecedesTheList(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, scheduler.UnknownStart) // its clock was set back: the list knows of no start
	info, restarted := tracker.ObserveConnection(time.Minute, 1, 7, time.Second)
	if !restarted || info.Started != 59*time.Second {
		t.Fatalf("started %v, restarted %t", info.Started, restarted)
	}
	if got := listOne(tracker, 2*time.Minute, scheduler.UnknownStart); got != 59*time.Second {
		t.Errorf("the list undid it: %v", got)
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
		t.Errorf("started %v, restarted %t: a new process with a wrong clock", info.Started, restarted)
	}
}

func TestObserveConnection_WithinTolerance_IsTheSameStart(t *testing.T) {
	tracker := New()
	listOne(tracker, time.Minute, 58*time.Second)
	if _, restarted := tracker.ObserveConnection(time.Minute, 1, 7, time.Second); restarted {
		t.Error("a second of difference between two clocks counts as a restart")
	}
}

func TestObserveConnection_UnlistedWorker_IsIgnored(t *testing.T) {
	if _, restarted := New().ObserveConnection(0, 5, 1, 0); restarted {
		t.Error("a worker that no list named counts as restarted")
	}
}

func TestObserveList_ManyFormerWorkers_AreForgotten(t *testing.T) {
	tracker := New()
	for i := range 10 * maxUnlistedWorkers {
		tracker.ObserveList(time.Duration(i)*time.Second, []scheduler.WorkerInfo{{ID: scheduler.WorkerID(i), State: scheduler.Ready}})
	}
	if n := len(tracker.workers); n > 1+maxUnlistedWorkers {
		t.Errorf("%d workers are remembered, one is listed", n)
	}
}
