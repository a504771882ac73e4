package fleet

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/lab/client"
	"havencart/lab/discoveryserver"
	"havencart/scheduler"
)

// TestRetry_SameKeyThroughAnotherFrontEnd_ExecutesOnce checks that an idempotency key is executed once although its
// first worker hangs, the client retries through another front end after its timeout, and the worker then resumes.
func TestRetry_SameKeyThroughAnotherFrontEnd_ExecutesOnce(t *testing.T) {
	cfg := smallConfig(2, 2)
	cfg.Cells = 1
	cfg.Settings = "keep-alive 10s\nclass log\nrepeat keyed\nscope all\nmemory 10s\nend\n"
	cfg.Worker.KeyRetention = 10 * time.Second
	fleet := start(t, cfg)
	waitUntil(t, "the endpoint lists", func() bool { return len(fleet.Discovery.Updates()) >= 2 })
	fleet.commandWorkers(t, "hang on", 0, 1)
	first := newRequest("a.0", "log", time.Millisecond)
	first.IdempotencyKey = "one"
	if response := fleet.send(t, 0, first); response.Outcome == "served" {
		t.Fatalf("%+v: want no served response from workers that hang", response)
	}
	fleet.commandWorkers(t, "hang off", 1)
	second := newRequest("a.1", "log", time.Millisecond)
	second.IdempotencyKey = "one"
	waitUntil(t, "the retry to be served", func() bool {
		response := fleet.send(t, 1, second)
		second.ID += "x"
		return response.Outcome == "served"
	})
	fleet.commandWorkers(t, "hang off", 0)
	third := newRequest("b", "log", time.Millisecond)
	waitUntil(t, "the worker that hung to respond", func() bool {
		third.ID += "x"
		return fleet.send(t, 0, third).Outcome == "served"
	})
	executions := fleet.History.ExecutionCount("one")
	if executions != 1 {
		t.Errorf("%d executions of one key, want 1", executions)
	}
	fleet.stopAndCheck(t)
}

// TestStall_ResponseReceivedMeanwhile_IsServed checks that a worker's response which arrives while the event loop
// stalls is served once the event loop resumes.
func TestStall_ResponseReceivedMeanwhile_IsServed(t *testing.T) {
	response := requestDuringStall(t, 900*time.Millisecond, 600*time.Millisecond)
	if response.Outcome != "served" {
		t.Errorf("%+v: want served, as the worker had responded", response)
	}
}

// TestStall_LongerThanClientsTimeout_FailsInTime checks that the client has a response within its timeout although the
// event loop stalls for longer.
func TestStall_LongerThanClientsTimeout_FailsInTime(t *testing.T) {
	const timeout = 400 * time.Millisecond
	response := requestDuringStall(t, timeout, 600*time.Millisecond)
	if response.Outcome != "failed" || response.Duration > timeout {
		t.Errorf("%+v: want a failure within %v", response, timeout)
	}
}

// requestDuringStall sends a request that takes 100 ms at its worker, and stalls the front end's event loop meanwhile.
func requestDuringStall(t *testing.T, timeout, stall time.Duration) client.Response {
	t.Helper()
	fleet := start(t, smallConfig(1, 1))
	waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
	if response := fleet.send(t, 0, newRequest("first", "unlock", time.Millisecond)); response.Outcome != "served" {
		t.Fatalf("%+v", response)
	}
	done := make(chan client.Response)
	go func() {
		c := newRequest("second", "unlock", 100*time.Millisecond)
		c.Timeout = timeout
		done <- fleet.send(t, 0, c)
	}()
	waitUntil(t, "the attempt", func() bool { return fleet.History.AttemptCount("second") > 0 })
	fleet.History.FrontEndStalled(fleet.FrontEnds[0].Name(), stall)
	fleet.FrontEnds[0].Service().Stall(stall)
	response := <-done
	fleet.stopAndCheck(t)
	return response
}

