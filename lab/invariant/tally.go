package invariant

import "fmt"

// Tally counts the outcomes of requests and what workers saw of them.
type Tally struct {
	// Each request has one of these outcomes.
	Sent, Served, Rejected, Failed, Disconnected, AtKilledFrontEnds int
	// At the workers.
	Attempts, Executions, LoadOrders, WorkerCrashes int
}

// Balanced reports whether every request is accounted for.
func (t Tally) Balanced() bool {
	return t.Sent == t.Served+t.Rejected+t.Failed+t.Disconnected+t.AtKilledFrontEnds
}

// String is the tally in a line, as reports print it.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d = served %d + refused %d + failed %d + left %d + at killed front ends %d; %d attempts, "+
		"%d runs, %d orders", t.Sent, t.Served, t.Rejected, t.Failed, t.Disconnected, t.AtKilledFrontEnds, t.Attempts,
		t.Executions, t.LoadOrders)
}

// Add adds another tally.
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
