package soak

import (
	"context"
	"time"

	"havencart/internal/platform/endpointstream"
)

// reuseAddress makes a worker die and a new one, in another cell, come up at its address at once. The endpoint stream
// announces the death late: on some draws after the new worker, on others before it.
func reuseAddress(ctx context.Context, r *run, params *faultParams) {
	old := r.removeWorker(params.rng)
	if old == nil {
		return // too many workers are already being replaced
	}
	address := old.proxy.Address()
	old.close()
	removed := old.entry
	removed.State = endpointstream.Removed
	successor, err := r.startWorker(workerConfig{
		cell: (old.entry.Cell + 1) % r.config.Cells, startedMillis: time.Now().UnixMilli(), address: address,
	}, params.rng)
	if err != nil { // another process has the port by now
		r.logf("address not reused: %v", err)
		r.endpoints.publish(removed)
		return
	}
	defer r.keepWorker(successor)
	r.history.CameUpUnlisted(successor.entry.Name())
	if params.rng.IntN(2) == 0 {
		r.endpoints.publish(successor.entry)
		sleep(ctx, params.duration)
		r.endpoints.publish(removed)
		return
	}
	sleep(ctx, params.duration)
	r.endpoints.publish(removed)
	r.endpoints.publish(successor.entry)
}
