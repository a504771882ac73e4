package workerclient

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// clientSet contains the clients of several workers, which share one budget.
type clientSet struct {
	budget    *ConnectionBudget
	clients   []*Client
	recorders []eventRecorder
	held      chan func() // functions that send the responses, if the workers hold them back
}

// startClients starts the given number of workers and a client for each of them. If holds is true, the workers pass
// functions that send their responses to held; otherwise they respond at once.
func startClients(t *testing.T, workers, connections int, holds bool) *clientSet {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	set := &clientSet{budget: NewConnectionBudget(connections), held: make(chan func(), 64)}
	for range workers {
		server, err := platformworker.StartFullyScripted(func(c *platformworker.Conn, f workerframe.Frame) {
			respond := func() { c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID}) }
			if holds {
				set.held <- respond
				return
			}
			respond()
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		client, recorder := newTestClient(t, server.Address(), connections)
		client.cfg.Budget = set.budget
		set.clients, set.recorders = append(set.clients, client), append(set.recorders, recorder)
	}
	return set
}

// call sends an attempt to a worker and waits for its result, which must be OK.
func (f *clientSet) call(t *testing.T, worker, number int) {
	t.Helper()
	send(t, f.clients[worker], newAttempt(number))
	if result := <-f.recorders[worker].attemptEnds; result.Status != scheduler.OK {
		t.Errorf("attempt %d at worker %d ended as %+v", number, worker, result)
	}
}

