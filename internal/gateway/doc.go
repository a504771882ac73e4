// Package gateway implements a front end: it receives requests from client connections, asks the scheduler which worker
// each request is sent to, and gives each request exactly one final response.
//
// The package has three layers. FrontEnd is the state machine that processes requests. It handles timestamped events
// one at a time, carries out the scheduler's actions and does no I/O itself, so that the same code runs in production,
// in tests and in the simulator. EventLoop is the goroutine that owns a FrontEnd; all other goroutines post events to
// its bounded queues. Service and PlatformServer are complete server processes, each with a client listener and the
// event loops behind it: Service uses the native protocols, PlatformServer those of the platform.
//
// A Request has one owner at a time: the goroutine of the client's connection until EventLoop.Submit, and the event
// loop afterwards. Request.complete enters the state that stands for the final response, at most once. Times are
// durations since Settings.ClockStart on the monotonic clock, which is read once per event.
package gateway
