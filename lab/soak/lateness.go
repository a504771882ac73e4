package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	latenessInterval = 5 * time.Millisecond
	notedLateness    = 50 * time.Millisecond // the slack of the rules: beyond it times tell nothing
)

// lateness is how late the soak itself ran, which notes all times: by as much a violation that is told by times may be its
// own.
type lateness struct {
	worst time.Duration
	times []string // when it was more than notedLateness; bounded by maxNotedLateness
}

const maxNotedLateness = 20

// measure wakes up at short intervals until ctx ends, and notes by how much later than asked for.
func (l *lateness) measure(ctx context.Context, history *History) {
	for ctx.Err() == nil {
		due := history.Now() + latenessInterval
		time.Sleep(latenessInterval)
		late := history.Now() - due
		l.worst = max(l.worst, late)
		if late > notedLateness && len(l.times) < maxNotedLateness {
			l.times = append(l.times, fmt.Sprintf("%v at %v", late.Round(time.Millisecond), history.Now().Round(time.Millisecond)))
		}
	}
}