// awaitIdle waits until count connections are idle. The connections' own goroutines mark them as idle, some time after
// their last response.
func (f *clientSet) awaitIdle(t *testing.T, count int) {
	t.Helper()
	for t.Context().Err() == nil {
		f.budget.mu.Lock()
		idle := f.budget.idle.Len()
		f.budget.mu.Unlock()
		if idle == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionBudget_MoreWorkersThanConnections_AllAreReached checks that every worker is reached if there are more
// workers than connections, because the connection that has been idle for the longest time is evicted.
func TestConnectionBudget_MoreWorkersThanConnections_AllAreReached(t *testing.T) {
	const workers, connections = 12, 3
	set := startClients(t, workers, connections, false)
	for number := range 4 * workers {
		set.call(t, number%workers, 100+number)
		if used := set.budget.Used(); used > connections {
			t.Fatalf("%d slots are in use with a budget of %d", used, connections)
		}
		set.awaitIdle(t, min(number+1, connections))
	}
}

// TestConnectionBudget_NoConnectionIdle_AttemptIsNotSent checks that a connection with a request in flight is not
// evicted.
func TestConnectionBudget_NoConnectionIdle_AttemptIsNotSent(t *testing.T) {
	set := startClients(t, 3, 2, true)
	send(t, set.clients[0], newAttempt(1))
	send(t, set.clients[1], newAttempt(2))
	responses := []func(){<-set.held, <-set.held}
	if result := set.clients[2].Send(newAttempt(3)); result == nil || result.Status != scheduler.NotSent {
		t.Errorf("an attempt without a free connection returned %+v, want NotSent", result)
	}
	for _, respond := range responses {
		respond()
	}
	for _, recorder := range set.recorders[:2] {
		if result := <-recorder.attemptEnds; result.Status != scheduler.OK {
			t.Errorf("the attempt ended as %+v", result)
		}
	}
	set.awaitIdle(t, 2)
	send(t, set.clients[2], newAttempt(4))
	(<-set.held)()
	if result := <-set.recorders[2].attemptEnds; result.Status != scheduler.OK {
		t.Errorf("the attempt ended as %+v", result)
	}
}

// TestConnectionBudget_EvictedConnection_IsNotUsedAgain checks that an evicted connection accepts no attempt and that
// its client opens another connection instead.
func TestConnectionBudget_EvictedConnection_IsNotUsedAgain(t *testing.T) {
	set := startClients(t, 2, 2, false)
	set.call(t, 0, 1)
	set.awaitIdle(t, 1)
	set.budget.mu.Lock()
	set.budget.evictIdle()
	set.budget.mu.Unlock()
	set.call(t, 0, 2)
	set.awaitIdle(t, 1)
	// The evicted connection's own goroutine closes it and then releases its slot.
	deadline := time.Now().Add(10 * time.Second)
	for set.budget.Used() != 1 && time.Now().Before(deadline) {
		runtime.Gosched()
	}
	if used := set.budget.Used(); used != 1 {
		t.Errorf("%d slots are in use, one connection is open", used)
	}
}

// TestConnectionBudget_StoppedWhileWaiting_LeavesWaitingList checks that a connection that waits for a slot stops
// waiting when its client is stopped.
func TestConnectionBudget_StoppedWhileWaiting_LeavesWaitingList(t *testing.T) {
	set := startClients(t, 1, 1, true)
	addIdleConnection(set.budget)
	waiting := set.clients[0]
	send(t, waiting, newAttempt(1))
	waiting.Stop()
	<-waiting.Done()
	if used := set.budget.Used(); used != 1 {
		t.Errorf("%d slots are in use, one connection is open", used)
	}
	if waits := set.budget.waiting.Len(); waits != 0 {
		t.Errorf("%d connections still wait for a slot", waits)
	}
}

// addIdleConnection adds an idle connection that does not close when it is evicted.
func addIdleConnection(budget *ConnectionBudget) {
	conn := &connection{wake: workerconn.NewSignal()}
	budget.reserve(conn, 0)
	budget.setIdle(conn)
}

// TestConnectionBudget_TwoReserveLastIdleConnection_OneIsRejected checks that no more connections wait for a slot than
// were evicted: if two workers compete for the slot of the last idle connection, only one of them gets it.
func TestConnectionBudget_TwoReserveLastIdleConnection_OneIsRejected(t *testing.T) {
	budget := NewConnectionBudget(1)
	addIdleConnection(budget)
	if !budget.reserve(&connection{}, 0) {
		t.Error("the first reservation was rejected")
	}
	if budget.reserve(&connection{}, 0) {
		t.Error("the second reservation waits for a slot that no connection will release")
	}
}

// TestConnectionBudget_ManyWorkersAtOnce_NoneCountsAsFailed checks that attempts for many workers at once, with few
// connections, end as OK or NotSent. A shortage of connections must not count against a worker.
func TestConnectionBudget_ManyWorkersAtOnce_NoneCountsAsFailed(t *testing.T) {
	const workers, connections, rounds = 16, 2, 12
	set := startClients(t, workers, connections, false)
	var senders sync.WaitGroup
	for worker, client := range set.clients {
		senders.Go(func() {
			for round := range rounds {
				if result := client.Send(newAttempt(worker*rounds + round)); result != nil {
					set.recorders[worker].attemptEnds <- *result
				}
				result := <-set.recorders[worker].attemptEnds
				if result.Status != scheduler.OK && result.Status != scheduler.NotSent {
					t.Errorf("worker %d: an attempt ended as %+v", worker, result)
				}
			}
		})
	}
	senders.Wait()
}

// TestConnectionBudget_NoSlotInTime_AttemptIsNotSent checks that a connection that gets no slot in time does not count
// against its worker.
func TestConnectionBudget_NoSlotInTime_AttemptIsNotSent(t *testing.T) {
	set := startClients(t, 1, 1, true)
	set.clients[0].cfg.ConnectTimeout = time.Millisecond
	addIdleConnection(set.budget)
	send(t, set.clients[0], newAttempt(1))
	if result := <-set.recorders[0].attemptEnds; result.Status != scheduler.NotSent {
		t.Errorf("the attempt ended as %+v, want NotSent", result)
	}
	select {
	case err := <-set.recorders[0].disconnects:
		t.Errorf("the worker counts as disconnected: %v", err)
	default:
	}
}

func TestUnsentStatus_LocalResourceError_DoesNotCountAgainstWorker(t *testing.T) {
	connect := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for reason, want := range map[error]scheduler.Status{
		errNoSlot:                                         scheduler.NotSent,
		connect(syscall.EMFILE):                           scheduler.NotSent,
		connect(syscall.ENFILE):                           scheduler.NotSent,
		connect(syscall.ENOBUFS):                          scheduler.NotSent,
		connect(syscall.ENOMEM):                           scheduler.NotSent,
		connect(syscall.EADDRNOTAVAIL):                    scheduler.NotSent,
		connect(syscall.ECONNREFUSED):                     scheduler.ConnectFailed,
		connect(syscall.EHOSTUNREACH):                     scheduler.ConnectFailed,
		connect(syscall.ETIMEDOUT):                        scheduler.ConnectFailed,
		fmt.Errorf("connect: %w", os.ErrDeadlineExceeded): scheduler.ConnectFailed,
		errStopped:                                        scheduler.ConnectFailed,
	} {
		if status := unsentStatus(reason); status != want {
			t.Errorf("%v: status %v, want %v", reason, status, want)
		}
	}
}
