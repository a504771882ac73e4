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

func (w *instantWorker) Send(attempt *workerconn.Attempt) *workerconn.Result {
	w.sent <- attempt
	return nil
}

func (w *instantWorker) Abandon(*workerconn.Attempt) bool { return true }

// respondToAll responds to each attempt until the channel of attempts is closed.
func (w *instantWorker) respondToAll(loop *EventLoop) {
	response := &workerconn.Response{}
	for attempt := range w.sent {
		loop.post(stepOther, func(now time.Duration) {
			loop.frontEnd.AttemptEnded(now, attempt, workerconn.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: response})
		})
	}
}

// fixedEndpoints is a discovery.Source whose list never changes.
type fixedEndpoints []discovery.Worker

func (f fixedEndpoints) Run(ctx context.Context, sink discovery.Sink) {
	sink.EndpointsListed(f)
	<-ctx.Done()
}
func (f fixedEndpoints) Refresh() {}

// startLoop runs an event loop with workers that respond immediately. It returns the loop and a function that ends it.
func startLoop(workers int) (*EventLoop, func()) {
	settings := Settings{Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, MaxInFlight: 1 << 20, ClockStart: time.Now()}
	var list fixedEndpoints
	for i := range workers {
		list = append(list, discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Scale: 1, State: scheduler.Ready})
	}
	loop := NewEventLoop(EventLoopConfig{Settings: settings, Source: list, RequestQueue: 1 << 20, EventQueue: 1 << 14, ShutdownTimeout: time.Second}, zerolog.Nop())
	var mu sync.Mutex
	var clients []*instantWorker
	var tasks sync.WaitGroup
	loop.newTestClient = func(loop *EventLoop) WorkerClient {
		client := &instantWorker{sent: make(chan *workerconn.Attempt, 1<<20)}
		mu.Lock()
		defer mu.Unlock()
		clients = append(clients, client)
		tasks.Go(func() { client.respondToAll(loop) })
		return client
	}
	ctx, cancel := context.WithCancel(context.Background())
	tasks.Go(func() { loop.Run(ctx) })
	return loop, func() {
		cancel()
		<-loop.done
		mu.Lock()
		defer mu.Unlock()
		for _, client := range clients {
			close(client.sent)
		}
		tasks.Wait()
	}
}

// responseCounts counts the final responses of requests.
type responseCounts struct {
	served, rejected atomic.Int64
	mu               sync.Mutex
	latencies        []time.Duration // latencies of a sample of the served requests
}

func (results *responseCounts) newRequest(loop *EventLoop) *Request {
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

// measureCapacity returns the number of requests per second that the event loop serves with a hundred requests in
// flight.
func measureCapacity(loop *EventLoop) float64 {
	var results responseCounts
	start, sent := time.Now(), int64(0)
	for time.Since(start) < time.Second {
		for sent-results.served.Load()-results.rejected.Load() < 100 {
			loop.Submit(results.newRequest(loop))
			sent++
		}
	}
	return float64(results.served.Load()) / time.Since(start).Seconds()
}

// offerLoad submits requests at a constant rate, regardless of their responses.
func offerLoad(loop *EventLoop, rate float64, duration time.Duration, submit func(*Request)) *responseCounts {
	results := &responseCounts{}
	start := time.Now()
	request := results.newRequest(loop)
	for sent := 0; ; {
		at := time.Since(start)
		if at > duration {
			return results
		}
		for ; float64(sent) < rate*at.Seconds(); sent++ {
			_, before := loop.gate.rejected.load()
			submit(request)
			if _, after := loop.gate.rejected.load(); after > before { // rejected by the gate, so the request can be reused
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

// BenchmarkOverload offers an event loop multiples of its capacity, with and without the queue gate. It reports the
// served requests as a fraction of the capacity measured in the same run.
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
				capacity := measureCapacity(loop)
				submit := loop.Submit
				if !gated {
					submit = bypassGate(loop)
				}
				for b.Loop() {
					results := offerLoad(loop, factor*capacity, 2*time.Second, submit)
					b.ReportMetric(float64(results.served.Load())/2/capacity, "served/most")
					results.mu.Lock()
					slices.Sort(results.latencies)
					if n := len(results.latencies); n > 0 {
						b.ReportMetric(results.latencies[n/2].Seconds()*1000, "p50-ms")
						b.ReportMetric(results.latencies[n*99/100].Seconds()*1000, "p99-ms")
					}
					results.mu.Unlock()
				}
				b.ReportMetric(capacity, "most/s")
			})
		}
	}
}
