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

// File is a Source that follows a list in a file with one worker per line:
//
//	worker NAME HOST:PORT [zone Z] [cell C] [kind K] [scale X] [started RFC3339] [state ready|draining|gone]
//
// A comment runs from # to the end of the line. The file is read again when it changes or is replaced, and on Refresh.
type File struct {
	refreshSignal
	path string
}

// NewFile returns a source that follows the file at path.
func NewFile(path string) *File { return &File{refreshSignal: newRefreshSignal(), path: path} }

// Run implements Source.
func (f *File) Run(ctx context.Context, sink Sink) {
	sink = &listComparer{Sink: sink}
	for ctx.Err() == nil {
		if err := f.watch(ctx, sink); err != nil && ctx.Err() == nil {
			sink.WatchFailed(err)
			f.wait(ctx)
		}
	}
}

// watch reads the file immediately and after each change, until ctx ends or the watch fails. It watches the directory,
// because a watch on the file itself does not notice that another file replaces it.
func (f *File) watch(ctx context.Context, sink Sink) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	defer func() { _ = watcher.Close() }() // the result does not depend on a close error
	if err := watcher.Add(filepath.Dir(f.path)); err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	f.read(sink)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.refreshSignal:
			f.read(sink)
		case event, open := <-watcher.Events:
			if !open {
				return fmt.Errorf("watch %s: the file watcher was closed", f.path)
			}
			if f.isWrittenBy(event) {
				f.read(sink)
			}
		case err := <-watcher.Errors:
			return fmt.Errorf("watch %s: %w", f.path, err)
		}
	}
}

// isWrittenBy reports whether an event of the watched directory created or wrote the file.
func (f *File) isWrittenBy(event fsnotify.Event) bool {
	return filepath.Base(event.Name) == filepath.Base(f.path) && event.Has(fsnotify.Create|fsnotify.Write)
}

func (f *File) read(sink Sink) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		sink.WatchFailed(fmt.Errorf("read the endpoint list: %w", err))
		return
	}
	list, err := ParseFile(f.path, string(raw))
	if err != nil {
		sink.WatchFailed(err)
		return
	}
	sink.EndpointsListed(list)
}

// ParseFile parses the text of a list. Errors in a line give the line's number and name as the name of the file. Every
// error wraps ErrMalformed.
func ParseFile(name, text string) ([]Worker, error) {
	var list []Worker
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		worker, err := parseLine(words)
		if err != nil {
			return nil, fmt.Errorf("%w: %s:%d: %w", ErrMalformed, name, i+1, err)
		}
		list = append(list, worker)
	}
	return list, validate(list)
}

// mandatoryWords is the number of words with which each line must begin: worker NAME HOST:PORT.
const mandatoryWords = 3

func parseLine(words []string) (Worker, error) {
	if !isWorkerLine(words) {
		return Worker{}, fmt.Errorf("found %q; allowed: worker NAME HOST:PORT and pairs of a word and its value",
			strings.Join(words, " "))
	}
	worker := Worker{Name: words[1], Address: words[2], Scale: 1, State: scheduler.Ready}
	for i := mandatoryWords; i < len(words); i += 2 {
		if err := worker.set(words[i], words[i+1]); err != nil {
			return worker, err
		}
	}
	return worker, nil
}

// isWorkerLine reports whether a line has the mandatory words, followed by pairs of a word and its value.
func isWorkerLine(words []string) bool {
	if words[0] != "worker" || len(words) < mandatoryWords {
		return false
	}
	return (len(words)-mandatoryWords)%2 == 0
}

var stateWords = map[string]scheduler.WorkerState{
	"ready":    scheduler.Ready,
	"draining": scheduler.Draining,
	"gone":     scheduler.Removed,
}

// set assigns the value that follows an optional word to the field that the word names.
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
		state, known := stateWords[value]
		if !known {
			return fmt.Errorf("state %q; allowed: ready, draining, gone", value)
		}
		w.State = state
	default:
		return fmt.Errorf("found %q; allowed: zone, cell, kind, scale, started, state", word)
	}
	return err
}
