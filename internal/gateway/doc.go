// Package gateway is one front end: it takes requests from clients' connections, has the scheduler decide where each
// one is sent, and gives each exactly one final response.
//
// It has three layers. FrontEnd is the state machine of the requests: it receives events with their time, one at a
// time, carries out the scheduler's actions, and does no I/O itself, so that it runs in real time, in tests and in a
// simulation alike. EventLoop is the goroutine that owns a FrontEnd: everything else posts events to its bounded
// queues. Service and PlatformServer are processes: a clients' listener and the event loops behind it, for our own
// protocols and for the platform's.
//
// A request's record has one owner at a time: the goroutine of its client's connection until Submit, the event loop
// from there on. Its final response is a state that is entered once, in Request.complete. Times are durations since
// Settings.ClockStart on the monotonic clock, read once an event.
package gateway
