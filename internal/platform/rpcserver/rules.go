package rpcserver

import (
	"fmt"
	"time"

	"havencart/internal/platform/rpcframe"
)

// Class is a request class that clients may use.
type Class struct {
	Name        string
	MaxTimeout  time.Duration // longest time for which clients wait for a response to a request of this class
	RequiresKey bool          // requests of this class must have an idempotency key
}

// Rules are the classes and tenants that requests may name, and the bounds of their values.
type Rules struct {
	Classes     []Class
	Tenants     []string // empty if requests name no tenant
	MaxMemoryMB float64  // maximum memory of a replica in megabytes, 0 if unknown
}

// Bounds of the values in a request.
const (
	// maxTimeoutRatio is the maximum ratio of a request's timeout to the MaxTimeout of its class. It is above 1 because
	// clients round their timeout up and start it before they send the request.
	maxTimeoutRatio = 2

	maxConcurrency = 1024 // requests that a replica executes at a time
	maxMillis      = 1e6  // load time and work estimate, in milliseconds
	maxMemoryMB    = 1e6  // memory of a replica in megabytes if Rules.MaxMemoryMB is unknown
)

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrProtocol}, args...)...)
}

// parse converts a message whose method is the name of a class to a request and checks it against the rules. Its errors
// wrap ErrProtocol or rpcframe.ErrMalformed.
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

// classIndex returns the index of the last class with the given name, or -1 if there is none.
func (r *Rules) classIndex(name string) int {
	for i := len(r.Classes) - 1; i >= 0; i-- {
		if r.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// tenantIndex returns the index of the tenant that a request names, or -1 if the tenant is unknown. If the rules have
// no tenants, the index of a request without a tenant is 0.
func (r *Rules) tenantIndex(tenant rpcframe.OptionalString) int {
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

// apply stores the value of an attribute in the request. It reports whether the value is within its bounds.
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

// maxMemoryMB returns the upper bound of a replica's memory in megabytes.
func (r *Rules) maxMemoryMB() float64 {
	if r.MaxMemoryMB > 0 {
		return r.MaxMemoryMB
	}
	return maxMemoryMB
}

// millis converts milliseconds to a Duration. It caps values above maxMillis, which apply rejects, to prevent an
// overflow.
func millis(x float64) time.Duration {
	return time.Duration(min(x, maxMillis) * float64(time.Millisecond))
}
