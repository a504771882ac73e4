package muxclient

import "havencart/internal/workerconn"

// The names below moved to workerconn; the aliases stay until their last users have followed.
type (
	// Attempt is workerconn.Attempt.
	Attempt = workerconn.Attempt
	// LoadOrder is workerconn.LoadOrder.
	LoadOrder = workerconn.LoadOrder
	// Response is workerconn.Response.
	Response = workerconn.Response
	// Result is workerconn.Result.
	Result = workerconn.Result
	// Stream is workerconn.Stream.
	Stream = workerconn.Stream
)
