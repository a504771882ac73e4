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
	Classes   []CatalogClass // in the module's order
	Tenants   []string       // in the module's order
	Functions map[string]CatalogFunction
	Listed    bool // only listed functions are called
}

// CatalogClass is a class as clients name it, with what its functions take where nothing tells it.
type CatalogClass struct {
	Name     string
	Patience time.Duration // where a call tells none, and at most
	Copy     muxframe.Copy
}

// CatalogFunction is a function that the settings list.
type CatalogFunction struct {
	Class int
	Copy  muxframe.Copy
}

// edge hands a connection's calls to one loop: it is the callhttp.Handler.
type edge struct {
	loop    *Loop
	catalog *Catalog
}

// pending is a call in the loop's hands.
type pending struct {
	loop *Loop
	call *Call
}

// Take implements callhttp.Handler.
func (e edge) Take(in *httpserver.Call) (httpserver.Pending, error) {
	c := NewCall()
	c.ID, c.Key, c.Body, c.Cost = in.ID, in.Key, in.Body, in.Cost
	c.Since = in.Began.Sub(e.loop.cfg.Began)
	if err := e.catalog.Resolve(in, c); err != nil {
		return nil, err
	}
	e.loop.Submit(c)
	return pending{e.loop, c}, nil
}

// Resolve finds a call's class, tenant and function.
func (k *Catalog) Resolve(in *httpserver.Call, c *Call) error {
	listed, known := k.Functions[in.Function]
	if !known && k.Listed {
		return fmt.Errorf("no function %q", in.Function)
	}
	c.Class = listed.Class
	if in.Class != "" {
		n, found := indexOf(k.Classes, func(x CatalogClass) bool { return x.Name == in.Class })
		if !found {
			return fmt.Errorf("no class %q", in.Class)
		}
		if known && n != listed.Class {
			return fmt.Errorf("function %q is not of class %q", in.Function, in.Class)
		}
		c.Class = n
	}
	if in.Tenant != "" {
		n, found := indexOf(k.Tenants, func(x string) bool { return x == in.Tenant })
		if !found {
			return fmt.Errorf("no tenant %q", in.Tenant)
		}
		c.Tenant = n
	}
	class := k.Classes[c.Class]
	c.Patience = class.Patience
	if in.Patience > 0 {
		c.Patience = min(c.Patience, in.Patience)
	}
	c.Copy = muxframe.Copy{Function: in.Function,
		MemoryMB:   cmp.Or(listed.Copy.MemoryMB, in.MemoryMB, class.Copy.MemoryMB),
		Lanes:      cmp.Or(listed.Copy.Lanes, in.Lanes, class.Copy.Lanes),
		LoadMillis: cmp.Or(listed.Copy.LoadMillis, float64(in.Load)/float64(time.Millisecond), class.Copy.LoadMillis)}
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
func (p pending) Wait(gone <-chan struct{}) (httpserver.Answer, bool) {
	select {
	case f := <-p.call.Answer():
		return f.answer(p.call.ID), true
	case <-gone:
		return httpserver.Answer{}, false
	}
}

// Leave implements callhttp.Pending.
func (p pending) Leave() { p.loop.Leave(p.call) }

var outcomes = map[Kind]httpserver.Outcome{Served: httpserver.Served, Refused: httpserver.Refused, Failed: httpserver.Failed}

// answer is a final answer as the client edge has it.
func (f Final) answer(id string) httpserver.Answer {
	out := httpserver.Answer{Outcome: outcomes[f.Kind], Why: f.Why, RetryAfter: f.RetryAfter, TimedOut: f.TimedOut,
		Worker: f.Worker, Attempts: f.Attempts, ID: id}
	if f.Answer != nil {
		out.Type, out.Body, out.Length = f.Answer.Type, f.Answer.Body, f.Answer.Length
		if f.Answer.Stream != nil {
			out.Stream = f.Answer.Stream
		}
	}
	return out
}
