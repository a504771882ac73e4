package scheduler

import (
	"testing"
	"time"
)

// These tests are of what one front end among hundreds must see, with a call at a time and no backlog of its own.

// crowd ends the latest attempt of r as a worker does that held crowd calls of the function when it came.
func (s *script) crowd(r RequestID, status Status, crowd int) {
	s.t.Helper()
	s.c.AttemptEnded(s.now, Outcome{Request: r, Attempt: len(s.sentTo[r]) - 1, Worker: s.at(r), Status: status,
		Latency: s.since(r), RequestClosed: status == OK, ColdStart: WarmStart, QueueDepth: crowd})
}

func TestCopyCrowdedByOthersIsLeftForALoad(t *testing.T) {
	for _, test := range []struct {
		name  string
		took  time.Duration
		crowd int
		load  bool
	}{
		{"quick", 100 * ms, 0, false},
		{"late behind others", 2500 * ms, 20, true},
		{"late at a slow worker", 2500 * ms, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, settings(), 4)
			w := s.warm(7)
			r := s.arrive(7, 0)
			s.pass(test.took)
			s.crowd(r, OK, test.crowd)
			s.pass(time.Second)
			r = s.arrive(7, 0)
			s.answerAsks() // no copy stands elsewhere
			if moved := s.at(r) != w; moved != test.load {
				t.Errorf("after an answer in %v with %d others there the next call loads elsewhere: %v", test.took, test.crowd, moved)
			}
		})
	}
}

// TestWaitIsForgottenSoonerWhereWorkersAreMetOften holds that a front end with many calls for few workers does not
// shun one for long after a wait that passed.
func TestWaitIsForgottenSoonerWhereWorkersAreMetOften(t *testing.T) {
	s := start(t, settings(), 4)
	s.warm(7)
	s.pass(tick)
	seldom := s.c.waitFade
	for range 400 {
		s.end(s.arrive(7, 0), OK, WarmStart)
		s.pass(tick)
	}
	if often := s.c.waitFade; seldom != waitMost || often > waitMost/4 || often < waitLeast {
		t.Errorf("waits are remembered for %v with few calls, %v with many", seldom, often)
	}
}

func TestWaitIsForgotten(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	r := s.arrive(7, 0)
	s.pass(2500 * ms)
	s.end(r, OK, WarmStart)
	before := s.c.waitOf(w)
	s.pass(2 * waitMost)
	if after := s.c.waitOf(w); before < time.Second || after > before/4 {
		t.Errorf("a wait of %v counts as %v %v later", before, after, 2*waitMost)
	}
}

func TestFullWorkerIsNotAskedAgainAtOnce(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	r := s.arrive(7, 0)
	s.crowd(r, Overloaded, 20)
	s.answerAsks()
	if sent := s.sentTo[r]; len(sent) != 2 || sent[1] == w {
		t.Errorf("a call turned away at worker %d went on to %v", w, sent)
	}
}

func TestSilentWorkerDoesNotLookIdle(t *testing.T) {
	s := start(t, settings(), 8)
	f := s.c.meet(7, 0)
	order := s.c.ranked(f)
	for _, w := range order[:6] {
		w.wait = fading{float64(time.Second), s.now, s.now}
	}
	s.c.usual = s.c.middle()
	r := &request{class: &s.c.set.Classes[0], f: f, aim: never}
	if w := s.c.pickCold(f, r, 0); w != order[0] {
		t.Errorf("worker %d is to load, want the first rank %d, no busier than the middle one", w.ID, order[0].ID)
	}
	order[0].wait.value *= 3
	if w := s.c.pickCold(f, r, 0); w != order[1] {
		t.Errorf("worker %d is to load, want the second rank %d, the first is busier than the middle one", w.ID, order[1].ID)
	}
}

func TestLoadCostsWhatItPushesOut(t *testing.T) {
	s := start(t, settings(), 4)
	s.warm(7)
	f := s.c.functions[7]
	before := s.c.price(f)
	for range 3 {
		r := s.arrive(7, 0)
		s.pass(700 * ms)
		s.end(r, OK, ColdStartTriggered) // the copy that we counted on was gone
	}
	if after := s.c.price(f); after < before+s.c.loadOf(f)/2 {
		t.Errorf("a load costs %v after copies were found gone, %v before", after, before)
	}
}

func TestOnlyTheFirstByRankAreAsked(t *testing.T) {
	for _, workers := range []int{3, 60} {
		s := start(t, settings(), workers)
		r := s.arrive(7, 0)
		if n := len(s.asks); n != min(workers, askFirst) {
			t.Errorf("%d of %d workers asked, want %d", n, workers, min(workers, askFirst))
		}
		for range s.asks {
			a := s.asks[0]
			s.asks = s.asks[1:]
			s.c.LoadEnded(s.now, LoadResult{Worker: a.w, Function: a.f, Status: OK, Latency: ms})
		}
		if first := s.c.ranked(s.c.functions[7])[0].ID; len(s.asks) != 0 || s.at(r) != first {
			t.Errorf("of %d workers %d more were asked, the call went to worker %d, not %d", workers, len(s.asks), s.at(r), first)
		}
	}
}

func TestRunsOfNoTimeLeaveNoRequestUnanswered(t *testing.T) {
	s := start(t, settings(), 2)
	w := s.c.workers[s.warm(7)]
	for range 30 {
		s.end(s.arrive(7, 0), OK, WarmStart)
	}
	w.limit = 1
	s.arrive(7, 0)
	held := s.arrive(7, 0)
	s.pass(3 * time.Second)
	if s.answers[held] == "" {
		t.Errorf("no answer for a request held behind runs of no time, expected run %v", s.c.runOf(s.c.functions[7]))
	}
}

func TestNoCallWhereItsClientWillNotWait(t *testing.T) {
	for _, test := range []struct {
		budget time.Duration
		answer string
	}{{3 * time.Second, ""}, {450 * ms, "refused"}} {
		s := start(t, settings(), 1)
		w := s.c.workers[s.warm(7)]
		w.wait = fading{float64(400 * ms), s.now, s.now}
		s.nextID++
		s.c.RequestReceived(s.now, Request{ID: s.nextID, Function: 7, Timeout: test.budget, ReplicaConcurrency: 2})
		s.pass(350 * ms)
		if sent := len(s.sentTo[s.nextID]) > 0; sent != (test.answer == "") || s.answers[s.nextID] != test.answer {
			t.Errorf("a call with %v left, for a worker where calls wait 400 ms: sent %v, answer %q", test.budget, sent, s.answers[s.nextID])
		}
	}
}

func TestClientThatLeftIsWorkedForNoLonger(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		set := settings()
		set.CancelAllowed = mayCancel
		s := start(t, set, 1)
		s.warm(7)
		r := s.arrive(7, 0)
		s.c.ClientDisconnected(s.now, r)
		if called := s.count("cancel") == 1; called != mayCancel {
			t.Errorf("called back %v after its client left, allowed %v", called, mayCancel)
		}
		s.pass(time.Second)
		s.end(r, Cancelled, ColdStartUnknown)
		if w := s.c.workers[s.at(r)]; s.c.waitOf(w) < 400*ms {
			t.Errorf("a call called back after a second tells of a wait of %v", s.c.waitOf(w))
		}
		if s.answers[r] != "" || len(s.sentTo[r]) != 1 {
			t.Errorf("a call whose client left got answer %q, sent %d times", s.answers[r], len(s.sentTo[r]))
		}
	}
}
