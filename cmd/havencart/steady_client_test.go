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

// steadyClient sends requests at a steady rate on one connection, whatever becomes of them.
type steadyClient struct {
	net.Conn
	rng *rand.Rand
	log *responseLog

	mu        sync.Mutex
	open      map[int]openRequest
	cancelled map[int]bool // by number, whether it had no response when its client gave up
}

type openRequest struct {
	id     string
	sentAt time.Time
	wait   time.Duration
}

// responseLog is what became of the requests of all clients.
type responseLog struct {
	mu                       sync.Mutex
	served, rejected, failed int
	lost                     []string
}

func (c *steadyClient) run(number int) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read()
	}()
	next := time.Now()
	for i := range largeFleetRequests {
		time.Sleep(time.Until(next)) // the clients' own pace is what is emulated
		next = next.Add(largeFleetGap)
		c.send(i+1, fmt.Sprintf("%08x%08x", number+1, i+1))
	}
	time.Sleep(time.Duration(largeFleetWaits["quote"])*time.Millisecond + 2*lateResponse) // all have ended then
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
	c.sendRequest(number, id, class, time.Duration(largeFleetWaits[class])*time.Millisecond, fields)
}

// sendRequest sends a request with the fields that belong to its class and function.
func (c *steadyClient) sendRequest(number int, id, class string, wait time.Duration, fields map[string]string) {
	fields["id"] = id
	fields["wait"] = strconv.FormatInt(wait.Milliseconds(), 10)
	raw, err := msgpack.Marshal([]any{0, number, class, []any{fields, []byte(id)}})
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	c.open[number] = openRequest{id: id, sentAt: time.Now(), wait: wait}
	c.mu.Unlock()
	time.AfterFunc(wait+lateResponse, func() { c.giveUp(number) })
	_, _ = c.Write(raw) // a connection that has ended is noticed by the reading goroutine
}

// giveUp cancels a request that still has no response: it is lost.
func (c *steadyClient) giveUp(number int) {
	c.mu.Lock()
	request, isOpen := c.open[number]
	delete(c.open, number)
	c.cancelled[number] = isOpen
	c.mu.Unlock()
	if !isOpen {
		return
	}
	c.log.lose(request, "no final response")
	if raw, err := msgpack.Marshal([]any{2, "revoke", []int{number}}); err == nil {
		_, _ = c.Write(raw)
	}
}

func (c *steadyClient) read() {
	decoder := msgpack.NewDecoder(c.Conn)
	decoder.UseLooseInterfaceDecoding(true)
	for {
		answer, err := decoder.DecodeSlice()
		if err != nil || len(answer) != 4 {
			c.endOfConnection()
			return
		}
		c.answered(answer[1], answer[2])
	}
}

// endOfConnection loses what is open on a connection that has ended.
func (c *steadyClient) endOfConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, request := range c.open {
		c.log.lose(request, "its connection ended")
		delete(c.open, number)
	}
}

// answered notes the response to a request. One without a request would break the protocol.
func (c *steadyClient) answered(numbered, failure any) {
	number, err := strconv.Atoi(fmt.Sprint(numbered))
	c.mu.Lock()
	request, isOpen := c.open[number]
	delete(c.open, number)
	wasCancelled := c.cancelled[number]
	c.mu.Unlock()
	if wasCancelled {
		return // its response crossed the cancel
	}
	if err != nil || !isOpen {
		c.log.lose(request, fmt.Sprintf("response to %v, which is not open", numbered))
		return
	}
	c.log.answered(request, failure)
}

func (r *responseLog) answered(request openRequest, failure any) {
	if late := time.Since(request.sentAt) - request.wait; late > lateResponse {
		r.lose(request, fmt.Sprintf("final response %v after its client's wait", late))
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

func (r *responseLog) lose(request openRequest, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, fmt.Sprintf("request %s: %s", request.id, how))
}
