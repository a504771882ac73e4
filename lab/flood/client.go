package flood

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

const (
	maxOpenRequests = 32       // on one connection, by the platform's protocol
	largeBody       = 16 << 10 // bytes; the maximum by the platform's protocol

	regularClients    = 4
	regularFunctions  = 12
	regularRequestGap = 100 * time.Millisecond // mean time between two requests of a regular client
	floodFunctions    = 200
	wavePeriod        = 2500 * time.Millisecond
	reconnectDelay    = 10 * time.Millisecond
	rejectedDelay     = 5 * time.Millisecond  // after which a flooding client sends the next request after a rejection
	maxAbandonDelay   = 50 * time.Millisecond // within which an abandoning client disconnects
	slowReadInterval  = 20 * time.Millisecond
	slowReadBytes     = 4 << 10 // read in each interval
	unreadPeriod      = 1500 * time.Millisecond
	silentPeriod      = time.Second
)

// regularBodySizes are the sizes in bytes of the bodies that regular clients send.
var regularBodySizes = []int{64, 2 << 10, largeBody}

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
	for pause(ctx, time.Duration(c.random.ExpFloat64()*float64(regularRequestGap))) {
		if conn == nil || conn.hasEnded() {
			dialed := c.connect(ctx)
			if dialed == nil {
				continue
			}
			conn = newConnection(dialed, c.tally)
		}
		if conn.openCount() < maxOpenRequests {
			conn.send(c.random, regularFunctions, regularBodySizes[c.random.IntN(len(regularBodySizes))])
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

func isTimeout(err error) bool {
	network, is := err.(net.Error)
	return is && network.Timeout()
}
