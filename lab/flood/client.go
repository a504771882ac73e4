package flood

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	className       = "quote"
	maxOpenRequests = 32       // on one connection, by the platform's protocol
	largeBody       = 16 << 10 // bytes; the maximum by the platform's protocol

	usualClients     = 4
	usualFunctions   = 12
	usualRequestGap  = 100 * time.Millisecond // mean time between two requests of a usual client
	floodFunctions   = 200
	wavePeriod       = 2500 * time.Millisecond
	reconnectDelay   = 10 * time.Millisecond
	rejectedDelay    = 5 * time.Millisecond  // after which a flooding client sends the next request after a rejection
	maxAbandonDelay  = 50 * time.Millisecond // within which an abandoning client disconnects
	slowReadInterval = 20 * time.Millisecond
	slowReadBytes    = 4 << 10 // read in each interval
	unreadPeriod     = 1500 * time.Millisecond
	silentPeriod     = time.Second
)

// usualBodySizes are the sizes in bytes of the bodies that usual clients send.
var usualBodySizes = []int{64, 2 << 10, largeBody}

// client sends requests to the front end, over one connection at a time.
type client struct {
	address string
	random  *rand.Rand
	tally   *Tally
}

func newClient(address string, random *rand.Rand, tally *Tally) *client {
	return &client{address: address, random: random, tally: tally}
}

// connect opens a connection. It returns nil if that fails, after a delay.
func (c *client) connect(ctx context.Context) net.Conn {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		pause(ctx, reconnectDelay)
		return nil
	}
	c.tally.connected()
	return conn
}

// sendSteadily sends requests at random times until ctx ends, and then waits for their responses.
func (c *client) sendSteadily(ctx context.Context) {
	var conn *connection
	for pause(ctx, time.Duration(c.random.ExpFloat64()*float64(usualRequestGap))) {
		if conn == nil || conn.hasEnded() {
			dialed := c.connect(ctx)
			if dialed == nil {
				continue
			}
			conn = newConnection(dialed, c.tally)
		}
		if conn.openCount() < maxOpenRequests {
			conn.send(c.random, usualFunctions, usualBodySizes[c.random.IntN(len(usualBodySizes))])
		}
	}
	if conn != nil {
		conn.awaitResponses(requestTimeout)
		conn.close()
	}
}

// flood sends requests as a flooding client until ctx ends.
func (c *client) flood(ctx context.Context, kind Kind) {
	behave := map[Kind]func(context.Context, net.Conn){
		LargeWaves: c.sendWave,
		Large:      func(ctx context.Context, conn net.Conn) { c.keepOpen(ctx, conn, largeBody) },
		Small:      func(ctx context.Context, conn net.Conn) { c.keepOpen(ctx, conn, 0) },
		Unread:     c.sendWithoutReading,
		SlowReader: c.readSlowly,
		Abandon:    c.sendAndDisconnect,
		Partial:    c.sendHalf,
		Silent:     func(ctx context.Context, _ net.Conn) { pause(ctx, silentPeriod) },
	}[kind]
	if behave == nil {
		return
	}
	for ctx.Err() == nil {
		if kind == LargeWaves && !pause(ctx, time.Until(time.Now().Truncate(wavePeriod).Add(wavePeriod))) {
			return
		}
		if conn := c.connect(ctx); conn != nil {
			behave(ctx, conn)
			_ = conn.Close()
		}
		pause(ctx, reconnectDelay) // so that a client whose connections are closed at once does not spin
	}
}

// sendWave sends the maximum number of requests at once and reads the responses.
func (c *client) sendWave(_ context.Context, dialed net.Conn) {
	conn := newConnection(dialed, c.tally)
	for range maxOpenRequests {
		conn.send(c.random, floodFunctions, largeBody)
	}
	conn.awaitResponses(requestTimeout)
	conn.close()
}

// keepOpen keeps the maximum number of requests open until ctx or the connection ends.
func (c *client) keepOpen(ctx context.Context, dialed net.Conn, bodySize int) {
	conn := newConnection(dialed, c.tally)
	defer conn.close()
	for ctx.Err() == nil && !conn.hasEnded() {
		for conn.openCount() < maxOpenRequests && !conn.hasEnded() {
			conn.send(c.random, floodFunctions, bodySize)
		}
		select {
		case rejected := <-conn.responded:
			if rejected {
				pause(ctx, rejectedDelay)
			}
		case <-conn.ended:
		case <-ctx.Done():
		}
	}
}

// sendWithoutReading sends the maximum number of requests at once and does not read the responses.
func (c *client) sendWithoutReading(ctx context.Context, conn net.Conn) {
	c.writeRequests(conn)
	pause(ctx, unreadPeriod)
}

// readSlowly sends the maximum number of requests at once and reads their responses slowly, for as long as requests may
// take.
func (c *client) readSlowly(ctx context.Context, conn net.Conn) {
	c.writeRequests(conn)
	buffer := make([]byte, slowReadBytes)
	for end := time.Now().Add(2 * requestTimeout); time.Now().Before(end) && pause(ctx, slowReadInterval); {
		_ = conn.SetReadDeadline(time.Now().Add(slowReadInterval))
		if _, err := conn.Read(buffer); err != nil && !isTimeout(err) {
			return
		}
	}
}

