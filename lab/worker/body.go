package worker

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// Body returns the body of a request that tells an emulated worker how much work the request takes and how large the
// response body is. It is text, such as "work 120ms reply 2000".
func Body(work time.Duration, responseBytes int) []byte {
	return fmt.Appendf(nil, "work %v reply %d", work, responseBytes)
}

// ParseBody parses a body that Body returned. If the text specifies no valid work, ParseBody returns the given work.
func ParseBody(text string, work time.Duration) (time.Duration, int) {
	words, responseBytes := strings.Fields(text), 0
	for i := 0; i+1 < len(words); i += 2 {
		switch words[i] {
		case "work":
			if d, err := time.ParseDuration(words[i+1]); err == nil {
				work = max(0, d)
			}
		case "reply":
			if n, err := strconv.Atoi(words[i+1]); err == nil {
				responseBytes = min(max(0, n), maxResponseBytes)
			}
		}
	}
	return work, responseBytes
}
