//go:build review

// Package kit holds what the cases of the review share: stand-ins for the platform (clients, executors, the bulletin),
// front ends as processes, and a record of what was sent, answered and run.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var began = time.Now()

// Now returns the time since the start of the case.
func Now() time.Duration { return time.Since(began) }

// Record writes one line for each thing that happened.
type Record struct {
	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file}, nil
}

// Line writes a line with the present time in milliseconds.
func (r *Record) Line(format string, args ...any) {
	r.LineAt(Now(), format, args...)
}

// LineAt writes a line with the given time in milliseconds.
func (r *Record) LineAt(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f ", Millis(at))
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
