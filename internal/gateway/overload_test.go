package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// instant is a link to a worker that answers at once, so that the loop alone is what is measured.
type instant struct {
	fakeLink
	sent chan *muxclient.Attempt
}

func (l *instant) Send(a *muxclient.Attempt) *muxclient.Result { l.sent <- a; return nil }

func (l *instant) Abandon(*muxclient.Attempt) bool { return true }

// answers answers until the link is stopped for good.
func (l *instant) answers(loop *EventLoop) {
	answer := &muxclient.Response{}
	for a := range l.sent {
		loop.post(func(now time.Duration) {
			loop.front.AttemptEnded(now, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: answer})
		})
	}
}

// fixed is a directory that tells one list.
type fixed []discovery.Worker

func (f fixed) Run(ctx context.Context, sink discovery.Sink) { sink.EndpointsChanged(f); <-ctx.Done() }
func (f fixed) Refresh()                                     {}

// alone runs a loop with workers that answer at once and returns what ends it.
func alone(workers int) (*EventLoop, func()) {
	set := Settings{Scheduler: classes(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1 << 20, ClockStart: time.Now()}
	var list fixed
	for i := range workers {
		list = append(list, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	l := NewEventLoop(EventLoopConfig{Settings: set, Source: list, RequestQueue: 1 << 20, EventQueue: 1 << 14, ShutdownTimeout: time.Second}, zerolog.Nop())
	var mu sync.Mutex
	var links []*instant
	var tasks sync.WaitGroup
	l.open = func(loop *EventLoop) WorkerClient {
		link := &instant{sent: make(chan *muxclient.Attempt, 1<<20)}
		mu.Lock()
		defer mu.Unlock()
		links = append(links, link)
		tasks.Go(func() { link.answers(loop) })
		return link
	}
	ctx, cancel := context.WithCancel(context.Background())
	tasks.Go(func() { l.Run(ctx) })
	return l, func() {
		cancel()
		<-l.done
		mu.Lock()
		defer mu.Unlock()
		for _, link := range links {
			close(link.sent)
		}
		tasks.Wait()
	}
}

// outcome is what became of calls.
type outcome struct {
	served, refused atomic.Int64
	mu              sync.Mutex
	waits           []time.Duration // of the served ones
}

func (o *outcome) call(l *EventLoop) *Request {
	var c *Request
	c = NewRequestTo(func(f FinalResponse) {
		if f.Kind != Served {
			o.refused.Add(1)
			return
		}
		if o.served.Add(1)%64 == 0 {
			o.mu.Lock()
			o.waits = append(o.waits, l.Now()-c.StartedAt)
			o.mu.Unlock()
		}
	})
	c.StartedAt, c.Timeout, c.Replica = l.Now(), 2*time.Second, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
	return c
}

// most is what the loop serves in a second, with a hundred calls in hand at any time.
func most(l *EventLoop) float64 {
	var o outcome
	began, sent := time.Now(), int64(0)
	for time.Since(began) < time.Second {
		for sent-o.served.Load()-o.refused.Load() < 100 {
			l.Submit(o.call(l))
			sent++
		}
	}
	return float64(o.served.Load()) / time.Since(began).Seconds()
}

// offer offers calls at a rate that waits for nothing.
func offer(l *EventLoop, rate float64, lasts time.Duration, submit func(*Request)) *outcome {
	o := &outcome{}
	began := time.Now()
	c := o.call(l)
	for sent := 0; ; {
		at := time.Since(began)
		if at > lasts {
			return o
		}
		for ; float64(sent) < rate*at.Seconds(); sent++ {
			before := l.door.turned.Load()
			submit(c)
			if l.door.turned.Load() > before { // refused at the door: nobody has it, and it is used again
				c.state, c.StartedAt = fresh, l.Now()
				continue
			}
			c = o.call(l)
		}
	}
}

// queueAnyway hands a call over as if there were no door.
func queueAnyway(l *EventLoop) func(*Request) {
	return func(c *Request) {
		c.queued = l.Now()
		select {
		case l.arrivals <- c:
		default:
			c.settle(FinalResponse{Kind: Rejected})
		}
	}
}

// BenchmarkOverload offers a loop several times what it can do, with and without the door. What is served is told
// as a part of what the loop serves at most, in the same run.
func BenchmarkOverload(b *testing.B) {
	for _, door := range []bool{true, false} {
		for _, factor := range []float64{1, 1.5, 2, 4} {
			b.Run(fmt.Sprintf("door=%v/x%v", door, factor), func(b *testing.B) {
				l, stop := alone(8)
				defer stop()
				for !func() bool {
					c := NewRequest()
					c.StartedAt, c.Timeout = l.Now(), time.Second
					c.Replica.Function = "f"
					l.Submit(c)
					return (<-c.Response()).Kind == Served
				}() {
				}
				top := most(l)
				submit := l.Submit
				if !door {
					submit = queueAnyway(l)
				}
				for b.Loop() {
					o := offer(l, factor*top, 2*time.Second, submit)
					b.ReportMetric(float64(o.served.Load())/2/top, "served/most")
					o.mu.Lock()
					slices.Sort(o.waits)
					if n := len(o.waits); n > 0 {
						b.ReportMetric(o.waits[n/2].Seconds()*1000, "p50-ms")
						b.ReportMetric(o.waits[n*99/100].Seconds()*1000, "p99-ms")
					}
					o.mu.Unlock()
				}
				b.ReportMetric(top, "most/s")
			})
		}
	}
}