// sendAndDisconnect sends the maximum number of requests at once and disconnects soon.
func (c *client) sendAndDisconnect(ctx context.Context, conn net.Conn) {
	c.writeRequests(conn)
	pause(ctx, time.Duration(c.random.Float64()*float64(maxAbandonDelay)))
}

// sendHalf sends the first half of a request and waits until the front end closes the connection.
func (c *client) sendHalf(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	raw := encodeRequest(c.random, 1, floodFunctions, largeBody)
	if _, err := conn.Write(raw[:len(raw)/2]); err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// writeRequests writes the maximum number of requests with large bodies, whose outcomes are not recorded.
func (c *client) writeRequests(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	for i := range maxOpenRequests {
		c.tally.sent()
		if _, err := conn.Write(encodeRequest(c.random, i+1, floodFunctions, largeBody)); err != nil {
			return
		}
	}
}

// encodeRequest returns a request for a random function.
func encodeRequest(random *rand.Rand, number, functions, bodySize int) []byte {
	fields := map[string]string{
		"id":    fmt.Sprintf("%016x", random.Uint64()),
		"wait":  strconv.FormatInt(requestTimeout.Milliseconds(), 10),
		"key":   fmt.Sprintf("%016x", 1+random.IntN(functions)),
		"attrs": "memory_mb:512;lanes:4",
	}
	raw, err := msgpack.Marshal([]any{0, number, className, []any{fields, make([]byte, bodySize)}})
	if err != nil {
		panic(err) // the message has only strings, numbers and bytes
	}
	return raw
}

func isTimeout(err error) bool {
	network, is := err.(net.Error)
	return is && network.Timeout()
}

// connection is a connection whose responses are read and recorded. The reading goroutine runs until the connection ends.
type connection struct {
	conn      net.Conn
	tally     *Tally
	ended     chan struct{} // closed when the reading goroutine has returned
	responded chan bool     // receives whether the latest response was a rejection; drops values that nobody awaits

	mu         sync.Mutex
	lastNumber int
	open       map[int]time.Time // when each request without a response was sent, by number
}

func newConnection(conn net.Conn, tally *Tally) *connection {
	c := &connection{conn: conn, tally: tally, ended: make(chan struct{}), responded: make(chan bool, 1), open: map[int]time.Time{}}
	go c.read()
	return c
}

// send sends a request for a random function.
func (c *connection) send(random *rand.Rand, functions, bodySize int) {
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.open[number] = time.Now()
	c.mu.Unlock()
	c.tally.sent()
	_ = c.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	_, _ = c.conn.Write(encodeRequest(random, number, functions, bodySize)) // the reading goroutine notices the connection's end
}

func (c *connection) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *connection) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// awaitResponses waits until no request is open, the connection ends or the time limit has passed.
func (c *connection) awaitResponses(limit time.Duration) {
	timeout := time.After(limit)
	for c.openCount() > 0 {
		select {
		case <-c.responded:
		case <-c.ended:
			return
		case <-timeout:
			return
		}
	}
}

// close closes the connection and waits until the requests without a response are recorded as lost.
func (c *connection) close() {
	_ = c.conn.Close()
	<-c.ended
}

// read records the responses until the connection ends, and then the open requests as lost.
func (c *connection) read() {
	defer close(c.ended)
	defer func() { _ = c.conn.Close() }()
	defer c.recordLost()
	decoder := msgpack.NewDecoder(c.conn)
	decoder.UseLooseInterfaceDecoding(true)
	for {
		response, err := decoder.DecodeSlice()
		if err != nil || len(response) != 4 {
			return
		}
		c.record(response)
	}
}

// record records a response. A response to a request that is not open is ignored.
func (c *connection) record(response []any) {
	number, err := strconv.Atoi(fmt.Sprint(response[1]))
	c.mu.Lock()
	sentAt, isOpen := c.open[number]
	delete(c.open, number)
	c.mu.Unlock()
	if err != nil || !isOpen {
		return
	}
	outcome := outcomeOf(response[2])
	took := time.Since(sentAt)
	if took > requestTimeout+lateGrace {
		outcome = Lost
	}
	c.tally.ended(outcome, took)
	select {
	case c.responded <- outcome == Rejected:
	default:
	}
}

// lateGrace is how long after its client's timeout a response still counts.
const lateGrace = 50 * time.Millisecond

// recordLost records the open requests as lost.
func (c *connection) recordLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, sentAt := range c.open {
		delete(c.open, number)
		c.tally.ended(Lost, time.Since(sentAt))
	}
}

// outcomeOf returns the outcome that a response reports in its error.
func outcomeOf(failure any) Outcome {
	if failure == nil {
		return Served
	}
	if list, isList := failure.([]any); isList && len(list) > 0 && list[0] == "Backoff" {
		return Rejected
	}
	return Failed
}
