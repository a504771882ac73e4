package gateway

import (
	"havencart/internal/decide/memoryshare"
	"havencart/internal/memorybudget"
)

// memoryBudgets limit the memory that clients and workers make a PlatformServer use. A body is counted from before it
// is read until nothing refers to it any more:
//
//   - requests counts a request and its body from the arrival of the body's length until the request has its final
//     response and no attempt of it is in flight. If there is no memory, the request is rejected at once.
//   - workerResponses counts a worker's response from the arrival of its length until the event loop has handled it.
//     If there is no memory, the connection to the worker is not read further.
//   - clientResponses counts a response from then until it is written. If there is no memory, the request fails.
type memoryBudgets struct {
	requests, workerResponses, clientResponses *memorybudget.Budget
}

func newMemoryBudgets(division memoryshare.Division) memoryBudgets {
	return memoryBudgets{
		requests:        memorybudget.New(division.Requests, memoryshare.RequestThresholds()),
		workerResponses: memorybudget.New(division.WorkerResponses, memoryshare.WorkerResponseThresholds()),
		clientResponses: memorybudget.New(division.ClientResponses, memoryshare.ClientResponseThresholds()),
	}
}

// memoryCounts are the counts of memoryBudgets. The field names appear in the log and in docs/oncall.md.
type memoryCounts struct {
	Requests, WorkerResponses, ClientResponses memorybudget.Counts
}

func (m memoryBudgets) counts() memoryCounts {
	return memoryCounts{
		Requests:        m.requests.Counts(),
		WorkerResponses: m.workerResponses.Counts(),
		ClientResponses: m.clientResponses.Counts(),
	}
}
