//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/internal/platform/workerframe"
)

// frameID returns a frame's id in the form that clients use.
func frameID(frame workerframe.Frame) string { return fmt.Sprintf("%016x", frame.ID) }

// executor is a stand-in of an executor. handle is called for each frame, in the order of a connection, and must not
// block.
type executor struct {
	name     string
	address  string
	listener net.Listener
	handle   func(answer func(workerframe.Frame), frame workerframe.Frame)
	closed   func(conn net.Conn) // if not nil, called at the end of a connection

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startExecutor(name string, handle func(answer func(workerframe.Frame), frame workerframe.Frame)) (*executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{name: name, address: listener.Addr().String(), listener: listener, handle: handle, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *executor) serve(conn net.Conn) {
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	var writing sync.Mutex
	answer := func(frame workerframe.Frame) {
		raw, err := workerframe.Append(nil, workerframe.MagicWorker, frame)
		if err != nil {
			return
		}
		writing.Lock()
		defer writing.Unlock()
		_, _ = conn.Write(raw)
	}
	reader := workerframe.NewReader(bufio.NewReader(conn), workerframe.MagicFrontEnd, workerframe.MaxBody)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		e.handle(answer, frame)
	}
}

// stop closes the listener and resets the connections.
func (e *executor) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// isProbe reports whether a frame is a probe.
func isProbe(frame workerframe.Frame) bool {
	return frame.Code == workerframe.HealthCheck || frame.Code == workerframe.LoadReport
}

// after calls do after a delay.
func after(delay time.Duration, do func()) { time.AfterFunc(delay, do) }
