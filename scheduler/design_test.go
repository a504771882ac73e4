package scheduler

import (
	"testing"
	"time"
)

func TestTiesRotateOverWarmWorkers(t *testing.T) {
	s := start(t, settings(), 3)
	r := s.arrive(7, 0)
	s.answerAsks(1, 2, 3)
	s.end(r, OK, WarmStart)
	seen := map[WorkerID]int{}
	for range 9 {
		r := s.arrive(7, 0)
		seen[s.at(r)]++
		s.now += 10 * ms
		s.end(r, OK, WarmStart)
	}
	if len(seen) != 3 {
		t.Errorf("idle warm workers alike in all got %v of nine calls", seen)
	}
}

func TestFewestRequestsOutIsPicked(t *testing.T) {
	s := start(t, settings(), 2)
	first := s.arrive(7, 0)
	s.answerAsks(1, 2)
	if second := s.arrive(7, 0); s.at(second) == s.at(first) {
		t.Error("the second call went to the worker that has the first, another warm one has none")
	}
}

func TestLoadTimeIsLearnedFromTheFirstAnswer(t *testing.T) {
	s := start(t, settings(), 2)
	s.warm(7) // 600 ms for the first answer, 100 ms a run
	f := s.c.functions[7]
	if load := s.c.loadOf(f); load < 400*ms || load > 600*ms {
		t.Errorf("a load is taken for %v, want 600 ms less a run", load)
	}
	if run := s.c.runOf(f); run < 90*ms || run > 110*ms {
		t.Errorf("a run is taken for %v, want 100 ms", run)
	}
}

func TestLoadUnderWayCountsInTheDrain(t *testing.T) {
	s := start(t, settings(), 4)
	s.warm(7)
	f := s.c.functions[7]
	before := s.c.drain(f, 40, 0)
	w := s.c.pickCold(f, &request{class: &s.c.set.Classes[0], f: f, aim: never}, 0)
	f.replicas = append(f.replicas, &replica{w: w, f: f, loading: true, since: s.now})
	if during := s.c.drain(f, 40, 0); during >= before || during <= s.c.loadOf(f) {
		t.Errorf("40 requests take %v with a load under way, %v without", during, before)
	}
}

func TestHeldFunctionProbesAWorkerNotReachedForLong(t *testing.T) {
	for _, idle := range []time.Duration{probeIdle / 2, probeIdle} {
		s := start(t, settings(), 2)
		w := s.warm(7)
		for range int(idle / time.Second) { // the belief in w stays, the other worker is not reached
			r := s.arrive(7, 0)
			s.now += 100 * ms
			s.end(r, OK, WarmStart)
			s.now += 900 * ms
		}
		for range 2 + 1 {
			s.arrive(7, 0)
		}
		probes := 0
		for _, at := range s.sentTo {
			if at[len(at)-1] != w {
				probes++
			}
		}
		if want := int(idle / probeIdle); probes != want {
			t.Errorf("%d calls sent as probes after %v, want %d", probes, idle, want)
		}
	}
}

func TestLentWorkerTakesOneIfSlower(t *testing.T) {
	s := start(t, settings(), 2)
	warm := s.warm(7)
	cold := s.c.workers[3-warm]
	cold.wait = fading{float64(100 * ms), s.now, s.now}
	for range 30 {
		s.arrive(7, 0)
	}
	s.answerAsks()
	if len(cold.out) != 1 {
		t.Errorf("%d calls wait for the load at a worker half as fast, want 1", len(cold.out))
	}
}
