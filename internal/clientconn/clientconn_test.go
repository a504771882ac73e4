package clientconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

func TestTable_AddBeyondLimit_Rejected(t *testing.T) {
	table := NewTable[int](2)
	if !table.Add(1) || !table.Add(2) {
		t.Fatal("rejected below the limit")
	}
	if table.Add(3) {
		t.Error("admitted above the limit")
	}
	if all := table.All(); len(all) != 2 || slices.Contains(all, 3) {
		t.Errorf("open connections %v, want 1 and 2", all)
	}
	table.Remove(1)
	table.Remove(1)
	if !table.Add(3) {
		t.Error("rejected although a connection was removed")
	}
	if all := table.All(); table.Len() != 2 || !slices.Contains(all, 2) || !slices.Contains(all, 3) {
		t.Errorf("open connections %v, want 2 and 3", all)
	}
}

func TestTable_LimitOfZero_AdmitsNothing(t *testing.T) {
	if table := NewTable[int](0); table.Add(1) || table.Len() != 0 {
		t.Error("a table with a limit of 0 admitted a connection")
	}
}

func TestTable_ConcurrentAddAndRemove_StaysWithinLimit(t *testing.T) {
	const limit = 4
	table := NewTable[int](limit)
	var workers sync.WaitGroup
	for worker := range 16 {
		workers.Go(func() {
			for range 200 {
				if table.Add(worker) {
					if open := table.Len(); open < 1 || open > limit {
						t.Errorf("%d open, at most %d are allowed", open, limit)
					}
					table.Remove(worker)
				}
			}
		})
	}
	workers.Wait()
	if table.Len() != 0 {
		t.Errorf("connections %v are still in the table", table.All())
	}
}

// scriptedListener returns the next of results from each Accept. It must be used by only one goroutine.
type scriptedListener struct {
	net.Listener
	results []any // a net.Conn or an error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	result := l.results[0]
	l.results = l.results[1:]
	if err, failed := result.(error); failed {
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return result.(net.Conn), nil
}

func TestAcceptLoop_EachError_EndsOrRetries(t *testing.T) {
	transient, fatal := errors.New("transient"), errors.New("fatal")
	local, remote := net.Pipe()
	defer func() { _ = local.Close() }()
	defer func() { _ = remote.Close() }()
	for name, test := range map[string]struct {
		results  []any
		admitted int
		retried  int
		want     error
	}{
		"closed at once":                    {[]any{net.ErrClosed}, 0, 0, nil},
		"closed after connections":          {[]any{local, remote, net.ErrClosed}, 2, 0, nil},
		"connection after transient errors": {[]any{transient, transient, local, net.ErrClosed}, 1, 2, nil},
		"fatal":                             {[]any{local, fatal, remote}, 1, 1, fatal},
	} {
		t.Run(name, func(t *testing.T) {
			admitted, retried := 0, 0
			err := AcceptLoop(&scriptedListener{results: test.results}, func(net.Conn) { admitted++ }, func(err error) bool {
				retried++
				return errors.Is(err, transient)
			})
			if !errors.Is(err, test.want) || admitted != test.admitted || retried != test.retried {
				t.Errorf("%d admitted, %d calls of retry, error %v", admitted, retried, err)
			}
		})
	}
}

func TestSetWriteTimeout_PeerReadsNothing_WriteFails(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = local.Close() }()
	defer func() { _ = remote.Close() }()
	SetWriteTimeout(local, time.Millisecond)
	if _, err := local.Write([]byte("x")); !IsTimeout(err) {
		t.Errorf("error %v, want a timeout", err)
	}
}

func TestIsTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"deadline":         {os.ErrDeadlineExceeded, true},
		"wrapped deadline": {fmt.Errorf("read: %w", &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}), true},
		"closed":           {net.ErrClosed, false},
		"end of input":     {io.EOF, false},
		"none":             {nil, false},
	} {
		if got := IsTimeout(test.err); got != test.want {
			t.Errorf("%s: IsTimeout returned %v", name, got)
		}
	}
}
