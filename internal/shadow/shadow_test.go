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

// actionLog records the actions of a scheduler in order.
type actionLog struct {
	discardActions
	all      []string
	sent     []scheduler.RequestID
	workerOf map[scheduler.RequestID]scheduler.WorkerID
	orders   []loadOrder
}

func newActionLog() *actionLog {
	return &actionLog{workerOf: map[scheduler.RequestID]scheduler.WorkerID{}}
}

func (l *actionLog) add(format string, args ...any) {
	l.all = append(l.all, fmt.Sprintf(format, args...))
}

func (l *actionLog) Send(r scheduler.RequestID, w scheduler.WorkerID, until time.Duration) {
	l.sent, l.workerOf[r] = append(l.sent, r), w
	l.add("send %d to %d until %v", r, w, until)
}

func (l *actionLog) Reject(r scheduler.RequestID, after time.Duration, _ scheduler.FinishCause) {
	l.add("reject %d, %v", r, after)
}

func (l *actionLog) Fail(r scheduler.RequestID, _ scheduler.FinishCause) { l.add("fail %d", r) }

func (l *actionLog) Cancel(r scheduler.RequestID, number int) { l.add("cancel %d, %d", r, number) }

func (l *actionLog) SetTimer(after time.Duration, token uint64) { l.add("timer %v, %d", after, token) }

func (l *actionLog) Log(text string) { l.add("%s", text) }

func (l *actionLog) Load(w scheduler.WorkerID, f scheduler.FunctionID, replicas int) {
	l.orders = append(l.orders, loadOrder{w, f, replicas})
	l.add("load %d of %d at %d", replicas, f, w)
}

func settings() scheduler.Settings {
	return scheduler.Settings{
		Seed: 1, FrontEndCount: 20, ReplicaIdleTimeout: 2 * time.Second, LoadOrdersAllowed: true, CancelAllowed: true, ReportsColdStart: true,
		ReportsQueueDepth: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, LoadRateWindow: 5 * time.Second, LoadRateBurst: 4, LoadRatePerRequest: 0.2, Resolution: 2 * ms,
		Classes: []scheduler.Class{
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.Idempotent},
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 3, Idempotency: scheduler.IdempotentByKey, KeyScope: scheduler.ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 2, Idempotency: scheduler.NonIdempotent},
		},
	}
}

// eventHandler handles the events of a simulation. scheduler.Scheduler and shadow.Scheduler both implement it.
type eventHandler interface {
	WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, complete bool)
	TimerFired(now time.Duration, token uint64)
	RequestReceived(now time.Duration, r scheduler.Request)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	ClientDisconnected(now time.Duration, id scheduler.RequestID)
	LoadEnded(now time.Duration, l scheduler.LoadResult)
}

func workers(n int) (list []scheduler.WorkerInfo) {
	for i := range n {
		list = append(list, scheduler.WorkerInfo{
			ID: scheduler.WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: scheduler.UnknownStart,
			State: scheduler.Ready,
		})
	}
	return list
}

// simulate has target handle a few seconds of events, many of them faults. The events are determined by seed and by the
// scheduler's actions.
func simulate(target eventHandler, actions *actionLog, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	now := time.Minute
	target.WorkersChanged(now, workers(9), true)
	attempts := map[scheduler.RequestID]int{}
	for next := scheduler.RequestID(1); next < 400; {
		now += time.Duration(1+draw.IntN(10)) * ms
		for range draw.IntN(3) {
			class := draw.IntN(3)
			target.RequestReceived(now, scheduler.Request{
				ID: next, Class: class, Function: scheduler.FunctionID(class + 3*int(draw.ExpFloat64()*2)),
				ReplicaConcurrency: 2, Timeout: time.Duration(300+draw.IntN(1700)) * ms,
			})
			next++
		}
		for _, o := range slices.Clone(actions.orders) {
			status := scheduler.OK
			if draw.IntN(5) == 0 {
				status = scheduler.Overloaded
			}
			actions.orders = actions.orders[1:]
			target.LoadEnded(now, scheduler.LoadResult{Worker: o.worker, Function: o.function, Status: status, Latency: 40 * ms, Replicas: draw.IntN(2)})
		}
		for range min(len(actions.sent), draw.IntN(4)) {
			r := actions.sent[0]
			actions.sent = actions.sent[1:]
			status := scheduler.Status(1 + draw.IntN(9))
			if draw.IntN(4) > 0 {
				status = scheduler.OK
			}
			target.AttemptEnded(now, scheduler.Outcome{
				Request: r, Attempt: attempts[r], Worker: actions.workerOf[r], Status: status, RequestClosed: status == scheduler.OK,
				Latency: time.Duration(20+draw.IntN(300)) * ms, ColdStart: scheduler.WarmStart, QueueDepth: draw.IntN(6),
			})
			attempts[r]++
		}
		switch draw.IntN(40) {
		case 0:
			target.ClientDisconnected(now, next-1)
		case 1:
			w := workers(9)[draw.IntN(9)]
			w.Started = now
			target.WorkersChanged(now, []scheduler.WorkerInfo{w}, false)
		}
		target.TimerFired(now, 0)
	}
}

