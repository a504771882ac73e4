//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder collects the lines of record.txt. Times are milliseconds since its start.
type recorder struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// add appends a line with the current time.
func (r *recorder) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt appends a line with the given time.
func (r *recorder) addAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.1f %s", r.ms(at), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// ms returns a time in milliseconds since the start.
func (r *recorder) ms(at time.Time) float64 {
	return float64(at.Sub(r.start).Microseconds()) / 1000
}

// write writes the lines to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		fmt.Fprintln(file, line)
	}
	return file.Close()
}
