package rpcserver

import (
	"fmt"
	"time"

	"havencart/internal/platform/rpcframe"
)

// Class is a request class that clients may name.
type Class struct {
	Name        string
	MaxTimeout  time.Duration // the longest that a client of this class waits for a response
	RequiresKey bool          // its requests must have an idempotency key
}

// Rules are the names and bounds of what clients may request.
type Rules struct {
	Classes     []Class
	Tenants     []string // empty where requests name no tenant
	MaxMemoryMB float64  // the most megabytes that a replica can need, 0 if unknown
}

// Bounds of what a request may say.
const (
	maxTimeoutRatio = 2 // to the class's, as clients round theirs up and start it before they send
	maxConcurrency  = 1024
	maxMillis       = 1e6
	maxMemoryMB     = 1e6 // where the Rules know no bound
)

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrProtocol}, args...)...)
}

// parse checks a message that is a request of a class. Its errors wrap ErrProtocol or rpcframe.ErrMalformed.
func (r *Rules) parse(message rpcframe.Message) (*Request, error) {
	wire, err := message.Request()
	if err != nil {
		return nil, err
	}
	request := &Request{
		ID: wire.ID, Function: wire.Function, IdempotencyKey: wire.IdempotencyKey, Timeout: wire.Timeout,
		Body: wire.Body,
	}
	if request.Class = r.classIndex(wire.Class); request.Class < 0 {
		return nil, protocolError("unknown class %q", wire.Class)
	}
	if request.Tenant = r.tenantIndex(wire.Tenant); request.Tenant < 0 {
		return nil, protocolError("unknown tenant %q", wire.Tenant.Value)
	}
	class := r.Classes[request.Class]
	if class.RequiresKey && request.IdempotencyKey == "" {
		return nil, protocolError("no idempotency key")
	}
	if request.Timeout > maxTimeoutRatio*class.MaxTimeout {
		return nil, protocolError("timeout of %v", request.Timeout)
	}
	for _, attribute := range wire.Attributes {
		if !r.apply(attribute, request) {
			return nil, protocolError("attribute %v", attribute)
		}
	}
	return request, nil
}

// classIndex returns the last class of a name, -1 if there is none.
func (r *Rules) classIndex(name string) int {
	for i := len(r.Classes) - 1; i >= 0; i-- {
		if r.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// tenantIndex returns the index of the tenant that a request names, -1 if that is unknown. Where there are no tenants, a
// request that names none is the first one's.
func (r *Rules) tenantIndex(tenant rpcframe.OptionalText) int {
	if !tenant.Present && len(r.Tenants) == 0 {
		return 0
	}
	for i, name := range r.Tenants {
		if name == tenant.Value {
			return i
		}
	}
	return -1
}

// apply stores an attribute in a request. It reports false if its value is out of bounds.
func (r *Rules) apply(attribute rpcframe.Attribute, request *Request) bool {
	value := attribute.Value
	switch attribute.Kind {
	case rpcframe.AttributeMemory:
		request.MemoryMB = value
		return value > 0 && value <= r.maxMemoryMB()
	case rpcframe.AttributeConcurrency:
		request.Concurrency = int(min(value, maxConcurrency))
		return value > 0 && value <= maxConcurrency
	case rpcframe.AttributeLoadTime:
		request.LoadTime = millis(value)
	case rpcframe.AttributeWorkEstimate:
		request.WorkEstimate = millis(value)
	}
	return value <= maxMillis
}

func (r *Rules) maxMemoryMB() float64 {
	if r.MaxMemoryMB > 0 {
		return r.MaxMemoryMB
	}
	return maxMemoryMB
}

// millis converts milliseconds. Those out of bounds, which apply rejects, must not overflow.
func millis(x float64) time.Duration {
	return time.Duration(min(x, maxMillis) * float64(time.Millisecond))
}
