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

// Parameters of the clients' load.
const (
	functionCount   = 12
	cancelShare     = 0.06 // fraction of the requests that the client cancels, within maxCancelDelay
	burstShare      = 0.01 // fraction of the requests in place of which the client sends a burst and disconnects at once
	burstRequests   = 24   // requests of a burst; with those that are open before at most maxOpenRequests are sent
	disconnectShare = 0.02 // fraction of the requests after which the client disconnects, within maxCancelDelay
	maxCancelDelay  = 700 * time.Millisecond
	reconnectDelay  = 50 * time.Millisecond
	maxOpenRequests = 32 // the platform's limit of unanswered requests on one connection
)

// client sends requests to one front end, over one connection at a time.
type client struct {
	run      *run
	frontEnd *frontEnd
	rng      *rand.Rand
}

// sendRequests sends requests until ctx ends, and reconnects as needed.
func (c *client) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.frontEnd.permits(allConnections) || !c.useConnection(ctx) {
			sleep(ctx, reconnectDelay)
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// useConnection sends requests on one connection until the connection ends, the front end accepts no more requests, or
// ctx ends. It returns false if the connection could not be established.
func (c *client) useConnection(ctx context.Context) bool {
	dialed, err := net.DialTimeout("tcp", c.frontEnd.address, time.Second)
	if err != nil {
		return false
	}
	conn := newClientConn(c.run.history, dialed)
	defer conn.awaitResponsesAndClose()
	for ctx.Err() == nil && c.frontEnd.permits(openConnections) && !conn.hasEnded() {
		if conn.openCount() < maxOpenRequests && !c.sendRequest(ctx, conn) {
			return true
		}
		sleep(ctx, c.requestGap())
	}
	return true
}

// requestGap draws the time until the next request. It is shorter during a traffic spike.
func (c *client) requestGap() time.Duration {
	gap := time.Duration(c.rng.ExpFloat64() * float64(c.run.profile.meanRequestGap))
	if c.frontEnd.inTrafficSpike() {
		return gap / trafficSpikeFactor
	}
	return gap
}

// sendRequest sends one request, and cancels it or disconnects on some draws. In place of it, it may send a burst of
// requests and disconnect at once, so that the front end has not read them all. It returns false if it closed the
// connection.
func (c *client) sendRequest(ctx context.Context, conn *clientConn) bool {
	if c.rng.Float64() < burstShare {
		for range min(burstRequests, maxOpenRequests-conn.openCount()) {
			c.sendOne(conn)
		}
		conn.disconnect()
		return false
	}
	number := c.sendOne(conn)
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

// sendOne sends one request and returns its number.
func (c *client) sendOne(conn *clientConn) int {
	name := classNames[c.rng.IntN(len(classNames))]
	timeout := c.run.profile.deadline(name)
	if c.rng.Float64() < 0.3 {
		timeout = time.Duration((0.2 + 0.8*c.rng.Float64()) * float64(timeout))
	}
	number, id := conn.nextRequestNumber(), fmt.Sprintf("%016x", c.run.nextRequest())
	c.run.history.Sent(Request{ID: id, Class: name, FrontEnd: c.frontEnd.index, Timeout: timeout})
	fields := map[string]string{
		"id":   id,
		"wait": fmt.Sprint(timeout.Milliseconds()),
		"key":  fmt.Sprintf("%016x", 1+c.rng.IntN(functionCount)),
	}
	if classes[name].retryRule == retryWithKey {
		fields["once"] = fmt.Sprintf("%032s", id)
	}
	conn.send(number, id, []any{0, number, string(name), []any{fields, []byte(id)}})
	return number
}

// clientConn is one connection of a client. A goroutine reads responses until the connection ends.
type clientConn struct {
	net.Conn
	history *History
	ended   chan struct{} // closed when the reading goroutine has returned

	mu           sync.Mutex
	lastNumber   int
	open         map[int]string // identifiers of the requests that await a response, by request number
	completed    map[int]string // identifiers of the requests that had a response, by request number
	disconnected bool           // the client closed the connection
	endRecorded  bool           // recordEnd has run; see send
}

func newClientConn(history *History, dialed net.Conn) *clientConn {
	c := &clientConn{Conn: dialed, history: history, ended: make(chan struct{}), open: map[int]string{}, completed: map[int]string{}}
	go c.read() // ends with the connection; awaitResponsesAndClose waits for it
	return c
}

func (c *clientConn) nextRequestNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// send sends a request. If the connection ends later, the reading goroutine records that the request lost its
// connection; if the end of the connection was recorded before, send records it.
func (c *clientConn) send(number int, id string, message []any) {
	isOpen := c.register(number, id)
	c.write(message)
	c.history.Written(id)
	if !isOpen {
		c.history.ConnectionLost(id)
	}
}

// register adds a request that is about to be sent to the open ones. It returns false if the connection's end was
// recorded before.
func (c *clientConn) register(number int, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endRecorded {
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

// cancel sends a cancellation for a request unless its response was received.
func (c *clientConn) cancel(number int) {
	c.mu.Lock()
	id, isOpen := c.open[number]
	delete(c.open, number)
	c.mu.Unlock()
	if isOpen {
		c.write([]any{2, "revoke", []int{number}})
		c.history.Abandoned(id) // recorded after the write, as the front end cannot know of the cancellation earlier
	}
}

// disconnect closes the connection and records all open requests as abandoned.
func (c *clientConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
	_ = c.Close()
	for _, id := range c.open {
		c.history.Abandoned(id)
	}
	clear(c.open)
}

// hasEnded reports whether the reading goroutine has seen the end of the connection.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// awaitResponsesAndClose waits until no request is open, for 5 s at most, which is longer than any request's timeout,
// and closes the connection.
func (c *clientConn) awaitResponsesAndClose() {
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

// read records responses until the connection ends or a response is malformed.
func (c *clientConn) read() {
	defer close(c.ended)
	decoder := msgpack.NewDecoder(c.Conn)
	decoder.UseLooseInterfaceDecoding(true) // decodes all integers to 64 bits, and bytes to strings
	for {
		response, err := decoder.DecodeSlice()
		if err != nil {
			c.recordEnd(err)
			return
		}
		if err := c.recordResponse(response); err != nil {
			c.history.RecordViolation(fmt.Sprintf("a client received %v: %v", response, err))
			c.recordEnd(err)
			return
		}
	}
}

// errUnknownResponse is returned for a response that is malformed or matches no request of its connection.
var errUnknownResponse = errors.New("not a response to a request of this connection")

// recordResponse records one response in the history.
func (c *clientConn) recordResponse(response []any) error {
	if len(response) != 4 {
		return errUnknownResponse
	}
	number, isNumber := asInt(response[1])
	if !isNumber {
		return errUnknownResponse
	}
	c.mu.Lock()
	id, isOpen := c.open[number]
	if isOpen {
		delete(c.open, number)
		c.completed[number] = id
	} else {
		id = c.completed[number] // duplicate response; empty if the request was cancelled while its response was in flight
	}
	isKnown := number <= c.lastNumber
	c.mu.Unlock()
	if !isKnown {
		return errUnknownResponse
	}
	if id == "" {
		return nil
	}
	outcome, bodyMatches := outcomeOf(response[2], response[3], id)
	c.history.ResponseReceived(id, outcome, bodyMatches)
	return nil
}

// recordEnd records that the open requests lost their connection, unless the client itself closed it.
func (c *clientConn) recordEnd(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRecorded = true
	if c.disconnected {
		return
	}
	for _, id := range c.open {
		c.history.ConnectionLost(id)
	}
	clear(c.open)
}

// asInt returns a decoded integer, and false for a value of any other type.
func asInt(value any) (int, bool) {
	switch number := value.(type) {
	case int64:
		return int(number), true
	case uint64:
		return int(number), true
	}
	return 0, false
}

// outcomeOf returns the outcome of a response, and whether a served response has the body that a worker returns for the
// request.
func outcomeOf(failure, result any, id string) (Outcome, bool) {
	if failure == nil {
		list, _ := result.([]any)
		if len(list) == 0 {
			return Served, false
		}
		body, _ := list[0].(string) // read decodes bytes to strings
		return Served, body == string(responseBody(id))
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
