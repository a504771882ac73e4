//go:build review

package kit

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// World is what a case runs in: a record, a temporary folder and the processes that it started.
type World struct {
	Record *Record
	Root   string
	Dir    string

	mu        sync.Mutex
	frontEnds []*FrontEnd
}

// NewWorld returns a World whose record is at the path that REVIEW_RECORD names, with the repository at REVIEW_ROOT.
func NewWorld() (*World, error) {
	record, err := NewRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Root: os.Getenv("REVIEW_ROOT"), Dir: dir}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.End()
		os.Exit(2)
	}()
	return w, nil
}

// Start starts a front end.
func (w *World) Start(config FrontEndConfig) (*FrontEnd, error) {
	f, err := StartFrontEnd(w.Root, w.Dir, config)
	if f != nil {
		w.mu.Lock()
		w.frontEnds = append(w.frontEnds, f)
		w.mu.Unlock()
	}
	return f, err
}

// End ends all processes and removes the folder. With REVIEW_LOGS, the logs of the front ends are kept there.
func (w *World) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.frontEnds {
		f.Kill()
		if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
			if text, err := os.ReadFile(filepath.Join(w.Dir, f.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(logs, f.Name+".log"), text, 0o644)
			}
		}
	}
	w.frontEnds = nil
	_ = os.RemoveAll(w.Dir)
}

// Exit ends the World and the process: with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
func (w *World) Exit(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.Record.Line("%s", text)
	fmt.Println(text)
	w.End()
	os.Exit(code)
}

// HasTrouble reports whether the disruption is to happen.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
