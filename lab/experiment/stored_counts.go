package experiment

import (
	"havencart/internal/decide/execution"
	"havencart/internal/gateway"
	"havencart/internal/shadow"
)

type storedCounts struct {
	Admitted          uint64       `json:"Taken"`
	Served            uint64       `json:"Served"`
	Rejected          uint64       `json:"Refused"`
	Failed            uint64       `json:"Failed"`
	Disconnected      uint64       `json:"Left"`
	Shed              uint64       `json:"TurnedAway"`
	Attempts          uint64       `json:"Attempts"`
	LoadOrders        uint64       `json:"Loads"`
	ResidencyQueries  uint64       `json:"Asks"`
	HealthChecks      uint64       `json:"Probes"`
	LateResponses     uint64       `json:"Late"`
	PastDeadline      uint64       `json:"Overdue"`
	ShadowDifferences storedShadow `json:"Otherwise"`

	// The fields below were added after results files were first written. They are omitted while they are zero, so that
	// a line of an earlier build is written back unchanged.
	Retries            uint64           `json:"Retries,omitempty"`
	AttemptsNotSent    uint64           `json:"AttemptsNotSent,omitempty"`
	AttemptsUnanswered uint64           `json:"AttemptsUnanswered,omitempty"`
	Expired            uint64           `json:"Expired,omitempty"`
	ResentAnswered     uint64           `json:"ResentAnswered,omitempty"`
	Violations         storedViolations `json:"Violations,omitzero"`
}

// storedViolations is indexed by execution.Violation. It is stored as an array, so the order of those constants must
// not change.
type storedViolations [execution.NumViolations]uint64

type storedShadow struct {
	Compared       uint64 `json:"Looked"`
	OtherWorker    uint64 `json:"Worker"`
	OtherQueueing  uint64 `json:"Held"`
	OtherResponse  uint64 `json:"Answer"`
	LoadOrder      uint64 `json:"Load"`
	ResidencyQuery uint64 `json:"Ask"`
	Cancellation   uint64 `json:"CalledBack"`
}

func countsOf(counts gateway.Counts) storedCounts {
	return storedCounts{
		Admitted:           counts.Admitted,
		Served:             counts.Served,
		Rejected:           counts.Rejected,
		Failed:             counts.Failed,
		Disconnected:       counts.Disconnected,
		Shed:               counts.Shed,
		Attempts:           counts.Attempts,
		LoadOrders:         counts.LoadOrders,
		ResidencyQueries:   counts.ResidencyQueries,
		HealthChecks:       counts.HealthChecks,
		LateResponses:      counts.LateResponses,
		PastDeadline:       counts.PastDeadline,
		Expired:            counts.Expired,
		ResentAnswered:     counts.ResentAnswered,
		Retries:            counts.Retries,
		AttemptsNotSent:    counts.AttemptsNotSent,
		AttemptsUnanswered: counts.AttemptsUnanswered,
		Violations:         storedViolations(counts.Violations),
		ShadowDifferences: storedShadow{
			Compared:       counts.ShadowDifferences.Compared,
			OtherWorker:    counts.ShadowDifferences.OtherWorker,
			OtherQueueing:  counts.ShadowDifferences.OtherQueueing,
			OtherResponse:  counts.ShadowDifferences.OtherResponse,
			LoadOrder:      counts.ShadowDifferences.LoadOrder,
			ResidencyQuery: counts.ShadowDifferences.ResidencyQuery,
			Cancellation:   counts.ShadowDifferences.Cancellation,
		},
	}
}

func (s storedCounts) counts() gateway.Counts {
	return gateway.Counts{
		Admitted:           s.Admitted,
		Served:             s.Served,
		Rejected:           s.Rejected,
		Failed:             s.Failed,
		Disconnected:       s.Disconnected,
		Shed:               s.Shed,
		Attempts:           s.Attempts,
		LoadOrders:         s.LoadOrders,
		ResidencyQueries:   s.ResidencyQueries,
		HealthChecks:       s.HealthChecks,
		LateResponses:      s.LateResponses,
		PastDeadline:       s.PastDeadline,
		Expired:            s.Expired,
		ResentAnswered:     s.ResentAnswered,
		Retries:            s.Retries,
		AttemptsNotSent:    s.AttemptsNotSent,
		AttemptsUnanswered: s.AttemptsUnanswered,
		Violations:         gateway.ViolationCounts(s.Violations),
		ShadowDifferences: shadow.Counts{
			Compared:       s.ShadowDifferences.Compared,
			OtherWorker:    s.ShadowDifferences.OtherWorker,
			OtherQueueing:  s.ShadowDifferences.OtherQueueing,
			OtherResponse:  s.ShadowDifferences.OtherResponse,
			LoadOrder:      s.ShadowDifferences.LoadOrder,
			ResidencyQuery: s.ShadowDifferences.ResidencyQuery,
			Cancellation:   s.ShadowDifferences.Cancellation,
		},
	}
}
