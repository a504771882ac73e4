package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"havencart/internal/config/platformconfig"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// platformConfigFormat is the format string of a configuration, with verbs for the addresses of endpoint discovery
// and of a worker, and for whether health checks are allowed.
const platformConfigFormat = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":256,"sockets":256},"bulletin":"%s",
	"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":"%s","site":"room","class":"std","block":0,"health":"up","share":1,"born_ms":0}]}}]},
	"settings":{"balancers":1,"azs":["room"],"skus":["std"],"resolution":2.0,"registryMode":"push",
	"limits":{"streamsPerConn":32,"connectTimeout":2000.0,"connIdle":30000.0,"openCap":1000,"maxAttempts":3,"mayCancel":true,"probes":%t,
	"maxRetryAfter":500.0,"retryAfter":true},"familyInfo":{"keep":8000.0,"whenAbsent":"load"},
	"rules":{"stopSendingWithin":500.0,"cold":1000.0,"coldFrom":0.2,"fall":2000.0,"tipMultiple":2.0},
	"customers":[{"name":"acme","portion":1.0}],
	"classes":[{"name":"quote","deadline":20000.0,"onTime":10000.0,"repeat":"retryable","worth":2.0},
	{"name":"unlock","deadline":20000.0,"onTime":10000.0,"repeat":"fragile","worth":6.0}]}}`

// platformHarness is a PlatformServer with a fake discovery service and a fake worker.
type platformHarness struct {
	*PlatformServer
	t         *testing.T
	discovery *platformdiscovery.Server
	stop      context.CancelFunc
	delayed   chan func() // receives delayed calls, such as the one at the end of platformAcceptGrace
	ended     chan error
}

func startPlatform(t *testing.T, script platformworker.Script) *platformHarness {
	t.Helper()
	return startConfiguredPlatform(t, script, func(*platformconfig.Config) {})
}

// startConfiguredPlatform is startPlatform with a configuration that configure may change.
func startConfiguredPlatform(t *testing.T, script platformworker.Script, configure func(*platformconfig.Config)) *platformHarness {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	discovery, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	worker, err := platformworker.Start(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	config := parsePlatformConfig(t, discovery.Address(), worker.Address(), false)
	configure(config)
	server, run := newPlatformHarnessFromConfig(t, config)
	server.discovery = discovery
	run()
	t.Cleanup(server.stop)
	<-discovery.Resumed()
	return server
}

// newPlatformHarness creates a PlatformServer that listens. The returned function runs it in a goroutine.
func newPlatformHarness(t *testing.T, discovery, worker string) (server *platformHarness, run func()) {
	t.Helper()
	return newPlatformHarnessWithHealthChecks(t, discovery, worker, false)
}

// newPlatformHarnessWithHealthChecks is like newPlatformHarness for a platform that may allow health checks.
func newPlatformHarnessWithHealthChecks(t *testing.T, discovery, worker string, allowed bool) (server *platformHarness, run func()) {
	t.Helper()
	return newPlatformHarnessFromConfig(t, parsePlatformConfig(t, discovery, worker, allowed))
}

// parsePlatformConfig returns the configuration of platformConfigFormat.
func parsePlatformConfig(t *testing.T, discovery, worker string, healthChecksAllowed bool) *platformconfig.Config {
	t.Helper()
	config, err := platformconfig.ParseConfig(fmt.Appendf(nil, platformConfigFormat, discovery, worker, healthChecksAllowed))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func newPlatformHarnessFromConfig(t *testing.T, config *platformconfig.Config) (server *platformHarness, run func()) {
	t.Helper()
	platform, err := NewPlatformServer(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server = &platformHarness{PlatformServer: platform, t: t, stop: cancel, delayed: make(chan func(), 1), ended: make(chan error, 1)}
	platform.afterFunc = func(_ time.Duration, f func()) { server.delayed <- f }
	return server, func() { go func() { _, err := platform.Run(ctx); server.ended <- err }() }
}

func (server *platformHarness) connect() net.Conn {
	server.t.Helper()
	c, err := net.Dial("tcp", server.Address())
	if err != nil {
		server.t.Fatal(err)
	}
	server.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (server *platformHarness) sendRequest(c net.Conn, number int, class string, id int) {
	server.t.Helper()
	server.sendRequestWithBody(c, number, class, id, []byte("body"))
}

func (server *platformHarness) sendRequestWithBody(c net.Conn, number int, class string, id int, body []byte) {
	server.t.Helper()
	raw, err := msgpack.Marshal([]any{0, number, class, []any{map[string]string{
		"id": fmt.Sprintf("%016x", id), "wait": "20000",
		"tenant": "acme", "key": "7f3a9c21e0b4d655", "attrs": "memory_mb:100;lanes:2",
	}, body}})
	if err != nil {
		server.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		server.t.Fatal(err)
	}
}

func (server *platformHarness) expect(c net.Conn, want []byte) {
	server.t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		server.t.Errorf("read %q, %v; wanted %q", got, err, want)
	}
}

// checkHeartbeat sends a heartbeat and checks the response.
func (server *platformHarness) checkHeartbeat(c net.Conn, number int, ready bool) {
	server.t.Helper()
	raw, err := msgpack.Marshal([]any{0, number, "heartbeat", []any{map[string]string{}}})
	if err != nil {
		server.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		server.t.Fatal(err)
	}
	server.expect(c, rpcframe.AppendHeartbeat(nil, uint32(number), ready))
}

// TestPlatformServer_DiscoveryDown_ServesFromKnownEndpoints checks that the server is ready immediately if discovery is
// down, using the endpoints in its configuration.
func TestPlatformServer_DiscoveryDown_ServesFromKnownEndpoints(t *testing.T) {
	// A worker that is asked may be sent requests. Otherwise the worker may have drained since the list was made, so
	// that requests are rejected without a delay.
	for name, test := range map[string]struct {
		healthChecks bool
		draining     bool
		want         []byte
		attempts     int64
	}{
		"worker accepts new work":    {true, false, rpcframe.AppendServed(nil, 2, []byte("did body")), 1},
		"worker drains":              {true, true, rpcframe.AppendRejected(nil, 2, 500*time.Millisecond), 0},
		"worker may not be asked":    {false, false, rpcframe.AppendRejected(nil, 2, 500*time.Millisecond), 0},
		"draining, may not be asked": {false, true, rpcframe.AppendRejected(nil, 2, 500*time.Millisecond), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			var attempts atomic.Int64
			worker, err := platformworker.StartObserved(respondServed, func(f workerframe.Frame) {
				if platformworker.IsNewWork(f) {
					attempts.Add(1)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(worker.Close)
			worker.SetDraining(test.draining)
			server, run := newPlatformHarnessWithHealthChecks(t, "127.0.0.1:1", worker.Address(), test.healthChecks)
			c := server.connect() // the kernel accepts the connection before the server runs
			run()
			server.checkHeartbeat(c, 1, true)
			if n := worker.ConnectionCount(); n != 0 {
				t.Errorf("%d connections to workers before any request; hundreds of front ends that start together would all dial", n)
			}
			server.sendRequest(c, 2, "quote", 1)
			server.expect(c, test.want)
			if got := attempts.Load(); got != test.attempts {
				t.Errorf("the worker got %d attempts and load orders, want %d", got, test.attempts)
			}
			server.shutDown()
		})
	}
}

// TestPlatformServer_ShutdownBeforeStart_Ends checks that a server that is stopped before it starts ends by itself, and
// responds on a connection that the kernel accepted in the meantime.
func TestPlatformServer_ShutdownBeforeStart_Ends(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, run := newPlatformHarness(t, "127.0.0.1:1", "127.0.0.1:1")
	server.stop() // as SIGTERM does, before the server has an endpoint list or serves a request
	c := server.connect()
	run()
	server.checkHeartbeat(c, 1, false)
	server.shutDown()
}

func (server *platformHarness) shutDown() {
	server.t.Helper()
	server.stop()
	(<-server.delayed)()
	if err := <-server.ended; err != nil {
		server.t.Errorf("Run returned error %v, want none", err)
	}
}

func respondServed(c *platformworker.Conn, f workerframe.Frame) {
	c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: append([]byte("did "), f.Body...)})
}

func TestPlatformServer_Request_ServedEndToEnd(t *testing.T) {
	server := startPlatform(t, respondServed)
	c := server.connect()
	server.sendRequest(c, 1, "quote", 1)
	server.expect(c, rpcframe.AppendServed(nil, 1, []byte("did body")))
	server.shutDown()
}

// TestPlatformServer_MalformedWorkerResponse_NonIdempotentNotRetried checks over real sockets that a non-idempotent
// request with an unreadable response is not retried, because it may have executed.
func TestPlatformServer_MalformedWorkerResponse_NonIdempotentNotRetried(t *testing.T) {
	executions := map[uint64]int{}
	seen := make(chan uint64, 16)
	server := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request {
			seen <- f.ID
			c.WriteRaw([]byte("noise that is no frame"))
		}
	})
	c := server.connect()
	server.sendRequest(c, 1, "unlock", 1)
	server.expect(c, rpcframe.AppendError(nil, 1, "Lost", "", ""))
	server.sendRequest(c, 2, "quote", 2) // idempotent, so it is retried
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	server.shutDown()
	close(seen)
	for id := range seen {
		executions[id]++
	}
	if executions[1] != 1 || executions[2] < 2 {
		t.Errorf("executions by frame ID: %v; want one of request 1 and at least two of request 2", executions)
	}
}

func TestPlatformServer_IDInFlight_RejectedAsMalformed(t *testing.T) {
	received, respond := make(chan bool, 1), make(chan bool)
	server := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) { received <- true; <-respond; respondServed(c, f) })
	first, second := server.connect(), server.connect()
	server.sendRequest(first, 1, "quote", 1)
	<-received
	server.sendRequest(second, 1, "quote", 1)
	server.expect(second, rpcframe.AppendError(nil, 1, "Malformed", "", ""))
	close(respond)
	server.expect(first, rpcframe.AppendServed(nil, 1, []byte("did body")))
	server.shutDown()
}

// TestPlatformServer_Shutdown_CompletesRequestsInFlight checks requests that were sent before the shutdown began, and
// requests that arrive while clients are still accepted.
func TestPlatformServer_Shutdown_CompletesRequestsInFlight(t *testing.T) {
	received, respond := make(chan bool, 4), make(chan bool)
	server := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) { received <- true; <-respond; respondServed(c, f) })
	c := server.connect()
	server.sendRequest(c, 1, "quote", 1)
	<-received
	server.stop()
	endAccepting := <-server.delayed // no client is accepted after this is called
	server.checkHeartbeat(c, 2, false)
	lateClient := server.connect()
	server.checkHeartbeat(lateClient, 1, false)
	server.sendRequest(lateClient, 2, "quote", 2)
	<-received
	endAccepting()
	close(respond)
	server.expect(c, rpcframe.AppendServed(nil, 1, []byte("did body")))
	server.expect(lateClient, rpcframe.AppendServed(nil, 2, []byte("did body")))
	if err := <-server.ended; err != nil {
		t.Errorf("Run returned error %v, want none", err)
	}
}

func TestPlatformServer_Reload_MovesToNewDiscoveryAddress(t *testing.T) {
	server := startPlatform(t, respondServed)
	other, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	moved := *server.config
	moved.EndpointStreamAddress = other.Address()
	server.Reload(&moved)
	if last := <-other.Resumed(); last != 1 {
		t.Errorf("the new stream was requested from event %d, want 1", last)
	}
	server.shutDown()
}

// TestPlatformServer_RequestsSentAgainAfterReset_AllAnswered guards against a connection that is closed, with new
// requests on it, because its client sent the requests of a connection that was reset once more.
func TestPlatformServer_RequestsSentAgainAfterReset_AllAnswered(t *testing.T) {
	for _, count := range []int{1, 8, 12, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			received := make(chan uint64, 64)
			responding := make(chan bool)
			server := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
				if f.Code != workerframe.Request {
					return
				}
				received <- f.ID
				select {
				case <-responding:
					respondServed(c, f)
				default:
				}
			})
			first := server.connect().(*net.TCPConn)
			for i := range count {
				server.sendRequest(first, i+1, "quote", i+1)
			}
			<-received // at least one has reached the worker
			server.awaitIDs(count, func(id uint64) bool { return server.recentIDs.inFlight[id] })
			_ = first.SetLinger(0)
			_ = first.Close()
			server.awaitIDs(count, func(id uint64) bool {
				outcome, known := server.recentIDs.find(id)
				return known && outcome == idAbandoned
			})
			close(responding)
			second := server.connect()
			for i := range count + 2 {
				server.sendRequest(second, i+1, "quote", i+1)
			}
			reader := rpcResponses(t, second)
			for range count + 2 {
				if id, kind := reader(); kind != "served" {
					t.Errorf("request %d: response %s, want served", id, kind)
				}
			}
			server.shutDown()
		})
	}
}

// awaitIDs waits until holds returns true for the IDs of the requests 1 to count. holds may use the recent IDs.
func (server *platformHarness) awaitIDs(count int, holds func(id uint64) bool) {
	for id := 1; id <= count; {
		server.recentIDs.mu.Lock()
		reached := holds(uint64(id))
		server.recentIDs.mu.Unlock()
		if reached {
			id++
			continue
		}
		runtime.Gosched()
	}
}

// rpcResponses returns a function that reads the next response of a connection: its message ID and "served" or the name
// of the error.
func rpcResponses(t *testing.T, c net.Conn) func() (id int, kind string) {
	decoder := msgpack.NewDecoder(c)
	decoder.UseLooseInterfaceDecoding(true)
	return func() (int, string) {
		t.Helper()
		message, err := decoder.DecodeSlice()
		if err != nil {
			t.Fatal(err)
		}
		id, _ := message[1].(int64)
		if failure, isError := message[2].([]any); isError {
			return int(id), fmt.Sprint(failure[0])
		}
		return int(id), "served"
	}
}
