package invariant

import "fmt"

// Tally counts requests by outcome, and events at workers.
type Tally struct {
	// Requests sent by clients, retries included, and how many of them had each outcome.
	Sent, Served, Rejected, Failed, Disconnected, AtKilledFrontEnds int
	// Events at workers.
	Attempts, Executions, LoadOrders, WorkerCrashes int
}

// Balanced reports whether every request is accounted for.
func (t Tally) Balanced() bool {
	return t.Sent == t.Served+t.Rejected+t.Failed+t.Disconnected+t.AtKilledFrontEnds
}

// String returns the tally on one line, as reports print it.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d = served %d + refused %d + failed %d + left %d + at killed front ends %d; %d attempts, "+
		"%d runs, %d orders", t.Sent, t.Served, t.Rejected, t.Failed, t.Disconnected, t.AtKilledFrontEnds, t.Attempts,
		t.Executions, t.LoadOrders)
}

// Add adds the counts of another tally.
func (t *Tally) Add(x Tally) {
	t.Sent += x.Sent
	t.Served += x.Served
	t.Rejected += x.Rejected
	t.Failed += x.Failed
	t.Disconnected += x.Disconnected
	t.AtKilledFrontEnds += x.AtKilledFrontEnds
	t.Attempts += x.Attempts
	t.Executions += x.Executions
	t.LoadOrders += x.LoadOrders
	t.WorkerCrashes += x.WorkerCrashes
}
