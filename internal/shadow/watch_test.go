package shadow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"havencart/scheduler"
)

const ms = time.Millisecond

// notes are the actions of a module, in their order.
type notes struct {
	nothing
	all    []string
	sent   []scheduler.RequestID
	at     map[scheduler.RequestID]scheduler.WorkerID
	orders []order
}

func (n *notes) add(format string, args ...any) { n.all = append(n.all, fmt.Sprintf(format, args...)) }

func (n *notes) Send(r scheduler.RequestID, w scheduler.WorkerID, until time.Duration) {
	n.sent, n.at[r] = append(n.sent, r), w
	n.add("send %d to %d until %v", r, w, until)
}
func (n *notes) Refuse(r scheduler.RequestID, after time.Duration) { n.add("refuse %d, %v", r, after) }
func (n *notes) Fail(r scheduler.RequestID)                        { n.add("fail %d", r) }
func (n *notes) Cancel(r scheduler.RequestID, number int)          { n.add("cancel %d, %d", r, number) }
func (n *notes) Wake(after time.Duration, token uint64)            { n.add("wake %v, %d", after, token) }
func (n *notes) Log(text string)                                   { n.add("%s", text) }
func (n *notes) Load(w scheduler.WorkerID, f scheduler.FunctionID, copies int) {
	n.orders = append(n.orders, order{w, f, copies})
	n.add("load %d of %d at %d", copies, f, w)
}

func settings() scheduler.Settings {
	return scheduler.Settings{Seed: 1, FrontEnds: 20, KeepAlive: 2 * time.Second, MayOrder: true, MayCancel: true, TellsWarm: true,
		TellsCrowd: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, ColdFrom: 0.2, ColdTime: 10 * time.Second, TipMultiple: 2,
		TipWindow: 2 * time.Second, LoadWindow: 5 * time.Second, LoadFree: 4, LoadShare: 0.2, Resolution: 2 * ms,
		Classes: []scheduler.Class{
			{Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 1, Repeat: scheduler.Safe},
			{Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 3, Repeat: scheduler.Keyed, Scope: scheduler.ScopeCell, Memory: time.Second},
			{Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 2, Repeat: scheduler.Unsafe},
		}}
}

// module takes the events of a day.
type module interface {
	Workers(now time.Duration, list []scheduler.WorkerInfo, whole bool)
	Woke(now time.Duration, token uint64)
	Arrive(now time.Duration, r scheduler.Request)
	Outcome(now time.Duration, o scheduler.Outcome)
	Gone(now time.Duration, id scheduler.RequestID)
	Loaded(now time.Duration, l scheduler.Loaded)
}

func workers(n int) (list []scheduler.WorkerInfo) {
	for i := range n {
		list = append(list, scheduler.WorkerInfo{ID: scheduler.WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: scheduler.LongAgo,
			State: scheduler.Ready})
	}
	return list
}

// play plays a bad day of a few seconds that follows from seed and from what the module asks for.
func play(m module, n *notes, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	now := time.Minute
	m.Workers(now, workers(9), true)
	attempts := map[scheduler.RequestID]int{}
	for next := scheduler.RequestID(1); next < 400; {
		now += time.Duration(1+draw.IntN(10)) * ms
		for range draw.IntN(3) {
			class := draw.IntN(3)
			m.Arrive(now, scheduler.Request{ID: next, Class: class, Function: scheduler.FunctionID(class + 3*int(draw.ExpFloat64()*2)),
				Lanes: 2, Budget: time.Duration(300+draw.IntN(1700)) * ms})
			next++
		}
		for _, o := range slices.Clone(n.orders) {
			status := scheduler.OK
			if draw.IntN(5) == 0 {
				status = scheduler.Full
			}
			n.orders = n.orders[1:]
			m.Loaded(now, scheduler.Loaded{Worker: o.worker, Function: o.function, Status: status, Latency: 40 * ms, Copies: draw.IntN(2)})
		}
		for range min(len(n.sent), draw.IntN(4)) {
			r := n.sent[0]
			n.sent = n.sent[1:]
			status := scheduler.Status(1 + draw.IntN(9))
			if draw.IntN(4) > 0 {
				status = scheduler.OK
			}
			m.Outcome(now, scheduler.Outcome{Request: r, Attempt: attempts[r], Worker: n.at[r], Status: status, Closed: status == scheduler.OK,
				Latency: time.Duration(20+draw.IntN(300)) * ms, Warmth: scheduler.FoundWarm, Crowd: draw.IntN(6)})
			attempts[r]++
		}
		switch draw.IntN(40) {
		case 0:
			m.Gone(now, next-1)
		case 1:
			w := workers(9)[draw.IntN(9)]
			w.Started = now
			m.Workers(now, []scheduler.WorkerInfo{w}, false)
		}
		m.Woke(now, 0)
	}
}

