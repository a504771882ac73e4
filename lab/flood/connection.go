package flood

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	className = "quote"
	// responseGrace is how long after its client's timeout a response still counts as in time.
	responseGrace = 50 * time.Millisecond
	// lostAfter is how long after its client's timeout a request without a response is lost.
	lostAfter = responseGrace + 500*time.Millisecond
)

// connection is a connection whose responses are read and recorded. The reading goroutine runs until the connection ends.
type connection struct {
	conn      net.Conn
	timeout   time.Duration // time for which the client waits for a response
	tallyNow  func() *Tally // returns the tally of the requests that are sent now
	ended     chan struct{} // closed when the reading goroutine has returned
	responded chan bool     // receives whether the latest response was a rejection; drops values that nobody awaits

	mu         sync.Mutex
	lastNumber int
	open       map[int]openRequest // requests without a response, by number
}

// openRequest is a request without a response.
type openRequest struct {
	sentAt time.Time
	tally  *Tally // counts its outcome
}

func newConnection(conn net.Conn, timeout time.Duration, tallyNow func() *Tally) *connection {
	c := &connection{conn: conn, timeout: timeout, tallyNow: tallyNow, ended: make(chan struct{}), responded: make(chan bool, 1), open: map[int]openRequest{}}
	go c.read()
	return c
}

// send sends a request for a random function.
func (c *connection) send(random *rand.Rand, functions, bodySize int) {
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	tally := c.tallyNow()
	c.open[number] = openRequest{sentAt: time.Now(), tally: tally}
	c.mu.Unlock()
	tally.sent()
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.timeout))
	_, _ = c.conn.Write(encodeRequest(random, c.timeout, number, functions, bodySize)) // the reading goroutine notices the connection's end
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
	request, isOpen := c.open[number]
	delete(c.open, number)
	c.mu.Unlock()
	if err != nil || !isOpen {
		return
	}
	outcome := outcomeOf(response[2])
	took := time.Since(request.sentAt)
	switch {
	case took > c.timeout+lostAfter:
		outcome = Lost
	case took > c.timeout+responseGrace:
		outcome = Late
	}
	request.tally.ended(outcome, took)
	select {
	case c.responded <- outcome == Rejected:
	default:
	}
}

// recordLost records the open requests as lost.
func (c *connection) recordLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, request := range c.open {
		delete(c.open, number)
		request.tally.ended(Lost, time.Since(request.sentAt))
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

// encodeRequest returns a request for a random function.
func encodeRequest(random *rand.Rand, timeout time.Duration, number, functions, bodySize int) []byte {
	fields := map[string]string{
		"id":    fmt.Sprintf("%016x", random.Uint64()),
		"wait":  strconv.FormatInt(timeout.Milliseconds(), 10),
		"key":   fmt.Sprintf("%016x", 1+random.IntN(functions)),
		"attrs": "memory_mb:512;lanes:4",
	}
	raw, err := msgpack.Marshal([]any{0, number, className, []any{fields, make([]byte, bodySize)}})
	if err != nil {
		panic(err) // the message has only strings, numbers and bytes
	}
	return raw
}
