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
type instantWorker struct {
	fakeWorkerClient
	sent chan *muxclient.Attempt
}

func (l *instantWorker) Send(a *muxclient.Attempt) *muxclient.Result { l.sent <- a; return nil }

func (l *instantWorker) Abandon(*muxclient.Attempt) bool { return true }

// answers answers until the link is stopped for good.
func (l *instantWorker) respondToAll(loop *EventLoop) {
	answer := &muxclient.Response{}
	for a := range l.sent {
		loop.post(func(now time.Duration) {
			loop.frontEnd.AttemptEnded(now, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: answer})
		})
	}
}

// fixed is a directory that tells one list.
type fixedEndpoints []discovery.Worker

func (f fixedEndpoints) Run(ctx context.Context, sink discovery.Sink) {
	sink.EndpointsChanged(f)
	<-ctx.Done()
}
func (f fixedEndpoints) Refresh() {}

// alone runs a loop with workers that answer at once and returns what ends it.
func startLoop(workers int) (*EventLoop, func()) {
	set := Settings{Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1 << 20, ClockStart: time.Now()}
	var list fixedEndpoints
	for i := range workers {
		list = append(list, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	loop := NewEventLoop(EventLoopConfig{Settings: set, Source: list, RequestQueue: 1 << 20, EventQueue: 1 << 14, ShutdownTimeout: time.Second}, zerolog.Nop())
	var mu sync.Mutex
	var links []*instantWorker
	var tasks sync.WaitGroup
	loop.newTestClient = func(loop *EventLoop) WorkerClient {
		link := &instantWorker{sent: make(chan *muxclient.Attempt, 1<<20)}
		mu.Lock()
		defer mu.Unlock()
		links = append(links, link)
		tasks.Go(func() { link.respondToAll(loop) })
		return link
	}
	ctx, cancel := context.WithCancel(context.Background())
	tasks.Go(func() { loop.Run(ctx) })
	return loop, func() {
		cancel()
		<-loop.done
		mu.Lock()
		defer mu.Unlock()
		for _, link := range links {
			close(link.sent)
		}
		tasks.Wait()
	}
}

// outcome is what became of calls.
type tally struct {
	served, rejected atomic.Int64
	mu               sync.Mutex
	latencies        []time.Duration // of the served ones
}

func (o *tally) newRequest(loop *EventLoop) *Request {
	var request *Request
	request = NewRequestTo(func(f FinalResponse) {
		if f.Kind != Served {
			o.rejected.Add(1)
			return
		}
		if o.served.Add(1)%64 == 0 {
			o.mu.Lock()
			o.latencies = append(o.latencies, loop.Now()-request.StartedAt)
			o.mu.Unlock()
		}
	})
	request.StartedAt, request.Timeout, request.Replica = loop.Now(), 2*time.Second, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
	return request
}

// most is what the loop serves in a second, with a hundred calls in hand at any time.
func measureCapacity(loop *EventLoop) float64 {
	var o tally
	began, sent := time.Now(), int64(0)
	for time.Since(began) < time.Second {
		for sent-o.served.Load()-o.rejected.Load() < 100 {
			loop.Submit(o.newRequest(loop))
			sent++
		}
	}
	return float64(o.served.Load()) / time.Since(began).Seconds()
}

// offer offers calls at a rate that waits for nothing.
func offerLoad(loop *EventLoop, rate float64, lasts time.Duration, submit func(*Request)) *tally {
	o := &tally{}
	began := time.Now()
	request := o.newRequest(loop)
	for sent := 0; ; {
		at := time.Since(began)
		if at > lasts {
			return o
		}
		for ; float64(sent) < rate*at.Seconds(); sent++ {
			before := loop.gate.rejected.Load()
			submit(request)
			if loop.gate.rejected.Load() > before { // refused at the door: nobody has it, and it is used again
				request.state, request.StartedAt = requestSubmitted, loop.Now()
				continue
			}
			request = o.newRequest(loop)
		}
	}
}

// queueAnyway hands a call over as if there were no door.
func bypassGate(loop *EventLoop) func(*Request) {
	return func(request *Request) {
		request.queuedAt = loop.Now()
		select {
		case loop.requests <- request:
		default:
			request.complete(FinalResponse{Kind: Rejected})
		}
	}
}

// BenchmarkOverload offers a loop several times what it can do, with and without the door. What is served is told
// as a part of what the loop serves at most, in the same run.
func BenchmarkOverload(b *testing.B) {
	for _, door := range []bool{true, false} {
		for _, factor := range []float64{1, 1.5, 2, 4} {
			b.Run(fmt.Sprintf("door=%v/x%v", door, factor), func(b *testing.B) {
				loop, stop := startLoop(8)
				defer stop()
				for !func() bool {
					request := NewRequest()
					request.StartedAt, request.Timeout = loop.Now(), time.Second
					request.Replica.Function = "f"
					loop.Submit(request)
					return (<-request.Response()).Kind == Served
				}() {
				}
				top := measureCapacity(loop)
				submit := loop.Submit
				if !door {
					submit = bypassGate(loop)
				}
				for b.Loop() {
					o := offerLoad(loop, factor*top, 2*time.Second, submit)
					b.ReportMetric(float64(o.served.Load())/2/top, "served/most")
					o.mu.Lock()
					slices.Sort(o.latencies)
					if n := len(o.latencies); n > 0 {
						b.ReportMetric(o.latencies[n/2].Seconds()*1000, "p50-ms")
						b.ReportMetric(o.latencies[n*99/100].Seconds()*1000, "p99-ms")
					}
					o.mu.Unlock()
				}
				b.ReportMetric(top, "most/s")
			})
		}
	}
}
