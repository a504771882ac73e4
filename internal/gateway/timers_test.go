package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimersComeInOrder holds the heap to a plain sorted list, through any sets and stops.
func TestTimersComeInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		var plain []*timer
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				x := &timer{due: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "after"))}
				h.add(x)
				plain = append(plain, x)
			case 1:
				if len(plain) > 0 {
					i := rapid.IntRange(0, len(plain)-1).Draw(t, "stopped")
					h.remove(plain[i])
					h.remove(plain[i]) // a second time does nothing
					plain = slices.Delete(plain, i, i+1)
				}
			case 2:
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes"))
				slices.SortStableFunc(plain, func(a, b *timer) int { return int(a.due - b.due) })
				for x := h.popDue(now); x != nil; x = h.popDue(now) {
					if len(plain) == 0 || plain[0] != x {
						t.Fatal("out of order")
					}
					plain = plain[1:]
				}
				if len(plain) > 0 && plain[0].due <= now {
					t.Fatal("a timer that is due did not come")
				}
			}
			if h.Len() != len(plain) {
				t.Fatalf("%d timers are set, want %d", h.Len(), len(plain))
			}
		}
	})
}
