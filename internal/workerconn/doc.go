// Package workerconn is the protocol-independent part of a client of a worker: the attempts and load orders that the
// front end sends, the events that tell how they ended, the send queue of one connection, and the stream that carries
// a long response. The clients of both worker protocols (internal/native/muxclient and internal/platform/workerclient)
// are built on it.
//
// Its central duty is to know of each attempt whether the worker may have seen it: the front end retries an attempt of
// a non-idempotent request only if it never reached a worker. Writing hands bytes to the operating system, and from then
// on they may reach the worker at any time. The send queue therefore counts an attempt as possibly executed from the
// moment its frame was written whole. A frame that was written in part is harmless, because a worker acts on whole frames
// only and the client closes the connection after such a write.
package workerconn
