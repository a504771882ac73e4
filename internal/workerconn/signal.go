package workerconn

// Signal wakes up one goroutine that receives from it. Notifications that arrive before the goroutine receives are
// merged into one, so the goroutine must check all of its state after each wake-up.
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