func TestWatchingChangesNoAction(t *testing.T) {
	other := settings()
	other.MaxRetryAfter, other.LoadFree, other.MayOrder, other.FrontEnds = 0, 1, false, 300
	for seed := range uint64(3) {
		plain, watched := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}, &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
		play(scheduler.New(time.Minute, settings(), plain), plain, seed)
		m := New(time.Minute, settings(), Settings{Control: other, Every: 1}, watched, func(string) {})
		play(m, watched, seed)
		if !slices.Equal(plain.all, watched.all) {
			at := 0
			for at < min(len(plain.all), len(watched.all)) && plain.all[at] == watched.all[at] {
				at++
			}
			t.Fatalf("seed %d: action %d of %d differs while other settings are watched", seed, at, len(plain.all))
		}
		if c := m.Counts(); c.Looked == 0 || c.Ask == 0 || c.Answer == 0 {
			t.Errorf("seed %d: nothing is seen of settings that differ: %+v", seed, c)
		}
	}
}

func TestSameSettingsNeverDiffer(t *testing.T) {
	n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
	m := New(time.Minute, settings(), Settings{Control: settings(), Every: 1}, n, func(kind string) { t.Errorf("differs: %s", kind) })
	play(m, n, 7)
	if c := m.Counts(); c != (Counts{Looked: c.Looked}) {
		t.Errorf("counts %+v with the same settings", c)
	}
}

func TestDifferencesAreCountedOnceInTheirKind(t *testing.T) {
	tests := []struct {
		name   string
		change func(*scheduler.Settings)
		want   Counts
	}{
		{"advice left out", func(s *scheduler.Settings) { s.MaxRetryAfter = 0 }, Counts{Answer: 1}},
		{"no orders: nobody is asked, the call loads at once", func(s *scheduler.Settings) { s.MayOrder = false }, Counts{Ask: 5, Held: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := settings()
			test.change(&other)
			n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
			var kinds []string
			m := New(time.Minute, settings(), Settings{Control: other}, n, func(kind string) { kinds = append(kinds, kind) })
			m.Workers(time.Minute, workers(9), true)
			budget := 2 * time.Second
			if test.want.Answer > 0 {
				budget = ms // too late on arrival: refused at once
			}
			m.Arrive(time.Minute, scheduler.Request{ID: 1, Function: 7, Lanes: 2, Budget: budget})
			test.want.Looked = 2
			got := m.Counts()
			if got != test.want || len(kinds) == 0 {
				t.Errorf("counts %+v of %q, want %+v", got, kinds, test.want)
			}
		})
	}
}

func TestOneEventInManyIsLookedAt(t *testing.T) {
	n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
	m := New(time.Minute, settings(), Settings{Control: settings(), Every: 10}, n, func(string) {})
	for i := range 95 {
		m.Woke(time.Minute+time.Duration(i)*ms, 0)
	}
	if looked := m.Counts().Looked; looked != 9 {
		t.Errorf("%d of 95 events looked at, want 9", looked)
	}
}

// BenchmarkEvents plays a day with and without other settings watched; their ratio is what watching costs.
func BenchmarkEvents(b *testing.B) {
	for _, every := range []int{0, 1, 10} {
		b.Run(fmt.Sprint("one-in-", every), func(b *testing.B) {
			for b.Loop() {
				n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
				if every == 0 {
					play(scheduler.New(time.Minute, settings(), n), n, 1)
				} else {
					play(New(time.Minute, settings(), Settings{Control: settings(), Every: every}, n, func(string) {}), n, 1)
				}
			}
		})
	}
}
