// Package cpuquota limits a process to a share of a processor core, to emulate a host that many processes share. It
// needs no privileges: a token bucket accounts for the processor time, and the process is stopped with SIGSTOP while
// the bucket is overdrawn and continued with SIGCONT.
package cpuquota

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two readings of the processor time that the process has used. The process can
	// exceed its share by the processor time that it uses within one interval.
	pollInterval = 2 * time.Millisecond
	// maxTokens is the most processor time that an idle process can accumulate.
	maxTokens = 5 * time.Millisecond
)

// Limit limits a process to a share of a core, where 1 is the whole core. It returns nil once ctx ends and leaves the
// process running. It returns an error if the processor time of the process cannot be read or the process cannot be
// signaled, for example because it has ended.
func Limit(ctx context.Context, pid int, share float64) error {
	used, err := processorTime(pid)
	if err != nil {
		return err
	}
	bucket := tokenBucket{share: share, lastUsed: used, updatedAt: time.Now()}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	stopped := false
	defer func() { _ = syscall.Kill(pid, syscall.SIGCONT) }() // fails if the process has ended
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		used, err := processorTime(pid)
		if err != nil {
			return err
		}
		overdrawn := bucket.update(used, time.Now())
		if overdrawn == stopped {
			continue
		}
		stopped = overdrawn
		if err := syscall.Kill(pid, signalFor(stopped)); err != nil {
			return fmt.Errorf("cpuquota: signal process %d: %w", pid, err)
		}
	}
}

func signalFor(stopped bool) syscall.Signal {
	if stopped {
		return syscall.SIGSTOP
	}
	return syscall.SIGCONT
}

// tokenBucket accounts for the processor time that a process may still use.
type tokenBucket struct {
	share     float64       // processor time added per time that passes
	tokens    time.Duration // negative if the process has used more than its share
	lastUsed  time.Duration // processor time at the last update
	updatedAt time.Time     // time of the last update
}

// update adds the tokens for the time since the last update and removes those for the processor time used since then.
// It reports whether the bucket is overdrawn. The argument used is the total since the start of the process.
func (b *tokenBucket) update(used time.Duration, now time.Time) (overdrawn bool) {
	added := time.Duration(b.share * float64(now.Sub(b.updatedAt)))
	b.tokens = min(maxTokens, b.tokens+added-(used-b.lastUsed))
	b.lastUsed, b.updatedAt = used, now
	return b.tokens < 0
}

// processorTime returns the processor time that the current threads of a process have used. It decreases only when a
// thread ends.
func processorTime(pid int) (time.Duration, error) {
	directory := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(directory)
	if err != nil {
		return 0, fmt.Errorf("cpuquota: list the threads of process %d: %w", pid, err)
	}
	total := time.Duration(0)
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(directory, thread.Name(), "schedstat"))
		if err != nil {
			continue // the thread has ended since it was listed
		}
		nanoseconds, _, _ := strings.Cut(string(text), " ")
		used, err := strconv.ParseInt(nanoseconds, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("cpuquota: parse the processor time of process %d: %w", pid, err)
		}
		total += time.Duration(used)
	}
	return total, nil
}
