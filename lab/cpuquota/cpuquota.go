// Package cpuquota holds a process of the laboratory to a part of a processor core, as a host does that many processes
// share. It needs no privileges: the process is stopped by SIGSTOP while it has used more processor time than its part
// of the time that has passed, and continued by SIGCONT.
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
	// pollInterval is the time between two looks at what the process has used: it may exceed its part by so much.
	pollInterval = 2 * time.Millisecond
	// maxCredit is how much processor time an idle process saves up.
	maxCredit = 5 * time.Millisecond
)

// Hold holds a process to a part of a core (1: all of it) until ctx ends, and leaves it running then. An error is about
// what the system tells of the process, as when it has ended.
func Hold(ctx context.Context, process int, part float64) error {
	used, err := processorTime(process)
	if err != nil {
		return err
	}
	account := account{part: part, usedBefore: used, lookedAt: time.Now()}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	stopped := false
	defer func() { _ = syscall.Kill(process, syscall.SIGCONT) }() // fails where it has ended
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		used, err := processorTime(process)
		if err != nil {
			return err
		}
		exceeded := account.update(used, time.Now())
		if exceeded == stopped {
			continue
		}
		stopped = exceeded
		if err := syscall.Kill(process, signalFor(stopped)); err != nil {
			return fmt.Errorf("cpuquota: signal process %d: %w", process, err)
		}
	}
}

func signalFor(stopped bool) syscall.Signal {
	if stopped {
		return syscall.SIGSTOP
	}
	return syscall.SIGCONT
}

// account is how much processor time a process may still use.
type account struct {
	part       float64
	credit     time.Duration // negative: it has used more than its part
	usedBefore time.Duration
	lookedAt   time.Time
}

// update takes what the process has used until now, and reports whether it has exceeded its part.
func (a *account) update(used time.Duration, now time.Time) (exceeded bool) {
	earned := time.Duration(a.part * float64(now.Sub(a.lookedAt)))
	a.credit = min(maxCredit, a.credit+earned-(used-a.usedBefore))
	a.usedBefore, a.lookedAt = used, now
	return a.credit < 0
}

// processorTime is what the threads of a process have used. It never falls, but for threads that end.
func processorTime(process int) (time.Duration, error) {
	directory := fmt.Sprintf("/proc/%d/task", process)
	threads, err := os.ReadDir(directory)
	if err != nil {
		return 0, fmt.Errorf("cpuquota: threads of process %d: %w", process, err)
	}
	total := time.Duration(0)
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(directory, thread.Name(), "schedstat"))
		if err != nil {
			continue // the thread has ended meanwhile
		}
		nanoseconds, _, _ := strings.Cut(string(text), " ")
		used, err := strconv.ParseInt(nanoseconds, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("cpuquota: processor time of process %d: %w", process, err)
		}
		total += time.Duration(used)
	}
	return total, nil
}
