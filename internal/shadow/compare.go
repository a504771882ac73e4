package shadow

import "havencart/scheduler"

// Counts are the decisions that would have been different, by kind.
type Counts struct {
	Compared       uint64 // events compared
	OtherWorker    uint64 // requests sent to another worker
	OtherQueueing  uint64 // requests queued and not sent, or the reverse
	OtherResponse  uint64 // requests rejected or failed by one only, or rejected with another advice
	LoadOrder      uint64 // load orders given by one only
	ResidencyQuery uint64 // residency queries sent by one only
	Cancellation   uint64 // attempts cancelled by one only
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Compared += other.Compared
	c.OtherWorker += other.OtherWorker
	c.OtherQueueing += other.OtherQueueing
	c.OtherResponse += other.OtherResponse
	c.LoadOrder += other.LoadOrder
	c.ResidencyQuery += other.ResidencyQuery
	c.Cancellation += other.Cancellation
}

// Kinds of differences, in words for a log. They say what the other settings would have done.
const (
	differentWorker         = "sent to another worker"
	queuedInstead           = "queued"
	sentInstead             = "sent"
	differentResponse       = "rejected or advised differently"
	differentLoadOrder      = "load order given or omitted"
	differentResidencyQuery = "residency query sent or omitted"
	differentCancellation   = "attempt cancelled or not"
)

// compare counts and reports the differences between the two schedulers' actions on the current event.
func (s *Scheduler) compare() {
	s.compareSent()
	for range differingKeys(s.decided.answers, s.alternative.answers) {
		s.count(&s.counts.OtherResponse, differentResponse)
	}
	for order := range differingKeys(s.decided.orders, s.alternative.orders) {
		if order.isResidencyQuery() {
			s.count(&s.counts.ResidencyQuery, differentResidencyQuery)
		} else {
			s.count(&s.counts.LoadOrder, differentLoadOrder)
		}
	}
	for range differingKeys(s.decided.canceled, s.alternative.canceled) {
		s.count(&s.counts.Cancellation, differentCancellation)
	}
}

// compareSent compares which requests were sent, and to which workers. A request that one of the two answered is left
// to the comparison of answers.
func (s *Scheduler) compareSent() {
	for request, worker := range s.decided.sent {
		otherWorker, sent := s.alternative.sent[request]
		switch {
		case sent && otherWorker != worker:
			s.count(&s.counts.OtherWorker, differentWorker)
		case !sent && !s.alternative.hasAnswered(request):
			s.count(&s.counts.OtherQueueing, queuedInstead)
		}
	}
	for request := range s.alternative.sent {
		_, sent := s.decided.sent[request]
		if !sent && !s.decided.hasAnswered(request) {
			s.count(&s.counts.OtherQueueing, sentInstead)
		}
	}
}

func (s *Scheduler) count(counter *uint64, difference string) {
	*counter++
	s.report(difference)
}

// differingKeys returns the keys that only one of two maps has, or that have different values in them.
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

// hasAnswered reports whether the current event led to a final answer to the request.
func (r *recorder) hasAnswered(request scheduler.RequestID) bool {
	_, answered := r.answers[request]
	return answered
}
