package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/worker"
)

const (
	dialTimeout = time.Second
	// probeTime is the timeout of the read that detects whether an idle connection is still open.
	probeTime = 100 * time.Microsecond
)

// connection is one connection to a front end.
type connection struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// isOpen reports whether an idle connection can be reused: a read times out, so the front end has neither sent data nor
// closed the connection.
func (c *connection) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(probeTime))
	_, err := c.in.Peek(1)
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// encodeRequest encodes a request in HTTP/1.1.
func encodeRequest(r loadgen.Request) []byte {
	body := append(worker.Body(r.Work, r.ResponseBytes), bytes.Repeat([]byte(" "), r.PaddingBytes)...)
	out := fmt.Appendf(nil, "POST /call/%s HTTP/1.1\r\nHost: lab\r\nContent-Length: %d\r\nCall-Id: %s\r\nCall-Patience: %d\r\n",
		r.Function, len(body), r.ID, r.Timeout.Milliseconds())
	out = appendHeader(out, "Call-Class", r.Class)
	out = appendHeader(out, "Call-Tenant", r.Tenant)
	out = appendHeader(out, "Idempotency-Key", r.IdempotencyKey)
	if r.MemoryMB > 0 {
		out = fmt.Appendf(out, "Call-Memory: %g\r\nCall-Lanes: %d\r\nCall-Load: %v\r\n", r.MemoryMB, max(1, r.Concurrency),
			max(time.Millisecond, r.LoadTime))
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}

// appendHeader appends a header field, unless its value is empty.
func appendHeader(out []byte, name, value string) []byte {
	if value == "" {
		return out
	}
	return fmt.Appendf(out, "%s: %s\r\n", name, value)
}
