package gateway

import (
	"cmp"
	"fmt"
	"time"

	"havencart/internal/native/httpserver"
	"havencart/internal/native/muxframe"
)

// Catalog is what is known of classes, tenants and functions by name.
type Catalog struct {
	Classes    []CatalogClass // in the module's order
	Tenants    []string       // in the module's order
	Functions  map[string]CatalogFunction
	ListedOnly bool // only listed functions are called
}

// CatalogClass is a class as clients name it, with what its functions take where nothing tells it.
type CatalogClass struct {
	Name       string
	MaxTimeout time.Duration // where a call tells none, and at most
	Replica    muxframe.ReplicaSpec
}

// CatalogFunction is a function that the settings list.
type CatalogFunction struct {
	Class   int
	Replica muxframe.ReplicaSpec
}

// edge hands a connection's calls to one loop: it is the callhttp.Handler.
type httpHandler struct {
	loop    *EventLoop
	catalog *Catalog
}

// pending is a call in the loop's hands.
type pendingRequest struct {
	loop    *EventLoop
	request *Request
}

// Take implements callhttp.Handler.
func (e httpHandler) Take(in *httpserver.Request) (httpserver.Pending, error) {
	request := NewRequest()
	request.ID, request.IdempotencyKey, request.Body, request.WorkEstimate = in.ID, in.IdempotencyKey, in.Body, in.WorkEstimate
	request.StartedAt = in.ReceivedAt.Sub(e.loop.cfg.ClockStart)
	if err := e.catalog.Resolve(in, request); err != nil {
		return nil, err
	}
	e.loop.Submit(request)
	return pendingRequest{e.loop, request}, nil
}

// Resolve finds a call's class, tenant and function.
func (k *Catalog) Resolve(in *httpserver.Request, request *Request) error {
	listed, known := k.Functions[in.Function]
	if !known && k.ListedOnly {
		return fmt.Errorf("no function %q", in.Function)
	}
	request.Class = listed.Class
	if in.Class != "" {
		n, found := indexOf(k.Classes, func(x CatalogClass) bool { return x.Name == in.Class })
		if !found {
			return fmt.Errorf("no class %q", in.Class)
		}
		if known && n != listed.Class {
			return fmt.Errorf("function %q is not of class %q", in.Function, in.Class)
		}
		request.Class = n
	}
	if in.Tenant != "" {
		n, found := indexOf(k.Tenants, func(x string) bool { return x == in.Tenant })
		if !found {
			return fmt.Errorf("no tenant %q", in.Tenant)
		}
		request.Tenant = n
	}
	class := k.Classes[request.Class]
	request.Timeout = class.MaxTimeout
	if in.Timeout > 0 {
		request.Timeout = min(request.Timeout, in.Timeout)
	}
	request.Replica = muxframe.ReplicaSpec{Function: in.Function,
		MemoryMB:    cmp.Or(listed.Replica.MemoryMB, in.MemoryMB, class.Replica.MemoryMB),
		Concurrency: cmp.Or(listed.Replica.Concurrency, in.Concurrency, class.Replica.Concurrency),
		LoadMillis:  cmp.Or(listed.Replica.LoadMillis, float64(in.LoadTime)/float64(time.Millisecond), class.Replica.LoadMillis)}
	return nil
}

func indexOf[T any](list []T, match func(T) bool) (int, bool) {
	for i, x := range list {
		if match(x) {
			return i, true
		}
	}
	return 0, false
}

// Wait implements callhttp.Pending.
func (p pendingRequest) Wait(gone <-chan struct{}) (httpserver.Response, bool) {
	select {
	case f := <-p.request.Response():
		return f.httpResponse(p.request.ID), true
	case <-gone:
		return httpserver.Response{}, false
	}
}

// Leave implements callhttp.Pending.
func (p pendingRequest) Leave() { p.loop.Disconnect(p.request) }

var httpOutcomes = map[ResponseKind]httpserver.Outcome{Served: httpserver.Served, Rejected: httpserver.Rejected, Failed: httpserver.Failed}

// answer is a final answer as the client edge has it.
func (f FinalResponse) httpResponse(id string) httpserver.Response {
	out := httpserver.Response{Outcome: httpOutcomes[f.Kind], Reason: f.Reason, RetryAfter: f.RetryAfter, TimedOut: f.TimedOut,
		Worker: f.Worker, Attempts: f.Attempts, ID: id}
	if f.Response != nil {
		out.ContentType, out.Body, out.Length = f.Response.Type, f.Response.Body, f.Response.Length
		if f.Response.Stream != nil {
			out.Stream = f.Response.Stream
		}
	}
	return out
}
