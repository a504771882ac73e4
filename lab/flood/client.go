package flood

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxOpenRequests = 32       // on one connection, by the platform's protocol
	largeBody       = 16 << 10 // bytes; the maximum by the platform's protocol
	maxFields       = 16       // of a request, as the front end accepts it
	maxFieldName    = 64       // bytes
	maxFieldValue   = 512      // bytes

	regularClients    = 4
	regularFunctions  = 12
	floodFunctions    = 200
	wavePeriod        = 2500 * time.Millisecond
	reconnectDelay    = 10 * time.Millisecond
	rejectedDelay     = 5 * time.Millisecond  // after which a flooding client sends the next request after a rejection
	maxAbandonDelay   = 50 * time.Millisecond // within which an abandoning client disconnects
	slowWriteInterval = 10 * time.Millisecond
	slowWriteBytes    = 128 // written in each interval, so that a request with a large body takes 1.3 s
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
	timeout time.Duration // time for which the client waits for a response
	random  *rand.Rand
	// tallyNow returns the tally of the requests that are sent now.
	tallyNow func() *Tally
}

// ClientsConfig configures flooding clients of a front end that runs already.
type ClientsConfig struct {
	Address string // of the front end
	Kind    Kind
	Clients int
	Timeout time.Duration // time for which clients wait for a response; 0: 3 s
	Seed    uint64
}

// RunClients runs flooding clients until ctx ends, and returns what became of their requests.
func RunClients(ctx context.Context, config ClientsConfig) *Tally {
	tally := &Tally{}
	var clients sync.WaitGroup
	for i := range config.Clients {
		c := &client{
			address: config.Address, timeout: cmp.Or(config.Timeout, defaultRequestTimeout),
			random: newRandom(config.Seed, regularClients+i), tallyNow: func() *Tally { return tally },
		}
		clients.Go(func() { c.flood(ctx, config.Kind) })
	}
	clients.Wait()
	return tally
}

// connect opens a connection. It returns nil if that fails, after a delay.
func (c *client) connect(ctx context.Context) net.Conn {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		pause(ctx, reconnectDelay)
		return nil
	}
	c.tallyNow().connected()
	return conn
}

// sendSteadily sends requests at random times, meanGap apart on average, until ctx ends, and then waits for their
// responses.
func (c *client) sendSteadily(ctx context.Context, meanGap time.Duration) {
	var conn *connection
	for pause(ctx, time.Duration(c.random.ExpFloat64()*float64(meanGap))) {
		if conn == nil || conn.hasEnded() {
			dialed := c.connect(ctx)
			if dialed == nil {
				continue
			}
			conn = newConnection(dialed, c.timeout, c.tallyNow)
		}
		if conn.openCount() < maxOpenRequests {
			conn.send(c.random, regularFunctions, regularBodySizes[c.random.IntN(len(regularBodySizes))])
		}
	}
	if conn != nil {
		conn.awaitResponses(c.timeout + lostAfter)
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
		SlowWriter: c.sendSlowly,
		ManyFields: c.sendManyFields,

		Heartbeats:      c.fullSpeed(heartbeats),
		UnknownCancels:  c.fullSpeed(unknownCancellations),
		CancelledAtOnce: c.fullSpeed(cancelledAtOnce),
		RepeatedID:      c.fullSpeed(repeatedID),
		UnknownClass:    c.fullSpeed(unknownClass),
		HeartbeatsAnew:  c.sendHeartbeatsAnew,
		Connects:        c.connectAgain,
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
		if !isFullSpeed(kind) {
			pause(ctx, reconnectDelay) // so that a client whose connections are closed at once does not spin
		}
	}
}

// sendWave sends the maximum number of requests at once and reads the responses.
func (c *client) sendWave(_ context.Context, dialed net.Conn) {
	conn := newConnection(dialed, c.timeout, c.tallyNow)
	for range maxOpenRequests {
		conn.send(c.random, floodFunctions, largeBody)
	}
	conn.awaitResponses(c.timeout)
	conn.close()
}

// keepOpen keeps the maximum number of requests open until ctx or the connection ends.
func (c *client) keepOpen(ctx context.Context, dialed net.Conn, bodySize int) {
	conn := newConnection(dialed, c.timeout, c.tallyNow)
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
	for end := time.Now().Add(2 * c.timeout); time.Now().Before(end) && pause(ctx, slowReadInterval); {
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
	raw := encodeRequest(c.random, c.timeout, 1, floodFunctions, largeBody)
	if _, err := conn.Write(raw[:len(raw)/2]); err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// sendSlowly sends requests with large bodies in small parts and reads the responses, until the connection ends.
func (c *client) sendSlowly(ctx context.Context, conn net.Conn) {
	endRead := discardInput(ctx, conn)
	defer endRead()
	for number := 1; ; number++ {
		raw := encodeRequest(c.random, c.timeout, number, floodFunctions, largeBody)
		c.tallyNow().sent()
		for part := range slices.Chunk(raw, slowWriteBytes) {
			if _, err := conn.Write(part); err != nil || !pause(ctx, slowWriteInterval) {
				return
			}
		}
	}
}

// sendManyFields sends a request with as many and as large fields as the protocol permits, but for its last byte, and
// waits until the front end closes the connection.
func (c *client) sendManyFields(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	fields := map[string]string{}
	for i := range maxFields {
		fields[fmt.Sprintf("%0*d", maxFieldName, i)] = strings.Repeat("x", maxFieldValue)
	}
	raw := appendMessage(nil, []any{0, 1, className, []any{fields, make([]byte, largeBody)}})
	if _, err := conn.Write(raw[:len(raw)-1]); err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// writeRequests writes the maximum number of requests with large bodies, whose outcomes are not recorded.
func (c *client) writeRequests(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.timeout))
	for i := range maxOpenRequests {
		c.tallyNow().sent()
		if _, err := conn.Write(encodeRequest(c.random, c.timeout, i+1, floodFunctions, largeBody)); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	network, is := err.(net.Error)
	return is && network.Timeout()
}
