package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// What clients do.
const (
	clientsPerFrontEnd = 4
	meanRequestGap     = 120 * time.Millisecond
	functionCount      = 12
	cancelShare        = 0.06 // of the requests, cancelled after up to maxCancelDelay
	disconnectShare    = 0.02 // of the requests, after which the client closes its connection
	maxCancelDelay     = 700 * time.Millisecond
	reconnectPause     = 50 * time.Millisecond
	maxOpenRequests    = 32 // on one connection, by the platform's rules
)

// client sends requests to one front end, over one connection at a time.
type client struct {
	run      *run
	frontEnd *frontEnd
	rng      *rand.Rand
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.frontEnd.permits(allConnections) || !c.useConnection(ctx) {
			sleep(ctx, reconnectPause)
		}
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// useConnection sends requests on one connection until it ends, the front end accepts none, or ctx ends. It returns false
// if there was no connection.
func (c *client) useConnection(ctx context.Context) bool {
	dialed, err := net.DialTimeout("tcp", c.frontEnd.address, time.Second)
	if err != nil {
		return false
	}
	conn := newClientConn(c.run.history, dialed)
	defer conn.awaitEnd()
	for ctx.Err() == nil && c.frontEnd.permits(openConnections) && !conn.hasEnded() {
		if conn.openCount() < maxOpenRequests && !c.sendOne(ctx, conn) {
			return true
		}
		sleep(ctx, c.requestGap())
	}
	return true
}

// requestGap draws the time until the next request.
func (c *client) requestGap() time.Duration {
	gap := time.Duration(c.rng.ExpFloat64() * float64(meanRequestGap))
	if c.frontEnd.isCrowded() {
		return gap / crowdFactor
	}
	return gap
}

// sendOne sends a request, and does what its client does with it. It returns false once the connection was closed.
func (c *client) sendOne(ctx context.Context, conn *clientConn) bool {
	name := classNames[c.rng.IntN(len(classNames))]
	wait := classes[name].deadline
	if c.rng.Float64() < 0.3 {
		wait = time.Duration((0.2 + 0.8*c.rng.Float64()) * float64(wait))
	}
	number, id := conn.nextNumber(), fmt.Sprintf("%016x", c.run.nextRequest())
	c.run.history.Sent(Request{ID: id, Class: name, FrontEnd: c.frontEnd.index, Wait: wait})
	fields := map[string]string{
		"id":   id,
		"wait": fmt.Sprint(wait.Milliseconds()),
		"key":  fmt.Sprintf("%016x", 1+c.rng.IntN(functionCount)),
	}
	if classes[name].repeat == repeatByKey {
		fields["once"] = fmt.Sprintf("%032s", id)
	}
	conn.send(number, id, []any{0, number, string(name), []any{fields, []byte(id)}})
	switch draw := c.rng.Float64(); {
	case draw < cancelShare:
		sleep(ctx, time.Duration(c.rng.Float64()*float64(maxCancelDelay)))
		conn.cancel(number)
	case draw < cancelShare+disconnectShare:
		sleep(ctx, time.Duration(c.rng.Float64()*float64(maxCancelDelay)))
		conn.disconnect()
		return false
	}
	return true
}

// clientConn is one connection of a client. A goroutine reads responses until it ends.
type clientConn struct {
	net.Conn
	history *History
	ended   chan struct{} // closed when the reading goroutine has ended

	mu           sync.Mutex
	lastNumber   int
	open         map[int]string // identifiers of the requests without a response, by number
	answered     map[int]string // those that had one
	disconnected bool           // the client closed it
	endNoted     bool           // see noteEnd
}

func newClientConn(history *History, dialed net.Conn) *clientConn {
	c := &clientConn{Conn: dialed, history: history, ended: make(chan struct{}), open: map[int]string{}, answered: map[int]string{}}
	go c.read() // awaitEnd waits for it
	return c
}

func (c *clientConn) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// send sends a request. If the connection ends, the reading goroutine notes its loss; if it has ended already, send does.
func (c *clientConn) send(number int, id string, message []any) {
	isOpen := c.register(number, id)
	c.write(message)
	c.history.Written(id)
	if !isOpen {
		c.history.ConnectionLost(id)
	}
}

// register notes that a request is about to be sent. It returns false if the connection's end was noted before.
func (c *clientConn) register(number int, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endNoted {
		return false
	}
	c.open[number] = id
	return true
}

func (c *clientConn) write(message any) {
	raw, err := msgpack.Marshal(message)
	if err == nil {
		_, _ = c.Write(raw)
	}
}

// cancel cancels a request that has no response.
func (c *clientConn) cancel(number int) {
	c.mu.Lock()
	id, isOpen := c.open[number]
	delete(c.open, number)
	c.mu.Unlock()
	if isOpen {
		c.write([]any{2, "revoke", []int{number}})
		c.history.GivenUp(id) // not before the front end can know
	}
}

// disconnect closes the connection with whatever is open on it.
func (c *clientConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
	_ = c.Close()
	for _, id := range c.open {
		c.history.GivenUp(id)
	}
	clear(c.open)
}

// hasEnded is whether the connection has ended.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// awaitEnd waits until all requests have a response, for as long as any client may wait, and closes the connection.
func (c *clientConn) awaitEnd() {
	deadline := time.Now().Add(5 * time.Second)
	for !c.hasEnded() && c.openCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	_ = c.Close()
	<-c.ended
}

func (c *clientConn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// read notes responses until the connection ends.
func (c *clientConn) read() {
	defer close(c.ended)
	decoder := msgpack.NewDecoder(c.Conn)
	decoder.UseLooseInterfaceDecoding(true) // all integers as 64 bits, bytes as strings
	for {
		answer, err := decoder.DecodeSlice()
		if err != nil {
			c.noteEnd(err)
			return
		}
		if err := c.noteAnswer(answer); err != nil {
			c.history.Fault(fmt.Sprintf("a client received %v: %v", answer, err))
			c.noteEnd(err)
			return
		}
	}
}

var errUnknownAnswer = errors.New("not a response to a request of this connection")

// noteAnswer notes one response.
func (c *clientConn) noteAnswer(answer []any) error {
	if len(answer) != 4 {
		return errUnknownAnswer
	}
	number, isNumber := asInt(answer[1])
	if !isNumber {
		return errUnknownAnswer
	}
	c.mu.Lock()
	id, isOpen := c.open[number]
	if isOpen {
		delete(c.open, number)
		c.answered[number] = id
	} else {
		id = c.answered[number] // a second response; empty: it was cancelled while its response was on its way
	}
	isKnown := number <= c.lastNumber
	c.mu.Unlock()
	if !isKnown {
		return errUnknownAnswer
	}
	if id == "" {
		return nil
	}
	outcome, echoed := outcomeOf(answer[2], answer[3], id)
	c.history.Answered(id, outcome, echoed)
	return nil
}

// noteEnd notes the requests that the connection's end leaves without a response.
func (c *clientConn) noteEnd(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endNoted = true
	if c.disconnected {
		return
	}
	for _, id := range c.open {
		c.history.ConnectionLost(id)
	}
	clear(c.open)
}

// asInt returns an integer of a message.
func asInt(value any) (int, bool) {
	switch number := value.(type) {
	case int64:
		return int(number), true
	case uint64:
		return int(number), true
	}
	return 0, false
}

// outcomeOf returns the outcome of a response, and whether a served one has the body that a worker made for the request.
func outcomeOf(failure, result any, id string) (Outcome, bool) {
	if failure == nil {
		list, _ := result.([]any)
		if len(list) == 0 {
			return Served, false
		}
		body, _ := list[0].(string) // as bytes are decoded, see read
		return Served, body == string(echo(id))
	}
	name := failure
	if list, isList := failure.([]any); isList && len(list) > 0 {
		name = list[0]
	}
	if name == "Backoff" {
		return Rejected, false
	}
	return Failed, false
}
