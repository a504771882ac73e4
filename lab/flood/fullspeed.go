package flood

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// isFullSpeed reports whether the clients of a flood send at full speed and connect again at once.
func isFullSpeed(kind Kind) bool {
	return slices.Contains([]Kind{Heartbeats, UnknownCancels, CancelledAtOnce, RepeatedID, UnknownClass, HeartbeatsAnew, Connects}, kind)
}

const (
	// messagesPerWrite is how many small messages a client that sends at full speed writes at a time.
	messagesPerWrite = 256
	// floodWriteBuffer is the size in bytes of the send buffer of a client that sends at full speed.
	floodWriteBuffer = 64 << 10
	// cancelledRequests is how many requests a client sends before it cancels all of them.
	cancelledRequests = maxOpenRequests / 2
)

// fullSpeed returns a behavior that writes what batch returns over and over, and reads and discards the responses, until
// ctx or the connection ends.
func (c *client) fullSpeed(batch func(c *client, number int) (raw []byte, nextNumber int)) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetWriteBuffer(floodWriteBuffer) // a larger one only makes the flood go on after its end
		}
		endRead := discardInput(ctx, conn)
		defer endRead()
		for number := 1; ; {
			raw, next := batch(c, number)
			if _, err := conn.Write(raw); err != nil {
				return
			}
			c.tallyNow().sentMany(next - number)
			number = next
			runtime.Gosched() // for the regular clients
		}
	}
}

// sendHeartbeatsAnew sends as many heartbeats as a client may have requests open, reads the responses and connects again,
// until ctx ends.
func (c *client) sendHeartbeatsAnew(ctx context.Context, _ net.Conn) {
	var raw []byte
	for number := 1; number <= maxOpenRequests; number++ {
		raw = appendMessage(raw, []any{0, number, "heartbeat", []any{map[string]string{}}})
	}
	response := make([]byte, len(raw))
	for ctx.Err() == nil {
		conn := c.connect(ctx)
		if conn == nil {
			continue
		}
		c.tallyNow().sentMany(maxOpenRequests)
		_ = conn.SetDeadline(time.Now().Add(c.timeout))
		_, _ = conn.Write(raw)
		_, _ = conn.Read(response)
		_ = conn.Close()
	}
}

// discardInput reads and discards what the front end sends until ctx or the connection ends. The caller must call the
// result, which closes the connection.
func discardInput(ctx context.Context, conn net.Conn) (end func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	ended := make(chan struct{})
	go func() { // ends with the connection
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	return func() {
		stop()
		_ = conn.Close()
		<-ended
	}
}

// Messages that are encoded once, because a flooding client must not take the processor time of the regular clients, which
// run in the same process.
var (
	encodedHeartbeats           = encodeMany(func(number int) any { return []any{0, number, "heartbeat", []any{map[string]string{}}} })
	encodedUnknownCancellations = encodeMany(func(number int) any { return []any{2, "revoke", []int{number}} })
)

// encodeMany returns messagesPerWrite messages.
func encodeMany(message func(number int) any) (raw []byte) {
	for number := 1; number <= messagesPerWrite; number++ {
		raw = appendMessage(raw, message(number))
	}
	return raw
}

// heartbeats returns heartbeats.
func heartbeats(_ *client, number int) (raw []byte, nextNumber int) {
	return encodedHeartbeats, number + messagesPerWrite
}

// unknownCancellations returns cancellations of requests that were not sent.
func unknownCancellations(_ *client, number int) (raw []byte, nextNumber int) {
	return encodedUnknownCancellations, number + messagesPerWrite
}

// cancelledAtOnce returns requests for functions that were not named before, and their cancellation.
func cancelledAtOnce(c *client, number int) (raw []byte, nextNumber int) {
	var numbers []int
	for range cancelledRequests {
		raw = append(raw, encodeNamed(c.timeout, number, c.random.Uint64(), c.random.Uint64())...)
		numbers = append(numbers, number)
		number++
	}
	return appendMessage(raw, []any{2, "revoke", numbers}), number
}

// repeatedID returns requests that all have the same identifier.
func repeatedID(c *client, number int) (raw []byte, nextNumber int) {
	return encodeNamed(c.timeout, number, 1, 1), number + 1
}

// unknownClass returns a request of a class that does not exist.
func unknownClass(c *client, number int) (raw []byte, nextNumber int) {
	fields := map[string]string{"id": fmt.Sprintf("%016x", c.random.Uint64()), "wait": "1000", "key": "00000000000000aa"}
	return appendMessage(nil, []any{0, number, fmt.Sprintf("class-%x", c.random.Uint64()), []any{fields, []byte{}}}), number + 1
}

// encodeNamed returns a request for a function without a body.
func encodeNamed(timeout time.Duration, number int, function, id uint64) []byte {
	fields := map[string]string{
		"id":    fmt.Sprintf("%016x", id),
		"wait":  strconv.FormatInt(timeout.Milliseconds(), 10),
		"key":   fmt.Sprintf("%016x", function),
		"attrs": "memory_mb:512;lanes:4",
	}
	return appendMessage(nil, []any{0, number, className, []any{fields, []byte{}}})
}

func appendMessage(raw []byte, message any) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		panic(err) // the message has only strings, numbers and bytes
	}
	return append(raw, encoded...)
}

// connectAgain opens and closes connections until ctx ends.
func (c *client) connectAgain(ctx context.Context, _ net.Conn) {
	for ctx.Err() == nil {
		if conn := c.connect(ctx); conn != nil {
			_ = conn.Close()
		}
	}
}
