package rpcserver

// Counts are totals of a Server since its start. The field names appear in the log and in docs/oncall.md.
type Counts struct {
	Accepted        uint64 // connections accepted
	Rejected        uint64 // connections closed at once because the limit was reached
	Evicted         uint64 // idle connections closed to make room for new ones
	IdleClosed      uint64 // connections closed because they sent no request in time
	ProtocolErrors  uint64 // requests that violated the protocol
	WriteFailed     uint64 // connections closed because a response could not be written, mostly to clients that do not read
	RequestsRefused uint64 // requests whose body was skipped for lack of memory
	// ResponsesDropped counts served responses that were replaced by failures because too many bytes were unwritten.
	ResponsesDropped uint64
	// RequestsUnwanted counts connections with a request that was read after the client had closed the connection.
	RequestsUnwanted uint64
	// Requests, Heartbeats and Cancellations count the messages that were read, including requests that violated the
	// protocol.
	Requests, Heartbeats, Cancellations uint64
	Pauses                              uint64      // times at which a connection was not read for a while, as its client sent too much
	Closed                              CloseCounts // connections that ended, except those that were rejected
}

// Counts returns the totals.
func (s *Server) Counts() Counts {
	return Counts{
		Accepted:       s.accepted.Load(),
		Rejected:       s.rejected.Load(),
		Evicted:        s.evicted.Load(),
		IdleClosed:     s.idleClosed.Load(),
		ProtocolErrors: s.protocolErrors.Load(),
		WriteFailed:    s.writeFailed.Load(),

		RequestsRefused:  s.requestsRefused.Load(),
		ResponsesDropped: s.responsesDropped.Load(),

		RequestsUnwanted: s.requestsUnwanted.Load(),

		Requests:      s.requests.Load(),
		Heartbeats:    s.heartbeats.Load(),
		Cancellations: s.cancellations.Load(),
		Pauses:        s.pauses.Load(),
		Closed:        s.closed.counts(),
	}
}
