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

// status is the answer's status code.
func (a Response) status() int {
	switch {
	case a.Outcome == Served:
		return http.StatusOK
	case a.Outcome == Rejected:
		return http.StatusServiceUnavailable
	case a.Outcome == Failed && a.TimedOut:
		return http.StatusGatewayTimeout
	case a.Outcome == Failed:
		return http.StatusBadGateway
	}
	return http.StatusBadRequest
}

// Details is the body of each answer that is not a worker's: problem details as RFC 9457 has them.
type Details struct {
	Type         string  `json:"type"`
	Title        string  `json:"title"`
	Status       int     `json:"status"`
	Detail       string  `json:"detail,omitempty"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	Attempts     int     `json:"attempts"`
}

func writeProblem(out *bufio.Writer, status int, a Response, last bool) error {
	body, err := json.Marshal(Details{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: a.Reason,
		Outcome: a.Outcome, RetryAfterMs: a.RetryAfter.Milliseconds(), Attempts: a.Attempts})
	if err != nil {
		return fmt.Errorf("encode problem: %w", err)
	}
	startHead(out, status, a, last)
	if a.Outcome == Rejected && a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		fmt.Fprintf(out, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", seconds, a.RetryAfter.Milliseconds())
	}
	fmt.Fprintf(out, "Content-Type: application/problem+json\r\nContent-Length: %d\r\n\r\n", len(body))
	_, err = out.Write(body)
	return err
}

// startHead writes the status line and the fields that all answers have. Errors stick to out.
func startHead(out *bufio.Writer, status int, a Response, last bool) {
	head := out.AvailableBuffer()
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(status), 10)
	head = append(append(append(head, ' '), http.StatusText(status)...), "\r\nDate: "...)
	head = time.Now().UTC().AppendFormat(head, http.TimeFormat)
	head = append(append(head, "\r\nCall-Outcome: "...), a.Outcome...)
	head = append(head, "\r\nCall-Attempts: "...)
	head = append(strconv.AppendInt(head, int64(a.Attempts), 10), "\r\n"...)
	if a.ID != "" {
		head = appendField(head, "Call-Id: ", a.ID)
	}
	if last {
		head = append(head, "Connection: close\r\n"...)
	}
	out.Write(head)
}

// appendField appends a field whose value may be anything.
func appendField(head []byte, name, value string) []byte {
	return append(append(append(head, name...), plain(value)...), "\r\n"...)
}

func writeHead(out *bufio.Writer, a Response, last, chunked bool) error {
	startHead(out, http.StatusOK, a, last)
	head := appendField(out.AvailableBuffer(), "Call-Worker: ", a.Worker)
	if a.ContentType != "" {
		head = appendField(head, "Content-Type: ", a.ContentType)
	}
	switch {
	case chunked:
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	case a.Length >= 0:
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), a.Length, 10), "\r\n"...)
	}
	_, err := out.Write(append(head, "\r\n"...))
	return err
}

// plain takes out of a field's value what would end it.
func plain(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, text)
}

// writePart sends one part of an answer on at once.
func writePart(out *bufio.Writer, part []byte, chunked bool) error {
	if chunked {
		fmt.Fprintf(out, "%x\r\n", len(part))
	}
	if _, err := out.Write(part); err != nil {
		return err
	}
	if chunked {
		out.WriteString("\r\n")
	}
	return out.Flush()
}
