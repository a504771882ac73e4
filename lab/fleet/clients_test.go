package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"havencart/internal/gateway"
)

// TestClient_PipelinesTenAndClosesAfterThree_AllAccountedFor checks that each of the requests that a client abandons by
// closing its connection is counted exactly once.
func TestClient_PipelinesTenAndClosesAfterThree_AllAccountedFor(t *testing.T) {
	fleet := start(t, smallConfig(2, 1))
	waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
	fleet.send(t, 0, newRequest("first", "unlock", time.Millisecond))
	conn, err := net.Dial("tcp", fleet.FrontEnds[0].Pool().Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for i := range 10 {
		work := "1ms"
		if i >= 3 {
			work = "10s"
		}
		body := "work " + work
		_, _ = fmt.Fprintf(conn, "POST /call/unlock-f HTTP/1.1\r\nHost: h\r\nCall-Class: unlock\r\nCall-Id: p%d\r\nContent-Length: %d\r\n\r\n%s",
			i, len(body), body)
	}
	in := bufio.NewReader(conn)
	for i := range 3 {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if id := r.Header.Get("Call-Id"); id != fmt.Sprint("p", i) {
			t.Errorf("response %d is for %q", i, id)
		}
	}
	_ = conn.Close()
	service := fleet.FrontEnds[0].Service()
	waitUntil(t, "every request to be accounted for", func() bool {
		c := service.Counts()
		return c.Admitted == 11 && c.Served+c.Rejected+c.Failed+c.Disconnected == 11
	})
	fleet.stopAndCheck(t)
	// The number of disconnected requests varies: if this goroutine is delayed before it closes the connection, the front
	// end can cancel some attempts before that, as their worker did not respond for long.
	if c := fleet.FrontEnds[0].Counts(); c.Served != 4 || c.Disconnected == 0 || c.PastDeadline != 0 {
		t.Errorf("want 4 served, some disconnected and none past its deadline: %+v", c)
	}
}

// TestStop_HundredsOfQueuedRequests_AllGetResponses checks that each request has exactly one response when Run's
// context ends, as it does on SIGTERM.
func TestStop_HundredsOfQueuedRequests_AllGetResponses(t *testing.T) {
	cfg := smallConfig(1, 1)
	cfg.Settings = "stop-wait 200ms\n" + cfg.Settings
	fleet := start(t, cfg)
	waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
	fleet.commandWorkers(t, "hang on", 0)
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			c := newRequest(fmt.Sprint("c", i), []string{"quote", "log", "unlock"}[i%3], time.Millisecond)
			c.Timeout = 20 * time.Second // limited by the class's own timeout
			if response, err := fleet.FrontEnds[0].Pool().Do(c); err != nil || response.Outcome == "" {
				t.Errorf("request %d: %+v, %v", i, response, err)
			}
		})
	}
	service := fleet.FrontEnds[0].Service()
	// On a busy machine the overload control sheds some requests, which then have their responses already.
	waitUntil(t, "the requests to be admitted or shed", func() bool {
		counts := service.Counts()
		return counts.Admitted > 0 && counts.Admitted+counts.Shed == 300
	})
	if err := fleet.FrontEnds[0].Stop(); err != nil && !errors.Is(err, gateway.ErrShutdownTimeout) {
		t.Error(err)
	}
	all.Wait()
	fleet.stopAndCheck(t)
}

// TestFrontEnd_FullWithTwoHundredConnections_RejectsEach checks that a front end at its limit of open requests rejects
// each further request with a retry delay, and loses none.
func TestFrontEnd_FullWithTwoHundredConnections_RejectsEach(t *testing.T) {
	cfg := smallConfig(1, 1)
	cfg.Settings = "max-calls 5\n" + cfg.Settings
	fleet := start(t, cfg)
	waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
	fleet.commandWorkers(t, "hang on", 0)
	var all sync.WaitGroup
	for i := range 5 {
		all.Go(func() { fleet.send(t, 0, newRequest(fmt.Sprint("full", i), "quote", time.Millisecond)) })
	}
	service := fleet.FrontEnds[0].Service()
	waitUntil(t, "the front end to be full", func() bool { return service.Counts().Admitted == 5 })
	var mu sync.Mutex
	rejected := 0
	for i := range 200 {
		all.Go(func() {
			response := fleet.send(t, 0, newRequest(fmt.Sprint("c", i), "unlock", time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if response.Outcome == "refused" && response.RetryAfter > 0 {
				rejected++
			}
		})
	}
	all.Wait()
	if rejected != 200 {
		t.Errorf("%d of 200 requests rejected with a retry delay", rejected)
	}
	fleet.stopAndCheck(t)
	if c := fleet.FrontEnds[0].Counts(); c.Shed != 200 {
		t.Errorf("%+v", c)
	}
}

// TestClient_SlowReaderOfLongResponse_DelaysNoOther checks that the same worker serves other clients while one client
// reads nothing of a long response.
func TestClient_SlowReaderOfLongResponse_DelaysNoOther(t *testing.T) {
	fleet := start(t, smallConfig(1, 1))
	waitUntil(t, "the endpoint list", func() bool { return len(fleet.Discovery.Updates()) >= 1 })
	conn, err := net.Dial("tcp", fleet.FrontEnds[0].Pool().Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := "work 1ms reply 50000000"
	_, _ = fmt.Fprintf(conn, "POST /call/quote-f HTTP/1.1\r\nHost: h\r\nCall-Class: quote\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	service := fleet.FrontEnds[0].Service()
	waitUntil(t, "the long response to begin", func() bool { return service.Counts().Served == 1 })
	for i := range 50 {
		if response := fleet.send(t, 0, newRequest(fmt.Sprint("c", i), "unlock", time.Millisecond)); response.Outcome != "served" {
			t.Errorf("request %d: %+v", i, response)
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, r.Body); n != 50000000 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	fleet.stopAndCheck(t)
}

// TestLoops_OfOneProcess_AreSeparateFrontEnds checks that each event loop acts as a front end of its own, with its own
// connections and its own query of the endpoint list.
func TestLoops_OfOneProcess_AreSeparateFrontEnds(t *testing.T) {
	cfg := smallConfig(2, 1)
	cfg.Loops = 3
	fleet := start(t, cfg)
	waitUntil(t, "three endpoint lists", func() bool { return len(fleet.Discovery.Updates()) >= 3 })
	clients := map[string]bool{}
	for _, n := range fleet.Discovery.Updates() {
		clients[n.Client] = true
	}
	if len(clients) != 3 {
		t.Errorf("discovery was queried by %v, want 3 clients", clients)
	}
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			if response := fleet.send(t, 0, newRequest(fmt.Sprint("c", i), "quote", time.Millisecond)); response.Outcome != "served" {
				t.Errorf("%+v", response)
			}
		})
	}
	all.Wait()
	fleet.stopAndCheck(t)
	if c := fleet.FrontEnds[0].Counts(); c.Served != 30 {
		t.Errorf("%+v", c)
	}
}
