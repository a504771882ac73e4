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
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// instantWorker is the client of a worker that responds immediately, so that only the event loop is measured.
type instantWorker struct {
	fakeWorkerClient
	sent chan *workerconn.Attempt
}

func (l *instantWorker) Send(attempt *workerconn.Attempt) *workerconn.Result {
	l.sent <- attempt
	return nil
}

func (l *instantWorker) Abandon(*workerconn.Attempt) bool { return true }

// respondToAll responds to each attempt until the channel of attempts is closed.
func (l *instantWorker) respondToAll(loop *EventLoop) {
	answer := &workerconn.Response{}
	for attempt := range l.sent {
		loop.post(stepOther, func(now time.Duration) {
			loop.frontEnd.AttemptEnded(now, attempt, workerconn.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: answer})
		})
	}
}

// fixedEndpoints is a discovery.Source whose list never changes.
type fixedEndpoints []discovery.Worker

func (f fixedEndpoints) Run(ctx context.Context, sink discovery.Sink) {
	sink.EndpointsChanged(f)
	<-ctx.Done()
}
func (f fixedEndpoints) Refresh() {}

// startLoop runs an event loop with workers that respond immediately. It returns the loop and a function that ends it.
func startLoop(workers int) (*EventLoop, func()) {
	set := Settings{Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1 << 20, ClockStart: time.Now()}
	var list fixedEndpoints
	for i := range workers {
		list = append(list, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	loop := NewEventLoop(EventLoopConfig{Settings: set, Source: list, RequestQueue: 1 << 20, EventQueue: 1 << 14, ShutdownTimeout: time.Second}, zerolog.Nop())
	var mu sync.Mutex
	var clients []*instantWorker
	var tasks sync.WaitGroup
	loop.newTestClient = func(loop *EventLoop) WorkerClient {
		link := &instantWorker{sent: make(chan *workerconn.Attempt, 1<<20)}
		mu.Lock()
		defer mu.Unlock()
		clients = append(clients, link)
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
		for _, link := range clients {
			close(link.sent)
		}
		tasks.Wait()
	}
}

// tally counts the final responses of requests.
type tally struct {
	served, rejected atomic.Int64
	mu               sync.Mutex
	latencies        []time.Duration // latencies of a sample of the served requests
}

func (results *tally) newRequest(loop *EventLoop) *Request {
	var request *Request
	request = NewRequestWithCallback(func(f FinalResponse) {
		if f.Kind != Served {
			results.rejected.Add(1)
			return
		}
		if results.served.Add(1)%64 == 0 {
			results.mu.Lock()
			results.latencies = append(results.latencies, loop.Now()-request.StartedAt)
			results.mu.Unlock()
		}
	})
	request.StartedAt = loop.Now()
	request.Timeout = 2 * time.Second
	request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
	return request
}

// measureCapacity returns the number of requests per second that the event loop serves with a hundred requests in flight.
func measureCapacity(loop *EventLoop) float64 {
	var o tally
	start, sent := time.Now(), int64(0)
	for time.Since(start) < time.Second {
		for sent-o.served.Load()-o.rejected.Load() < 100 {
			loop.Submit(o.newRequest(loop))
			sent++
		}
	}
	return float64(o.served.Load()) / time.Since(start).Seconds()
}

// offerLoad submits requests at a constant rate, regardless of their responses.
func offerLoad(loop *EventLoop, rate float64, duration time.Duration, submit func(*Request)) *tally {
	results := &tally{}
	start := time.Now()
	request := results.newRequest(loop)
	for sent := 0; ; {
		at := time.Since(start)
		if at > duration {
			return results
		}
		for ; float64(sent) < rate*at.Seconds(); sent++ {
			before := loop.gate.rejected.Load()
			submit(request)
			if loop.gate.rejected.Load() > before { // rejected by the gate: no other goroutine has the request, so reuse it
				request.state = requestSubmitted
				request.delivery.state.Store(deliveryQueued)
				request.StartedAt = loop.Now()
				continue
			}
			request = results.newRequest(loop)
		}
	}
}

// bypassGate returns a function that queues requests without the queue gate.
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

// BenchmarkOverload offers an event loop multiples of its capacity, with and without the queue gate. It reports the served
// requests as a fraction of the capacity measured in the same run.
func BenchmarkOverload(b *testing.B) {
	for _, gated := range []bool{true, false} {
		for _, factor := range []float64{1, 1.5, 2, 4} {
			b.Run(fmt.Sprintf("gate=%v/x%v", gated, factor), func(b *testing.B) {
				loop, stop := startLoop(8)
				defer stop()
				servesRequest := func() bool {
					request := NewRequest()
					request.StartedAt = loop.Now()
					request.Timeout = time.Second
					request.Replica.Function = "f"
					loop.Submit(request)
					return (<-request.Response()).Kind == Served
				}
				for ready := false; !ready; {
					ready = servesRequest()
				}
				top := measureCapacity(loop)
				submit := loop.Submit
				if !gated {
					submit = bypassGate(loop)
				}
				for b.Loop() {
					results := offerLoad(loop, factor*top, 2*time.Second, submit)
					b.ReportMetric(float64(results.served.Load())/2/top, "served/most")
					results.mu.Lock()
					slices.Sort(results.latencies)
					if n := len(results.latencies); n > 0 {
						b.ReportMetric(results.latencies[n/2].Seconds()*1000, "p50-ms")
						b.ReportMetric(results.latencies[n*99/100].Seconds()*1000, "p99-ms")
					}
					results.mu.Unlock()
				}
				b.ReportMetric(top, "most/s")
			})
		}
	}
}
