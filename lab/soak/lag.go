package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	lagInterval  = 5 * time.Millisecond
	maxNotedLags = 20
)

// lagMeter measures how late the soak itself runs, which notes all times: by as much a violation that is told by times may
// be its own.
type lagMeter struct {
	worst time.Duration
	noted []string // when it was more than the slack of the rules; at most maxNotedLags
}

// measure wakes up at short intervals until ctx ends, and notes by how much later than asked for.
func (m *lagMeter) measure(ctx context.Context, history *History) {
	for ctx.Err() == nil {
		due := history.Now() + lagInterval
		time.Sleep(lagInterval)
		lag := history.Now() - due
		m.worst = max(m.worst, lag)
		if lag > slack && len(m.noted) < maxNotedLags {
			m.noted = append(m.noted, fmt.Sprintf("%v at %v", lag.Round(time.Millisecond), history.Now().Round(time.Millisecond)))
		}
	}
}
