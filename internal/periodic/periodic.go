// Package periodic calls a function at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls do after each interval, and returns when ctx ends.
func Run(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
