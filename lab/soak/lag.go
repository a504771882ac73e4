package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	lagInterval     = 5 * time.Millisecond
	maxRecordedLags = 20
)

// lagMeter measures how late goroutines of the soak's own process run. The soak takes the times of all observations, so
// that its own lag can cause a timed violation.
type lagMeter struct {
	worst    time.Duration // the longest lag
	recorded []string      // lags above timingSlack and their times, at most maxRecordedLags
}

// measure sleeps for lagInterval repeatedly until ctx ends, and records how late it wakes up.
func (m *lagMeter) measure(ctx context.Context, history *History) {
	for ctx.Err() == nil {
		due := history.Now() + lagInterval
		time.Sleep(lagInterval)
		lag := history.Now() - due
		m.worst = max(m.worst, lag)
		if lag > timingSlack && len(m.recorded) < maxRecordedLags {
			m.recorded = append(m.recorded, fmt.Sprintf("%v at %v", lag.Round(time.Millisecond), history.Now().Round(time.Millisecond)))
		}
	}
}
