package incarnation

import (
	"testing"
	"time"

	"havencart/scheduler"
)

func one(r *Tracker, now, started time.Duration) time.Duration {
	return r.ObserveList(now, []scheduler.WorkerInfo{{ID: 1, Started: started, State: scheduler.Ready}})[0].Started
}

func TestAStartInTheFutureIsNowAndStays(t *testing.T) {
	r := New()
	for now := time.Minute; now < 2*time.Minute; now += time.Second {
		if got := one(r, now, 1000*time.Hour); got != time.Minute {
			t.Fatalf("at %v it counts as started at %v", now, got)
		}
	}
}

func TestAnOlderListChangesNothing(t *testing.T) {
	r := New()
	one(r, time.Minute, 30*time.Second)
	if got := one(r, time.Minute, scheduler.UnknownStart); got != 30*time.Second {
		t.Errorf("started %v", got)
	}
}

func TestARestartByTheListCounts(t *testing.T) {
	r := New()
	one(r, time.Minute, scheduler.UnknownStart)
	if got := one(r, time.Minute, 50*time.Second); got != 50*time.Second {
		t.Errorf("started %v", got)
	}
}

func TestTheWorkersOwnWordComesBeforeTheList(t *testing.T) {
	r := New()
	one(r, time.Minute, scheduler.UnknownStart) // its clock was set back: the list knows of no start
	info, news := r.ObserveConnection(time.Minute, 1, 7, time.Second)
	if !news || info.Started != 59*time.Second {
		t.Fatalf("started %v, news %t", info.Started, news)
	}
	if got := one(r, 2*time.Minute, scheduler.UnknownStart); got != 59*time.Second {
		t.Errorf("the list undid it: %v", got)
	}
	if _, news := r.ObserveConnection(2*time.Minute, 1, 7, 61*time.Second); news {
		t.Error("another connection to the same process is news")
	}
}

func TestAnotherLifeIsAlwaysNews(t *testing.T) {
	r := New()
	one(r, time.Minute, 59*time.Second)
	r.ObserveConnection(time.Minute, 1, 7, time.Second)
	info, news := r.ObserveConnection(time.Minute+time.Second, 1, 8, time.Hour)
	if !news || info.Started <= 59*time.Second {
		t.Errorf("started %v, news %t: a new life with a wrong clock", info.Started, news)
	}
}

func TestOneStartToldTwiceIsOneStart(t *testing.T) {
	r := New()
	one(r, time.Minute, 58*time.Second)
	if _, news := r.ObserveConnection(time.Minute, 1, 7, time.Second); news {
		t.Error("a second of difference between two clocks is news")
	}
}

func TestAStrangerIsNotTakenOn(t *testing.T) {
	if _, news := New().ObserveConnection(0, 5, 1, 0); news {
		t.Error("a worker that no list named is news")
	}
}

func TestWorkersOfLongAgoAreForgotten(t *testing.T) {
	r := New()
	for i := range 10 * spare {
		r.ObserveList(time.Duration(i)*time.Second, []scheduler.WorkerInfo{{ID: scheduler.WorkerID(i), State: scheduler.Ready}})
	}
	if n := len(r.workers); n > 1+spare {
		t.Errorf("%d workers are remembered, one is listed", n)
	}
}
