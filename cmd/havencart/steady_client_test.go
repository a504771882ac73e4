package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// steadyClient sends requests at a steady rate on one connection, without waiting for their responses.
type steadyClient struct {
	net.Conn
	rng *rand.Rand
	log *responseLog

	mu        sync.Mutex
	open      map[int]openRequest // requests without a response, by number
	cancelled map[int]bool        // whether a request still had no response when its client timed out, by number
}

type openRequest struct {
	id      string
	sentAt  time.Time
	timeout time.Duration
}

// responseLog counts the outcomes of the requests of all clients.
type responseLog struct {
	mu                       sync.Mutex
	served, rejected, failed int
	lost                     []string // descriptions of the lost requests
}

func (c *steadyClient) run(number int) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read()
	}()
	next := time.Now()
	for i := range largeFleetRequests {
		time.Sleep(time.Until(next)) // emulates a client that sends at a steady rate
		next = next.Add(largeFleetRequestInterval)
		c.send(i+1, fmt.Sprintf("%08x%08x", number+1, i+1))
	}
	// After this time every request has a response or is lost.
	time.Sleep(time.Duration(largeFleetTimeouts["quote"])*time.Millisecond + 2*lateResponseGrace)
	_ = c.Close()
	<-ended
}

func (c *steadyClient) send(number int, id string) {
	class := []string{"quote", "quote", "status", "charge"}[c.rng.IntN(4)]
	function := int(float64(largeFleetFunctions) * c.rng.Float64() * c.rng.Float64())
	fields := map[string]string{"key": fmt.Sprintf("%016x", 1+function)}
	if class == "status" {
		fields["once"] = fmt.Sprintf("%032s", id)
	}
	c.sendRequest(number, id, class, time.Duration(largeFleetTimeouts[class])*time.Millisecond, fields)
}

// sendRequest sends a request with fields, which are specific to its class and function, and adds the common fields.
func (c *steadyClient) sendRequest(number int, id, class string, timeout time.Duration, fields map[string]string) {
	fields["id"] = id
	fields["wait"] = strconv.FormatInt(timeout.Milliseconds(), 10)
	raw, err := msgpack.Marshal([]any{0, number, class, []any{fields, []byte(id)}})
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	c.open[number] = openRequest{id: id, sentAt: time.Now(), timeout: timeout}
	c.mu.Unlock()
	time.AfterFunc(timeout+lateResponseGrace, func() { c.cancelIfOpen(number) })
	_, _ = c.Write(raw) // the reading goroutine detects a closed connection
}

// cancelIfOpen cancels a request if it still has no response, and records it as lost.
func (c *steadyClient) cancelIfOpen(number int) {
	c.mu.Lock()
	request, isOpen := c.open[number]
	delete(c.open, number)
	c.cancelled[number] = isOpen
	c.mu.Unlock()
	if !isOpen {
		return
	}
	c.log.recordLost(request, "no final response")
	if raw, err := msgpack.Marshal([]any{2, "revoke", []int{number}}); err == nil {
		_, _ = c.Write(raw)
	}
}

func (c *steadyClient) read() {
	decoder := msgpack.NewDecoder(c.Conn)
	decoder.UseLooseInterfaceDecoding(true)
	for {
		response, err := decoder.DecodeSlice()
		if err != nil || len(response) != 4 {
			c.connectionClosed()
			return
		}
		c.responseReceived(response[1], response[2])
	}
}

// connectionClosed records all open requests as lost.
func (c *steadyClient) connectionClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, request := range c.open {
		c.log.recordLost(request, "the connection was closed")
		delete(c.open, number)
	}
}

// responseReceived records the response to a request. A response without an open request violates the protocol and is
// recorded as a lost request, unless the request was cancelled.
func (c *steadyClient) responseReceived(numbered, failure any) {
	number, err := strconv.Atoi(fmt.Sprint(numbered))
	c.mu.Lock()
	request, isOpen := c.open[number]
	delete(c.open, number)
	wasCancelled := c.cancelled[number]
	c.mu.Unlock()
	if wasCancelled {
		return // the response was sent before the cancellation arrived
	}
	if err != nil || !isOpen {
		c.log.recordLost(request, fmt.Sprintf("response to request number %v, which is not open", numbered))
		return
	}
	c.log.recordResponse(request, failure)
}

func (r *responseLog) recordResponse(request openRequest, failure any) {
	if late := time.Since(request.sentAt) - request.timeout; late > lateResponseGrace {
		r.recordLost(request, fmt.Sprintf("final response %v after the client's timeout", late))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := failure
	if list, isList := failure.([]any); isList && len(list) > 0 {
		name = list[0]
	}
	switch name {
	case nil:
		r.served++
	case "Backoff":
		r.rejected++
	default:
		r.failed++
	}
}

func (r *responseLog) recordLost(request openRequest, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, fmt.Sprintf("request %s: %s", request.id, how))
}
