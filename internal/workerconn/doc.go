// Package workerconn is the protocol-independent part of a worker client: the attempts and load orders that the front
// end sends, the events that report how they ended, the send queue of one connection, and the stream that carries a
// long response. The clients of both worker protocols (internal/native/muxclient and internal/platform/workerclient)
// are built on it.
//
// Its main task is to track, for each attempt, whether the worker may have received it: the front end retries an
// attempt of a non-idempotent request only if the attempt never reached a worker. A write passes bytes to the
// operating system, and from then on they may reach the worker at any time. The send queue therefore counts an
// attempt as possibly executed as soon as its frame was written completely. A partially written frame is harmless,
// because a worker acts only on complete frames and the client closes the connection after a partial write.
package workerconn
