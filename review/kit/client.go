//go:build review

package kit

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Call is one request of a client.
type Call struct {
	ID       string
	Class    string
	Tenant   string
	Function string
	Once     string
	Attrs    string
	Wait     time.Duration
	Body     []byte

	SentAt   time.Duration
	Conn     *Client
	number   uint32
	done     chan struct{}
	Kind     string // "served", "refused", "failed" or "closed"
	Reason   string
	EndedAt  time.Duration
	GoneAt   time.Duration // when the client revoked it; 0 if it did not
	Answers  int
	BodyFits bool
}

// RandomHex returns that many random hex digits.
func RandomHex(digits int) string {
	raw := make([]byte, digits/2)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// NewCall returns a call with a new id.
func NewCall(class, function string, wait time.Duration) *Call {
	return &Call{ID: RandomHex(16), Class: class, Function: function, Wait: wait, done: make(chan struct{}), Body: []byte(RandomHex(32))}
}

// Done is closed at the end of the call.
func (c *Call) Done() <-chan struct{} { return c.done }

// Client is one connection of a client to a front end.
type Client struct {
	conn   net.Conn
	record *Record

	mu     sync.Mutex
	number uint32
	open   map[uint32]*Call
	ended  map[uint32]*Call
	closed bool
}

// Dial connects to a front end.
func Dial(address string, record *Record) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, record: record, open: map[uint32]*Call{}, ended: map[uint32]*Call{}}
	go c.read()
	return c, nil
}

// Open returns the number of calls without an answer.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// IsClosed reports whether the connection has ended.
func (c *Client) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Send sends a call.
func (c *Client) Send(call *Call) error {
	fields := map[string]string{"id": call.ID, "wait": strconv.FormatInt(call.Wait.Milliseconds(), 10), "key": call.Function}
	for name, value := range map[string]string{"tenant": call.Tenant, "once": call.Once, "attrs": call.Attrs} {
		if value != "" {
			fields[name] = value
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.number++
	call.number, call.Conn, call.SentAt = c.number, c, Now()
	raw, err := msgpack.Marshal([]any{0, c.number, call.Class, []any{fields, call.Body}})
	if err != nil {
		return err
	}
	c.open[c.number] = call
	c.record.Line("sent       %s class %s key %s once %s wait %d", call.ID, call.Class, call.Function, call.Once, call.Wait.Milliseconds())
	_, err = c.conn.Write(raw)
	return err
}

// Revoke says that the client no longer waits for a call.
func (c *Client) Revoke(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[call.number] != call {
		return
	}
	delete(c.open, call.number)
	raw, _ := msgpack.Marshal([]any{2, "revoke", []any{call.number}})
	_, _ = c.conn.Write(raw)
	call.GoneAt = Now()
	call.Kind, call.EndedAt = "revoked", call.GoneAt
	c.record.LineAt(call.GoneAt, "revoked    %s", call.ID)
	close(call.done)
}

func (c *Client) read() {
	decoder := msgpack.NewDecoder(bufio.NewReader(c.conn))
	for {
		var message []any
		if err := decoder.Decode(&message); err != nil {
			c.end(err)
			return
		}
		if len(message) == 4 {
			c.answered(message)
		}
	}
}

func (c *Client) answered(message []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var number uint32
	if _, err := fmt.Sscan(fmt.Sprint(message[1]), &number); err != nil {
		return
	}
	call := c.open[number]
	if call == nil {
		if again := c.ended[number]; again != nil {
			again.Answers++
			c.record.Line("again      %s has a second answer", again.ID)
		}
		return
	}
	delete(c.open, number)
	c.ended[number] = call
	call.Answers++
	call.EndedAt = Now()
	if fault, ok := message[2].([]any); ok && len(fault) > 0 {
		call.Kind, call.Reason = "failed", fmt.Sprint(fault...)
		if fault[0] == "Backoff" {
			call.Kind = "refused"
		}
	} else {
		call.Kind = "served"
		if result, ok := message[3].([]any); ok && len(result) > 0 {
			body, _ := result[0].([]byte)
			call.BodyFits = string(body) == string(call.Body)
		}
	}
	c.record.LineAt(call.EndedAt, "%-10s %s %s", call.Kind, call.ID, call.Reason)
	close(call.done)
}

func (c *Client) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for number, call := range c.open {
		delete(c.open, number)
		call.Kind, call.Reason, call.EndedAt = "closed", err.Error(), Now()
		c.record.LineAt(call.EndedAt, "closed     %s %v", call.ID, err)
		close(call.done)
	}
	_ = c.conn.Close()
}

// IsReady asks a front end whether it is ready.
func IsReady(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	raw, _ := msgpack.Marshal([]any{0, 1, "heartbeat", []any{map[string]string{}}})
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := conn.Write(raw); err != nil {
		return false
	}
	var message []any
	if msgpack.NewDecoder(conn).Decode(&message) != nil || len(message) != 4 {
		return false
	}
	result, ok := message[3].([]any)
	return ok && len(result) > 0 && result[0] == true
}
