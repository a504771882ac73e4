package callhttp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// status is the answer's status code.
func (a Answer) status() int {
	switch {
	case a.Outcome == Served:
		return http.StatusOK
	case a.Outcome == Refused:
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

func writeProblem(out *bufio.Writer, status int, a Answer, last bool) error {
	body, err := json.Marshal(Details{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: a.Why,
		Outcome: a.Outcome, RetryAfterMs: a.RetryAfter.Milliseconds(), Attempts: a.Attempts})
	if err != nil {
		return fmt.Errorf("encode problem: %w", err)
	}
	startHead(out, status, a, last)
	if a.Outcome == Refused && a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		fmt.Fprintf(out, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", seconds, a.RetryAfter.Milliseconds())
	}
	fmt.Fprintf(out, "Content-Type: application/problem+json\r\nContent-Length: %d\r\n\r\n", len(body))
	_, err = out.Write(body)
	return err
}

// startHead writes the status line and the fields that all answers have. Errors stick to out.
func startHead(out *bufio.Writer, status int, a Answer, last bool) {
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\nDate: %s\r\nCall-Outcome: %s\r\nCall-Attempts: %d\r\n", status,
		http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), a.Outcome, a.Attempts)
	if a.ID != "" {
		fmt.Fprintf(out, "Call-Id: %s\r\n", plain(a.ID))
	}
	if last {
		out.WriteString("Connection: close\r\n")
	}
}

func writeHead(out *bufio.Writer, a Answer, last, chunked bool) error {
	startHead(out, http.StatusOK, a, last)
	fmt.Fprintf(out, "Call-Worker: %s\r\n", plain(a.Worker))
	if a.Type != "" {
		fmt.Fprintf(out, "Content-Type: %s\r\n", plain(a.Type))
	}
	switch {
	case chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case a.Length >= 0:
		fmt.Fprintf(out, "Content-Length: %d\r\n", a.Length)
	}
	_, err := out.WriteString("\r\n")
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
