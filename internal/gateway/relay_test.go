package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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

// relayText is a configuration; the places are for the bulletin's address and an executor's.
const relayConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":256,"sockets":256},"bulletin":"%s",
	"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":"%s","site":"room","class":"std","block":0,"health":"up","share":1,"born_ms":0}]}}]},
	"settings":{"balancers":1,"azs":["room"],"skus":["std"],"resolution":2.0,"registryMode":"push",
	"limits":{"streamsPerConn":32,"connectTimeout":2000.0,"connIdle":30000.0,"openCap":1000,"maxAttempts":3,"mayCancel":true,
	"maxRetryAfter":500.0,"retryAfter":true},"familyInfo":{"keep":8000.0,"whenAbsent":"load"},
	"rules":{"stopSendingWithin":500.0,"cold":1000.0,"coldFrom":0.2,"fall":2000.0,"tipMultiple":2.0},
	"customers":[{"name":"acme","portion":1.0}],
	"classes":[{"name":"quote","deadline":20000.0,"onTime":10000.0,"repeat":"retryable","worth":2.0},
	{"name":"unlock","deadline":20000.0,"onTime":10000.0,"repeat":"fragile","worth":6.0}]}}`

// relayed is a front end between stand-ins.
type platformHarness struct {
	*PlatformServer
	t         *testing.T
	discovery *platformdiscovery.Server
	stop      context.CancelFunc
	delayed   chan func() // ends the time for which clients come after a stop
	ended     chan error
}

func startPlatform(t *testing.T, script platformworker.Script) *platformHarness {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	board, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(board.Close)
	e, err := platformworker.Start(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	r, run := newPlatformHarness(t, board.Address(), e.Address())
	r.discovery = board
	run()
	t.Cleanup(r.stop)
	<-board.Asked()
	return r
}

// newRelayed prepares a front end, which listens; run begins its Run.
func newPlatformHarness(t *testing.T, board, worker string) (r *platformHarness, run func()) {
	t.Helper()
	set, err := platformconfig.ParseRelay(fmt.Appendf(nil, relayConfig, board, worker))
	if err != nil {
		t.Fatal(err)
	}
	relay, err := NewPlatformServer(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r = &platformHarness{PlatformServer: relay, t: t, stop: cancel, delayed: make(chan func(), 1), ended: make(chan error, 1)}
	relay.after = func(_ time.Duration, f func()) { r.delayed <- f }
	return r, func() { go func() { _, err := relay.Run(ctx); r.ended <- err }() }
}

func (r *platformHarness) connect() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

func (r *platformHarness) sendRequest(c net.Conn, number int, class string, id int) {
	r.t.Helper()
	r.sendRequestWithBody(c, number, class, id, []byte("body"))
}

func (r *platformHarness) sendRequestWithBody(c net.Conn, number int, class string, id int, body []byte) {
	r.t.Helper()
	raw, err := msgpack.Marshal([]any{0, number, class, []any{map[string]string{
		"id": fmt.Sprintf("%016x", id), "wait": "20000",
		"tenant": "acme", "key": "7f3a9c21e0b4d655", "attrs": "memory_mb:100;lanes:2",
	}, body}})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		r.t.Fatal(err)
	}
}

func (r *platformHarness) expect(c net.Conn, want []byte) {
	r.t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		r.t.Errorf("read %q, %v; wanted %q", got, err, want)
	}
}

// beat asks whether the front end is well.
func (r *platformHarness) checkHeartbeat(c net.Conn, number int, well bool) {
	r.t.Helper()
	raw, err := msgpack.Marshal([]any{0, number, "heartbeat", []any{map[string]string{}}})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		r.t.Fatal(err)
	}
	r.expect(c, rpcframe.AppendTrue(nil, uint32(number), well))
}

// TestARelayServesFromWhatIsKnownWhileTheListIsDown and is ready at once.
func TestARelayServesFromWhatIsKnownWhileTheListIsDown(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	e, err := platformworker.Start(respondServed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	r, run := newPlatformHarness(t, "127.0.0.1:1", e.Address())
	c := r.connect() // before it runs: the machine takes it
	run()
	r.checkHeartbeat(c, 1, true)
	if n := e.Made(); n != 0 {
		t.Errorf("%d connections to workers before any call: hundreds that start together would all dial", n)
	}
	r.sendRequest(c, 2, "quote", 1)
	r.expect(c, rpcframe.AppendServed(nil, 2, []byte("did body")))
	r.shutDown()
}

// TestAStopBeforeTheStartIsOver ends by itself, and answers what the machine took meanwhile.
func TestAStopBeforeTheStartIsOver(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	r, run := newPlatformHarness(t, "127.0.0.1:1", "127.0.0.1:1")
	r.stop() // SIGTERM, before the list and before anything is served
	c := r.connect()
	run()
	r.checkHeartbeat(c, 1, false)
	r.shutDown()
}

func (r *platformHarness) shutDown() {
	r.t.Helper()
	r.stop()
	(<-r.delayed)()
	if err := <-r.ended; err != nil {
		r.t.Errorf("stopped: %v", err)
	}
}

func respondServed(c *platformworker.Conn, f workerframe.Frame) {
	c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: append([]byte("did "), f.Body...)})
}

func TestRelayServesACallFromClientToWorkerAndBack(t *testing.T) {
	r := startPlatform(t, respondServed)
	c := r.connect()
	r.sendRequest(c, 1, "quote", 1)
	r.expect(c, rpcframe.AppendServed(nil, 1, []byte("did body")))
	r.shutDown()
}

// TestRelayGivesASpoiltUnsafeCallNoSecondRun holds rule 2 on sockets: what cannot be read may have run.
func TestRelayGivesASpoiltUnsafeCallNoSecondRun(t *testing.T) {
	runs := map[uint64]int{}
	seen := make(chan uint64, 16)
	r := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request {
			seen <- f.ID
			c.Raw([]byte("noise that is no frame"))
		}
	})
	c := r.connect()
	r.sendRequest(c, 1, "unlock", 1)
	r.expect(c, rpcframe.AppendError(nil, 1, "Lost", "", ""))
	r.sendRequest(c, 2, "quote", 2) // may be sent again, and is
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.shutDown()
	close(seen)
	for id := range seen {
		runs[id]++
	}
	if runs[1] != 1 || runs[2] < 2 {
		t.Errorf("runs by id: %v", runs)
	}
}

func TestRelayTurnsAnIDAwayThatIsInUse(t *testing.T) {
	come, answer := make(chan bool, 1), make(chan bool)
	r := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) { come <- true; <-answer; respondServed(c, f) })
	first, second := r.connect(), r.connect()
	r.sendRequest(first, 1, "quote", 1)
	<-come
	r.sendRequest(second, 1, "quote", 1)
	r.expect(second, rpcframe.AppendError(nil, 1, "Malformed", "", ""))
	close(answer)
	r.expect(first, rpcframe.AppendServed(nil, 1, []byte("did body")))
	r.shutDown()
}

// TestRelayAnswersWhatItHasBeforeItStops holds that a stop loses nothing: neither what is out nor what still comes.
func TestRelayAnswersWhatItHasBeforeItStops(t *testing.T) {
	come, answer := make(chan bool, 4), make(chan bool)
	r := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) { come <- true; <-answer; respondServed(c, f) })
	c := r.connect()
	r.sendRequest(c, 1, "quote", 1)
	<-come
	r.stop()
	over := <-r.delayed // nobody comes any longer once this is called
	r.checkHeartbeat(c, 2, false)
	late := r.connect()
	r.checkHeartbeat(late, 1, false)
	r.sendRequest(late, 2, "quote", 2)
	<-come
	over()
	close(answer)
	r.expect(c, rpcframe.AppendServed(nil, 1, []byte("did body")))
	r.expect(late, rpcframe.AppendServed(nil, 2, []byte("did body")))
	if err := <-r.ended; err != nil {
		t.Errorf("stopped: %v", err)
	}
}

func TestRelayFollowsTheBulletinToAnotherAddress(t *testing.T) {
	r := startPlatform(t, respondServed)
	other, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	moved := *r.config
	moved.Bulletin = other.Address()
	r.PlatformServer.Reload(&moved)
	if last := <-other.Asked(); last != 1 {
		t.Errorf("asked from %d", last)
	}
	r.shutDown()
}

// TestRequestsInHandStayWithinTheMemory: what would go beyond is refused at once, and what ends or leaves makes room.
func TestRequestsInHandStayWithinTheMemory(t *testing.T) {
	come, answer := make(chan bool, 64), make(chan bool)
	r := startPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request {
			come <- true
			<-answer
			respondServed(c, workerframe.Frame{ID: f.ID})
		}
	})
	r.config.MemoryMB = 1 // of which a quarter is for bodies
	large := make([]byte, rpcframe.MaxBody)
	c := r.connect()
	for i := range 16 {
		r.sendRequestWithBody(c, 1+i, "quote", 1+i, large)
	}
	<-come
	r.sendRequestWithBody(c, 17, "quote", 17, large)
	r.expect(c, rpcframe.AppendError(nil, 17, "Backoff", "after", "500"))
	c.Close()
	close(answer)
	for r.bodyBytes.Load() > 0 { // until it is heard that the client left
	}
	next := r.connect()
	r.sendRequestWithBody(next, 1, "quote", 18, large)
	r.expect(next, rpcframe.AppendServed(nil, 1, []byte("did ")))
	r.shutDown()
}
