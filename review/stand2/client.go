//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// request is a client's request and what became of it.
type request struct {
	ID, Class, Key, Once string
	Wait                 time.Duration
	Attributes           string
	Body                 []byte

	number   int
	sentAt   time.Time
	outcome  string // "", "served", "Backoff" or another error
	answer   []byte
	answered chan struct{} // closed at the answer or the end of the connection
	at       time.Time
}

// client is one connection to a front end.
type client struct {
	conn     net.Conn
	recorder *recorder

	mu    sync.Mutex
	last  int
	open  map[int]*request
	beat  chan bool
	ended bool
}

// randomHex returns so many random hex digits.
func randomHex(digits int) string {
	raw := make([]byte, digits/2)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func dialClient(address string, recorder *recorder) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, recorder: recorder, open: map[int]*request{}, beat: make(chan bool, 1)}
	go c.read()
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// hasEnded reports whether the connection has ended.
func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *client) note(format string, args ...any) {
	if c.recorder != nil {
		c.recorder.add(format, args...)
	}
}

// heartbeat returns the answer to a heartbeat, false if none comes within a second.
func (c *client) heartbeat() bool {
	c.mu.Lock()
	c.last++
	c.write([]any{0, c.last, "heartbeat", []any{map[string]string{}}})
	c.mu.Unlock()
	select {
	case ready := <-c.beat:
		return ready
	case <-time.After(time.Second):
		return false
	}
}

func (c *client) write(message any) {
	raw, err := msgpack.Marshal(message)
	if err == nil {
		_, _ = c.conn.Write(raw)
	}
}

// send sends a request. Its ID is made here.
func (c *client) send(r *request) *request {
	r.ID = randomHex(16)
	return c.sendRequest(r)
}

// sendAgain sends a request, which crossed the end of another connection, once more.
func (c *client) sendAgain(r *request) *request {
	return c.sendRequest(&request{ID: r.ID, Class: r.Class, Key: r.Key, Once: r.Once, Wait: r.Wait, Attributes: r.Attributes, Body: r.Body})
}

// sendRequest writes a request.
func (c *client) sendRequest(r *request) *request {
	r.answered = make(chan struct{})
	fields := map[string]string{"id": r.ID, "wait": strconv.FormatInt(r.Wait.Milliseconds(), 10), "key": r.Key}
	if r.Once != "" {
		fields["once"] = r.Once
	}
	if r.Attributes != "" {
		fields["attrs"] = r.Attributes
	}
	if r.Body == nil {
		r.Body = []byte("body of " + r.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended { // the connection had ended before, as the client knows
		close(r.answered)
		return r
	}
	c.last++
	r.number = c.last
	c.open[r.number] = r
	r.sentAt = time.Now()
	c.note("client sends %s class %s key %s wait %v", r.ID, r.Class, r.Key, r.Wait)
	c.write([]any{0, r.number, r.Class, []any{fields, r.Body}})
	return r
}

// revoke takes a request back. It returns the time after the write.
func (c *client) revoke(r *request) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, r.number)
	c.write([]any{2, "revoke", []int{r.number}})
	at := time.Now()
	c.note("client has revoked %s", r.ID)
	return at
}

func (c *client) read() {
	decoder := msgpack.NewDecoder(c.conn)
	decoder.UseLooseInterfaceDecoding(true)
	for {
		message, err := decoder.DecodeSlice()
		if err != nil {
			c.end()
			return
		}
		c.handle(message)
	}
}

func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for number, r := range c.open {
		delete(c.open, number)
		r.at = time.Now()
		c.note("the connection of %s ended without an answer", r.ID)
		close(r.answered)
	}
}

func (c *client) handle(message []any) {
	if len(message) != 4 {
		return
	}
	number, _ := strconv.Atoi(fmt.Sprint(message[1]))
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.open[number]
	if r == nil {
		if list, is := message[3].([]any); is && len(list) > 0 {
			if ready, is := list[0].(bool); is {
				c.beat <- ready
			}
		}
		return
	}
	delete(c.open, number)
	r.at = time.Now()
	if list, is := message[2].([]any); is && len(list) > 0 {
		r.outcome = fmt.Sprint(list[0])
	} else {
		r.outcome = "served"
		if list, is := message[3].([]any); is && len(list) > 0 {
			body, _ := list[0].(string)
			r.answer = []byte(body)
		}
	}
	c.note("client gets %s for %s after %.1f ms", r.outcome, r.ID, float64(r.at.Sub(r.sentAt).Microseconds())/1000)
	close(r.answered)
}

// await waits for the answer.
func (r *request) await(limit time.Duration) bool {
	select {
	case <-r.answered:
		return r.outcome != ""
	case <-time.After(limit):
		return false
	}
}
