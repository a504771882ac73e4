package shadow

import "havencart/scheduler"

// Counts counts the compared events and, by kind, the decisions in which the running scheduler and its copy differed.
type Counts struct {
	Compared       uint64 // events compared
	OtherWorker    uint64 // requests that the two schedulers sent to different workers
	OtherQueueing  uint64 // requests that one scheduler sent and the other one queued
	OtherResponse  uint64 // requests that only one scheduler rejected or failed, or with different retry advice
	LoadOrder      uint64 // load orders that only one scheduler gave
	ResidencyQuery uint64 // residency queries that only one scheduler sent
	Cancellation   uint64 // attempts that only one scheduler cancelled
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Compared += other.Compared
	c.OtherWorker += other.OtherWorker
	c.OtherQueueing += other.OtherQueueing
	c.OtherResponse += other.OtherResponse
	c.LoadOrder += other.LoadOrder
	c.ResidencyQuery += other.ResidencyQuery
	c.Cancellation += other.Cancellation
}

// Kinds of differences, as log texts. They describe what the scheduler would have done with the other settings.
const (
	differentWorker         = "sent to another worker"
	queuedInstead           = "queued"
	sentInstead             = "sent"
	differentResponse       = "rejected or advised differently"
	differentLoadOrder      = "load order given or omitted"
	differentResidencyQuery = "residency query sent or omitted"
	differentCancellation   = "attempt cancelled or not"
)

// compare counts and reports the differences between the actions of the two schedulers for the current event.
func (s *Scheduler) compare() {
	s.compareSent()
	for range differingKeys(s.actual.responses, s.alternative.responses) {
		s.count(&s.counts.OtherResponse, differentResponse)
	}
	for order := range differingKeys(s.actual.orders, s.alternative.orders) {
		if order.isResidencyQuery() {
			s.count(&s.counts.ResidencyQuery, differentResidencyQuery)
		} else {
			s.count(&s.counts.LoadOrder, differentLoadOrder)
		}
	}
	for range differingKeys(s.actual.cancelled, s.alternative.cancelled) {
		s.count(&s.counts.Cancellation, differentCancellation)
	}
}

// compareSent compares which requests the two schedulers sent, and to which workers. A request that one scheduler sent
// and the other one rejected or failed is not counted here, because the comparison of final responses counts it.
func (s *Scheduler) compareSent() {
	for request, worker := range s.actual.sent {
		otherWorker, sent := s.alternative.sent[request]
		switch {
		case sent && otherWorker != worker:
			s.count(&s.counts.OtherWorker, differentWorker)
		case !sent && !s.alternative.hasFinalResponse(request):
			s.count(&s.counts.OtherQueueing, queuedInstead)
		}
	}
	for request := range s.alternative.sent {
		_, sent := s.actual.sent[request]
		if !sent && !s.actual.hasFinalResponse(request) {
			s.count(&s.counts.OtherQueueing, sentInstead)
		}
	}
}

func (s *Scheduler) count(counter *uint64, difference string) {
	*counter++
	s.report(difference)
}

// differingKeys returns the keys that are in only one of the two maps or have different values in them.
func differingKeys[K, V comparable](a, b map[K]V) map[K]struct{} {
	differing := map[K]struct{}{}
	for key, valueA := range a {
		if valueB, inBoth := b[key]; !inBoth || valueA != valueB {
			differing[key] = struct{}{}
		}
	}
	for key := range b {
		if _, inBoth := a[key]; !inBoth {
			differing[key] = struct{}{}
		}
	}
	return differing
}

// hasFinalResponse reports whether the scheduler rejected or failed the request while it handled the current event.
func (r *recorder) hasFinalResponse(request scheduler.RequestID) bool {
	_, answered := r.responses[request]
	return answered
}
