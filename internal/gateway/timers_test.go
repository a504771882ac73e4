package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimerHeap_AnyOperations_FiresInOrder compares the heap with a sorted slice.
func TestTimerHeap_AnyOperations_FiresInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timers timerHeap
		var sorted []*timer
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				x := &timer{due: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "after"))}
				timers.add(x)
				sorted = append(sorted, x)
			case 1:
				if len(sorted) > 0 {
					i := rapid.IntRange(0, len(sorted)-1).Draw(t, "stopped")
					timers.remove(sorted[i])
					timers.remove(sorted[i]) // removing a timer twice has no effect
					sorted = slices.Delete(sorted, i, i+1)
				}
			case 2:
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes"))
				slices.SortStableFunc(sorted, func(a, b *timer) int { return int(a.due - b.due) })
				for x := timers.popDue(now); x != nil; x = timers.popDue(now) {
					if len(sorted) == 0 || sorted[0] != x {
						t.Fatal("a timer fired out of order")
					}
					sorted = sorted[1:]
				}
				if len(sorted) > 0 && sorted[0].due <= now {
					t.Fatal("a timer that is due did not fire")
				}
			}
			if timers.Len() != len(sorted) {
				t.Fatalf("%d timers in the heap, want %d", timers.Len(), len(sorted))
			}
		}
	})
}