// TestWorkerFault_OfOneWorker_LosesNoRequest checks that each request has its response, and most are served, while one
// of three workers has a fault.
func TestWorkerFault_OfOneWorker_LosesNoRequest(t *testing.T) {
	for _, fault := range []string{
		"handshake never", "handshake 400ms", "garbage on", "twice on", "late 50ms", "reset", "die",
		"drain on", "fail 1", "hang on",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			fleet := start(t, smallConfig(3, 1))
			waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
			fleet.send(t, 0, newRequest("first", "quote", time.Millisecond))
			fleet.commandWorkers(t, fault, 0)
			if fault == "handshake never" || fault == "handshake 400ms" {
				fleet.commandWorkers(t, "reset", 0)
			}
			var all sync.WaitGroup
			for i := range 90 {
				all.Go(func() {
					c := newRequest(fmt.Sprint("c", i), []string{"quote", "log", "unlock"}[i%3], 2*time.Millisecond)
					c.Function += fmt.Sprint(i % 7)
					if _, err := fleet.FrontEnds[0].Pool().Do(c); err != nil {
						t.Error(err)
					}
				})
			}
			all.Wait()
			fleet.stopAndCheck(t)
			if _, tally := fleet.Check(); tally.Served < 45 {
				t.Errorf("%v: want at least half of the requests served despite one worker's fault", tally)
			}
		})
	}
}

// TestWorker_ReadsNothing_DelaysNoOtherRequest checks that requests are still served by other workers after one worker
// has completed the handshake and then reads nothing, so that its socket fills with long requests.
func TestWorker_ReadsNothing_DelaysNoOtherRequest(t *testing.T) {
	fleet := start(t, smallConfig(2, 1))
	stuck, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	defer conns.Wait()
	defer func() { _ = stuck.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	conns.Go(func() {
		for {
			c, err := stuck.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				raw, err := muxframe.Append(nil, muxframe.TypeWelcome, 0,
					muxframe.Welcome{Version: muxframe.Version, Worker: "stuck", Incarnation: 1, UptimeMillis: 3600_000}, nil)
				if err != nil {
					t.Error(err)
				}
				_, _ = c.Write(raw)
				<-stop
			})
		}
	})
	fleet.Discovery.Set(discoveryserver.Entry{Name: "stuck", Address: stuck.Addr().String(), Cell: "cell-1", State: scheduler.Ready})
	waitUntil(t, "the endpoint list", func() bool {
		for _, n := range fleet.Discovery.Updates() {
			if n.States["stuck"] == scheduler.Ready {
				return true
			}
		}
		return false
	})
	var all sync.WaitGroup
	for i := range 60 { // the machine's speed decides how many are served, so only that each has one response is checked
		all.Go(func() {
			c := newRequest(fmt.Sprint("c", i), []string{"quote", "log", "unlock"}[i%3], time.Millisecond)
			c.Function, c.PaddingBytes = fmt.Sprint(c.Function, i%12), 900_000
			fleet.send(t, 0, c)
		})
	}
	all.Wait()
	for i := range 12 {
		c := newRequest("after", "quote", time.Millisecond)
		c.Function = fmt.Sprint(c.Function, i)
		waitUntil(t, "a request to be served by another worker", func() bool {
			c.ID += "x"
			return fleet.send(t, 0, c).Outcome == "served"
		})
	}
	fleet.stopAndCheck(t)
}

// TestWorker_ReportsNotLoaded_ReceivesLoadOrders checks that workers which report a function as not loaded are sent
// load orders, at a rate within the limit that the invariant checker enforces.
func TestWorker_ReportsNotLoaded_ReceivesLoadOrders(t *testing.T) {
	cfg := smallConfig(4, 2)
	cfg.Worker.ReportsNotLoaded = true
	cfg.Settings = "on-miss miss\nload-window 2s\nload-free 3\nload-share 0.2\n" + cfg.Settings
	fleet := start(t, cfg)
	waitUntil(t, "the endpoint lists", func() bool { return len(fleet.Discovery.Updates()) >= 2 })
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i := range 200 {
		all.Go(func() {
			c := newRequest(fmt.Sprint("c", i), []string{"quote", "log", "unlock"}[i%3], time.Millisecond)
			c.Function += fmt.Sprint(i % 20)
			outcome := fleet.send(t, i%2, c).Outcome
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	if outcomes["served"] < 100 {
		t.Errorf("%v: want at least 100 served", outcomes)
	}
	fleet.stopAndCheck(t)
	if _, tally := fleet.Check(); tally.LoadOrders == 0 {
		t.Error("no load order was sent")
	}
}
