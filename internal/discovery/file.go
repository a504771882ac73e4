package discovery

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"havencart/scheduler"
)

// File follows a list in a file, one worker a line:
//
//	worker NAME HOST:PORT [zone Z] [cell C] [kind K] [scale X] [started RFC3339] [state ready|draining|gone]
//
// A comment runs from # to the end of the line. The file is read again when it changes or is replaced.
type File struct {
	poke
	path string
}

// NewFile returns a source that follows the file at path.
func NewFile(path string) *File { return &File{poke: make(poke, 1), path: path} }

// Run follows until ctx ends.
func (f *File) Run(ctx context.Context, sink Sink) {
	for ctx.Err() == nil {
		if err := f.watch(ctx, sink); err != nil && ctx.Err() == nil {
			sink.WatchFailed(err)
			f.wait(ctx)
		}
	}
}

// watch reads the file at once and at each change of it. It watches the folder, as a file that is replaced is
// another file.
func (f *File) watch(ctx context.Context, sink Sink) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	defer watcher.Close()
	if err := watcher.Add(filepath.Dir(f.path)); err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	f.read(sink)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.poke:
			f.read(sink)
		case e, ok := <-watcher.Events:
			if !ok {
				return fmt.Errorf("watch %s: the watch ended", f.path)
			}
			if filepath.Base(e.Name) == filepath.Base(f.path) && e.Has(fsnotify.Create|fsnotify.Write) {
				f.read(sink)
			}
		case err := <-watcher.Errors:
			return fmt.Errorf("watch %s: %w", f.path, err)
		}
	}
}

func (f *File) read(sink Sink) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		sink.WatchFailed(fmt.Errorf("list of workers: %w", err))
		return
	}
	list, err := ParseFile(f.path, string(raw))
	if err != nil {
		sink.WatchFailed(err)
		return
	}
	sink.EndpointsChanged(list)
}

var states = map[string]scheduler.WorkerState{"ready": scheduler.Ready, "draining": scheduler.Draining, "gone": scheduler.Removed}

// ParseFile reads the text of a list; name is what errors call it. They name line and wrap ErrMalformed.
func ParseFile(name, text string) ([]Worker, error) {
	var list []Worker
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		w, err := parseLine(words)
		if err != nil {
			return nil, fmt.Errorf("%w: %s:%d: %w", ErrMalformed, name, i+1, err)
		}
		list = append(list, w)
	}
	return list, check(list)
}

func parseLine(words []string) (Worker, error) {
	if words[0] != "worker" || len(words) < 3 || len(words)%2 == 0 {
		return Worker{}, fmt.Errorf("found %q; allowed: worker NAME HOST:PORT and pairs of a word and its value",
			strings.Join(words, " "))
	}
	w := Worker{Name: words[1], Address: words[2], Scale: 1, State: scheduler.Ready}
	for i := 3; i < len(words); i += 2 {
		if err := w.set(words[i], words[i+1]); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *Worker) set(word, value string) (err error) {
	switch word {
	case "zone":
		w.Zone = value
	case "cell":
		w.Cell = value
	case "kind":
		w.Kind = value
	case "scale":
		w.Scale, err = strconv.ParseFloat(value, 64)
	case "started":
		w.Started, err = time.Parse(time.RFC3339Nano, value)
	case "state":
		var known bool
		if w.State, known = states[value]; !known {
			err = fmt.Errorf("state %q; allowed: ready, draining, gone", value)
		}
	default:
		err = fmt.Errorf("found %q; allowed: zone, cell, kind, scale, started, state", word)
	}
	return err
}
