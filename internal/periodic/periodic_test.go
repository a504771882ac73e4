package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestRun_UntilContextEnds_CallsAtEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		Run(ctx, time.Second, func() { calls = append(calls, time.Since(start)) })
		if len(calls) != 3 || calls[0] != time.Second || calls[2] != 3*time.Second {
			t.Errorf("called at %v, want three calls, from 1 s to 3 s", calls)
		}
	})
}
