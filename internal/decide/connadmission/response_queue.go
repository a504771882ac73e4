package connadmission

// ResponseLimits bound the bodies of responses that clients have not read yet, in bytes.
type ResponseLimits struct {
	PerConnection int64 // limit of one connection
	// Total is the limit of all connections together above which each connection is limited to an equal share of it.
	// Clients that read nothing thus cannot take the memory that the responses of other clients need. The bodies of
	// all connections never exceed twice this limit.
	Total int64
}

// QueuedResponses is the size of the response bodies that wait to be written, in bytes.
type QueuedResponses struct {
	Connection  int64 // bodies that wait on the connection of the next response
	Total       int64 // bodies that wait on all connections
	Connections int   // number of open connections
}

// MayQueue reports whether a response with a body of size bytes may be queued. An empty body may always be queued.
func (l ResponseLimits) MayQueue(queued QueuedResponses, size int64) bool {
	if size == 0 {
		return true
	}
	if queued.Connection+size > l.PerConnection {
		return false
	}
	share := l.Total / int64(max(1, queued.Connections))
	return queued.Total+size <= l.Total || queued.Connection+size <= share
}
