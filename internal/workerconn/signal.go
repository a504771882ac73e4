package workerconn

// Signal wakes up one goroutine that waits on it. Notifications that arrive before the goroutine looks are merged into
// one, so the goroutine checks its state after each wake-up.
type Signal chan struct{}

// NewSignal returns a Signal without a pending notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes up the waiting goroutine. It never blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
