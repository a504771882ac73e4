package worker

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Body is the body of a request that asks an emulated worker for work and for the size of its response, as text:
// "work 120ms reply 2000".
func Body(work time.Duration, responseBytes int) []byte {
	return fmt.Appendf(nil, "work %v reply %d", work, responseBytes)
}

// ParseBody reads what Body writes. Where the text has no work, the given one is returned.
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
