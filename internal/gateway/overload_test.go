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
func (l *instant) answers(loop *Loop) {
	answer := &muxclient.Answer{}
	for a := range l.sent {
		loop.post(func(now time.Duration) {
			loop.front.Ended(now, a, muxclient.Result{Status: scheduler.OK, Warmth: scheduler.FoundWarm, Crowd: -1, Answer: answer})
		})
	}
}

// fixed is a directory that tells one list.
type fixed []discovery.Worker

func (f fixed) Run(ctx context.Context, sink discovery.Sink) { sink.Listed(f); <-ctx.Done() }
func (f fixed) Follow()                                      {}

// alone runs a loop with workers that answer at once and returns what ends it.
func alone(workers int) (*Loop, func()) {
	set := Settings{Control: classes(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, MaxCalls: 1 << 20, Began: time.Now()}
	var list fixed
	for i := range workers {
		list = append(list, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	l := NewLoop(LoopConfig{Settings: set, Source: list, Queue: 1 << 20, Events: 1 << 14, StopWait: time.Second}, zerolog.Nop())
	var mu sync.Mutex
	var links []*instant
	var tasks sync.WaitGroup
	l.open = func(loop *Loop) Link {
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

func (o *outcome) call(l *Loop) *Call {
	var c *Call
	c = NewCallTo(func(f Final) {
		if f.Kind != Served {
			o.refused.Add(1)
			return
		}
		if o.served.Add(1)%64 == 0 {
			o.mu.Lock()
			o.waits = append(o.waits, l.Now()-c.Since)
			o.mu.Unlock()
		}
	})
	c.Since, c.Patience, c.Copy = l.Now(), 2*time.Second, muxframe.Copy{Function: "f", MemoryMB: 100, Lanes: 64}
	return c
}

// most is what the loop serves in a second, with a hundred calls in hand at any time.
func most(l *Loop) float64 {
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
func offer(l *Loop, rate float64, lasts time.Duration, submit func(*Call)) *outcome {
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
				c.state, c.Since = fresh, l.Now()
				continue
			}
			c = o.call(l)
		}
	}
}

// queueAnyway hands a call over as if there were no door.
func queueAnyway(l *Loop) func(*Call) {
	return func(c *Call) {
		c.queued = l.Now()
		select {
		case l.arrivals <- c:
		default:
			c.settle(Final{Kind: Refused})
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
					c := NewCall()
					c.Since, c.Patience = l.Now(), time.Second
					c.Copy.Function = "f"
					l.Submit(c)
					return (<-c.Answer()).Kind == Served
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