func TestShadow_OtherSettings_ChangeNoAction(t *testing.T) {
	other := settings()
	other.MaxRetryAfter, other.LoadRateBurst, other.LoadOrdersAllowed, other.FrontEndCount = 0, 1, false, 300
	for seed := range uint64(3) {
		unshadowed, shadowed := newActionLog(), newActionLog()
		simulate(scheduler.New(time.Minute, settings(), unshadowed), unshadowed, seed)
		shadow := New(time.Minute, settings(), Settings{Scheduler: other, SampleInterval: 1}, shadowed, func(string) {})
		simulate(shadow, shadowed, seed)
		if !slices.Equal(unshadowed.all, shadowed.all) {
			at := 0
			for at < min(len(unshadowed.all), len(shadowed.all)) && unshadowed.all[at] == shadowed.all[at] {
				at++
			}
			t.Fatalf("seed %d: action %d of %d differs when alternative settings are evaluated", seed, at, len(unshadowed.all))
		}
		if c := shadow.Counts(); c.Compared == 0 || c.ResidencyQuery == 0 || c.OtherResponse == 0 {
			t.Errorf("seed %d: expected differences are missing, although the settings differ: %+v", seed, c)
		}
	}
}

func TestShadow_SameSettings_NeverDiffer(t *testing.T) {
	actions := newActionLog()
	shadow := New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: 1}, actions, func(kind string) { t.Errorf("difference reported with the same settings: %s", kind) })
	simulate(shadow, actions, 7)
	if c := shadow.Counts(); c != (Counts{Compared: c.Compared}) {
		t.Errorf("counts %+v with the same settings", c)
	}
}

func TestCounts_OneDifference_IsCountedByKind(t *testing.T) {
	tests := []struct {
		name   string
		change func(*scheduler.Settings)
		want   Counts
	}{
		{"no retry advice", func(s *scheduler.Settings) { s.MaxRetryAfter = 0 }, Counts{OtherResponse: 1}},
		{"no load orders: no residency query, the request loads at once", func(s *scheduler.Settings) { s.LoadOrdersAllowed = false }, Counts{ResidencyQuery: 5, OtherQueueing: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := settings()
			test.change(&other)
			actions := newActionLog()
			var kinds []string
			shadow := New(time.Minute, settings(), Settings{Scheduler: other}, actions, func(kind string) { kinds = append(kinds, kind) })
			shadow.WorkersChanged(time.Minute, workers(9), true)
			timeout := 2 * time.Second
			if test.want.OtherResponse > 0 {
				timeout = ms // the request cannot meet its deadline and is rejected immediately
			}
			shadow.RequestReceived(time.Minute, scheduler.Request{ID: 1, Function: 7, ReplicaConcurrency: 2, Timeout: timeout})
			test.want.Compared = 2
			got := shadow.Counts()
			if got != test.want || len(kinds) == 0 {
				t.Errorf("counts %+v, reported differences %q; want %+v", got, kinds, test.want)
			}
		})
	}
}

func TestSampleInterval_ManyEvents_ComparesOnePerInterval(t *testing.T) {
	actions := newActionLog()
	shadow := New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: 10}, actions, func(string) {})
	for i := range 95 {
		shadow.TimerFired(time.Minute+time.Duration(i)*ms, 0)
	}
	if compared := shadow.Counts().Compared; compared != 9 {
		t.Errorf("%d of 95 events compared, want 9", compared)
	}
}

// BenchmarkEvents runs a simulation with and without a shadow. The ratio of the times is the overhead of the shadow.
func BenchmarkEvents(b *testing.B) {
	for _, every := range []int{0, 1, 10} {
		b.Run(fmt.Sprint("one-in-", every), func(b *testing.B) {
			for b.Loop() {
				actions := newActionLog()
				if every == 0 {
					simulate(scheduler.New(time.Minute, settings(), actions), actions, 1)
				} else {
					simulate(New(time.Minute, settings(), Settings{Scheduler: settings(), SampleInterval: every}, actions, func(string) {}), actions, 1)
				}
			}
		})
	}
}
