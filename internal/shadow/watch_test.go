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
func (n *notes) Reject(r scheduler.RequestID, after time.Duration) { n.add("refuse %d, %v", r, after) }
func (n *notes) Fail(r scheduler.RequestID)                        { n.add("fail %d", r) }
func (n *notes) Cancel(r scheduler.RequestID, number int)          { n.add("cancel %d, %d", r, number) }
func (n *notes) SetTimer(after time.Duration, token uint64)        { n.add("wake %v, %d", after, token) }
func (n *notes) Log(text string)                                   { n.add("%s", text) }
func (n *notes) Load(w scheduler.WorkerID, f scheduler.FunctionID, copies int) {
	n.orders = append(n.orders, order{w, f, copies})
	n.add("load %d of %d at %d", copies, f, w)
}

func settings() scheduler.Settings {
	return scheduler.Settings{Seed: 1, FrontEndCount: 20, ReplicaIdleTimeout: 2 * time.Second, LoadOrdersAllowed: true, CancelAllowed: true, ReportsColdStart: true,
		ReportsQueueDepth: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, LoadRateWindow: 5 * time.Second, LoadRateBurst: 4, LoadRatePerRequest: 0.2, Resolution: 2 * ms,
		Classes: []scheduler.Class{
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.Idempotent},
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 3, Idempotency: scheduler.IdempotentByKey, KeyScope: scheduler.ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 2, Idempotency: scheduler.NonIdempotent},
		}}
}

// module takes the events of a day.
type module interface {
	WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool)
	TimerFired(now time.Duration, token uint64)
	RequestReceived(now time.Duration, r scheduler.Request)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	ClientDisconnected(now time.Duration, id scheduler.RequestID)
	LoadEnded(now time.Duration, l scheduler.LoadResult)
}

func workers(n int) (list []scheduler.WorkerInfo) {
	for i := range n {
		list = append(list, scheduler.WorkerInfo{ID: scheduler.WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: scheduler.UnknownStart,
			State: scheduler.Ready})
	}
	return list
}

// play plays a bad day of a few seconds that follows from seed and from what the module asks for.
func play(m module, n *notes, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	now := time.Minute
	m.WorkersChanged(now, workers(9), true)
	attempts := map[scheduler.RequestID]int{}
	for next := scheduler.RequestID(1); next < 400; {
		now += time.Duration(1+draw.IntN(10)) * ms
		for range draw.IntN(3) {
			class := draw.IntN(3)
			m.RequestReceived(now, scheduler.Request{ID: next, Class: class, Function: scheduler.FunctionID(class + 3*int(draw.ExpFloat64()*2)),
				ReplicaConcurrency: 2, Timeout: time.Duration(300+draw.IntN(1700)) * ms})
			next++
		}
		for _, o := range slices.Clone(n.orders) {
			status := scheduler.OK
			if draw.IntN(5) == 0 {
				status = scheduler.Overloaded
			}
			n.orders = n.orders[1:]
			m.LoadEnded(now, scheduler.LoadResult{Worker: o.worker, Function: o.function, Status: status, Latency: 40 * ms, Replicas: draw.IntN(2)})
		}
		for range min(len(n.sent), draw.IntN(4)) {
			r := n.sent[0]
			n.sent = n.sent[1:]
			status := scheduler.Status(1 + draw.IntN(9))
			if draw.IntN(4) > 0 {
				status = scheduler.OK
			}
			m.AttemptEnded(now, scheduler.Outcome{Request: r, Attempt: attempts[r], Worker: n.at[r], Status: status, RequestClosed: status == scheduler.OK,
				Latency: time.Duration(20+draw.IntN(300)) * ms, ColdStart: scheduler.WarmStart, QueueDepth: draw.IntN(6)})
			attempts[r]++
		}
		switch draw.IntN(40) {
		case 0:
			m.ClientDisconnected(now, next-1)
		case 1:
			w := workers(9)[draw.IntN(9)]
			w.Started = now
			m.WorkersChanged(now, []scheduler.WorkerInfo{w}, false)
		}
		m.TimerFired(now, 0)
	}
}

func TestWatchingChangesNoAction(t *testing.T) {
	other := settings()
	other.MaxRetryAfter, other.LoadRateBurst, other.LoadOrdersAllowed, other.FrontEndCount = 0, 1, false, 300
	for seed := range uint64(3) {
		plain, watched := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}, &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
		play(scheduler.New(time.Minute, settings(), plain), plain, seed)
		m := New(time.Minute, settings(), Settings{Scheduler: other, SampleInterval: 1}, watched, func(string) {})
		play(m, watched, seed)
		if !slices.Equal(plain.all, watched.all) {
			at := 0
			for at < min(len(plain.all), len(watched.all)) && plain.all[at] == watched.all[at] {
				at++
			}
			t.Fatalf("seed %d: action %d of %d differs while other settings are watched", seed, at, len(plain.all))
		}
		if c := m.Counts(); c.Compared == 0 || c.ResidencyQuery == 0 || c.OtherResponse == 0 {
			t.Errorf("seed %d: nothing is seen of settings that differ: %+v", seed, c)
		}
	}
}

func TestSameSettingsNeverDiffer(t *testing.T) {
	n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
	m := New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: 1}, n, func(kind string) { t.Errorf("differs: %s", kind) })
	play(m, n, 7)
	if c := m.Counts(); c != (Counts{Compared: c.Compared}) {
		t.Errorf("counts %+v with the same settings", c)
	}
}

func TestDifferencesAreCountedOnceInTheirKind(t *testing.T) {
	tests := []struct {
		name   string
		change func(*scheduler.Settings)
		want   Counts
	}{
		{"advice left out", func(s *scheduler.Settings) { s.MaxRetryAfter = 0 }, Counts{OtherResponse: 1}},
		{"no orders: nobody is asked, the call loads at once", func(s *scheduler.Settings) { s.LoadOrdersAllowed = false }, Counts{ResidencyQuery: 5, OtherQueueing: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := settings()
			test.change(&other)
			n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
			var kinds []string
			m := New(time.Minute, settings(), Settings{Scheduler: other}, n, func(kind string) { kinds = append(kinds, kind) })
			m.WorkersChanged(time.Minute, workers(9), true)
			budget := 2 * time.Second
			if test.want.OtherResponse > 0 {
				budget = ms // too late on arrival: refused at once
			}
			m.RequestReceived(time.Minute, scheduler.Request{ID: 1, Function: 7, ReplicaConcurrency: 2, Timeout: budget})
			test.want.Compared = 2
			got := m.Counts()
			if got != test.want || len(kinds) == 0 {
				t.Errorf("counts %+v of %q, want %+v", got, kinds, test.want)
			}
		})
	}
}

func TestOneEventInManyIsLookedAt(t *testing.T) {
	n := &notes{at: map[scheduler.RequestID]scheduler.WorkerID{}}
	m := New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: 10}, n, func(string) {})
	for i := range 95 {
		m.TimerFired(time.Minute+time.Duration(i)*ms, 0)
	}
	if looked := m.Counts().Compared; looked != 9 {
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
					play(New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: every}, n, func(string) {}), n, 1)
				}
			}
		})
	}
}
