package httpserver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fixed parts of the status line, headers and body of a response.
const (
	protocolVersion     = "HTTP/1.1 "
	prefixDate          = "Date: "
	prefixOutcome       = "Call-Outcome: "
	prefixAttempts      = "Call-Attempts: "
	prefixID            = "Call-Id: "
	prefixWorker        = "Call-Worker: "
	prefixContentType   = "Content-Type: "
	prefixContentLength = "Content-Length: "
	lineConnectionClose = "Connection: close\r\n"
	lineChunked         = "Transfer-Encoding: chunked\r\n"
	lineContinue        = "HTTP/1.1 100 Continue\r\n\r\n"
	lineEnd             = "\r\n"
	lastChunk           = "0\r\n\r\n"
)

// framing is how a client determines the end of a served response's body (RFC 9112, section 6.3).
type framing int

const (
	framingLength     framing = iota // Content-Length
	framingChunked                   // chunked transfer coding
	framingUntilClose                // the end of the connection, for HTTP/1.0
)

// status returns the response's status code.
func (r Response) status() int {
	switch {
	case r.Outcome == Served:
		return http.StatusOK
	case r.Outcome == Rejected:
		return http.StatusServiceUnavailable
	case r.Outcome == Failed && r.TimedOut:
		return http.StatusGatewayTimeout
	case r.Outcome == Failed:
		return http.StatusBadGateway
	}
	return http.StatusBadRequest
}

// Details is the body of a response that does not come from a worker: problem details (RFC 9457).
type Details struct {
	Type         string  `json:"type"`
	Title        string  `json:"title"`
	Status       int     `json:"status"`
	Detail       string  `json:"detail,omitempty"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	Attempts     int     `json:"attempts"`
}

// writeProblem writes a complete response with problem details. closeAfter tells that the connection is then closed.
func writeProblem(out *bufio.Writer, status int, response Response, closeAfter bool) error {
	body, err := json.Marshal(Details{
		Type:         "about:blank",
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       response.Reason,
		Outcome:      response.Outcome,
		RetryAfterMs: response.RetryAfter.Milliseconds(),
		Attempts:     response.Attempts,
	})
	if err != nil {
		return fmt.Errorf("encode problem details: %w", err)
	}
	writeCommonHead(out, status, response, closeAfter)
	head := out.AvailableBuffer()
	if response.Outcome == Rejected && response.RetryAfter > 0 {
		head = appendRetryAfter(head, response.RetryAfter)
	}
	head = append(head, prefixContentType+"application/problem+json"+lineEnd...)
	head = appendContentLength(head, int64(len(body)))
	head = append(head, lineEnd...)
	_, _ = out.Write(head) // a bufio.Writer returns the error again on the next call
	_, err = out.Write(body)
	return err
}

// appendRetryAfter appends the standard Retry-After header, in whole seconds rounded up (RFC 9110, section 10.2.3), and
// the Retry-After-Ms header of this service, in milliseconds.
func appendRetryAfter(head []byte, delay time.Duration) []byte {
	seconds := (delay + time.Second - 1) / time.Second
	return fmt.Appendf(head, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", seconds, delay.Milliseconds())
}

func appendContentLength(head []byte, length int64) []byte {
	head = append(head, prefixContentLength...)
	head = strconv.AppendInt(head, length, 10)
	return append(head, lineEnd...)
}

// writeCommonHead writes the status line and the headers that all responses have. It drops a write error, which
// bufio.Writer returns again on the next call.
func writeCommonHead(out *bufio.Writer, status int, response Response, closeAfter bool) {
	head := out.AvailableBuffer()
	head = append(head, protocolVersion...)
	head = strconv.AppendInt(head, int64(status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(status)...)
	head = append(head, lineEnd+prefixDate...)
	head = time.Now().UTC().AppendFormat(head, http.TimeFormat)
	head = append(head, lineEnd+prefixOutcome...)
	head = append(head, response.Outcome...)
	head = append(head, lineEnd+prefixAttempts...)
	head = strconv.AppendInt(head, int64(response.Attempts), 10)
	head = append(head, lineEnd...)
	if response.ID != "" {
		head = appendHeader(head, prefixID, response.ID)
	}
	if closeAfter {
		head = append(head, lineConnectionClose...)
	}
	_, _ = out.Write(head)
}

// appendHeader appends a header line. Control characters are removed from the value, which may be any text.
func appendHeader(head []byte, prefix, value string) []byte {
	head = append(head, prefix...)
	head = append(head, removeControlCharacters(value)...)
	return append(head, lineEnd...)
}

// removeControlCharacters removes control characters, which could end the value of a header early.
func removeControlCharacters(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, text)
}

// writeHead writes the head of a served response. closeAfter tells that the connection is closed after the response.
func writeHead(out *bufio.Writer, response Response, bodyFraming framing, closeAfter bool) error {
	writeCommonHead(out, http.StatusOK, response, closeAfter)
	head := appendHeader(out.AvailableBuffer(), prefixWorker, response.Worker)
	if response.ContentType != "" {
		head = appendHeader(head, prefixContentType, response.ContentType)
	}
	switch bodyFraming {
	case framingLength:
		head = appendContentLength(head, response.Length)
	case framingChunked:
		head = append(head, lineChunked...)
	case framingUntilClose:
	}
	head = append(head, lineEnd...)
	_, err := out.Write(head)
	return err
}

// writePart writes one part of a response's body and flushes it.
func writePart(out *bufio.Writer, part []byte, bodyFraming framing) error {
	if bodyFraming != framingChunked {
		if _, err := out.Write(part); err != nil {
			return err
		}
		return out.Flush()
	}
	_, _ = fmt.Fprintf(out, "%x\r\n", len(part)) // a bufio.Writer returns the error again on the next call
	_, _ = out.Write(part)
	_, _ = out.WriteString(lineEnd)
	return out.Flush()
}
