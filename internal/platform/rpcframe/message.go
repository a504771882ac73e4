// Package rpcframe reads the messages of the MessagePack-RPC protocol that clients of the users' platform speak, and
// writes the responses to them. It is strict: every length is checked before anything is allocated for it, and what is
// not a message as the platform documents it is an error.
//
// The platform's own words stand here only. The values it hands out carry the terms that the rest of the code uses:
// the method "revoke" cancels requests, the field "wait" is a timeout, "once" an idempotency key.
package rpcframe

import (
	"errors"
	"fmt"
)

// The bounds of a message. One beyond them is malformed.
const (
	MaxBody      = 16 << 10 // bytes of a request's body
	maxFields    = 16       // named fields of a request
	maxNameSize  = 64       // bytes of a method's or field's name
	maxValueSize = 512      // bytes of a field's value
	maxCancelled = 32       // requests that one message cancels
)

// Methods that are not the name of a request class.
const (
	MethodHeartbeat = "heartbeat" // asks whether the server is ready
	MethodCancel    = "revoke"    // cancels requests
)

// Types of a message: the first element of its array.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// ErrMalformed is wrapped by every error about the content of a message.
var ErrMalformed = errors.New("malformed message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// Message is a request or, where Cancelled is not nil, a notification that cancels some.
type Message struct {
	Number    uint32 // the client's number of the request, which its response repeats
	Method    string // MethodHeartbeat, MethodCancel or the name of a request class
	Params    Params
	Body      []byte   // nil where the request has no body, as heartbeats
	Cancelled []uint32 // numbers of the requests to cancel
}

// Params are the named fields of a request, as the client sent them: Message.Request checks them. Fields of other names
// are accepted and ignored.
type Params struct {
	ID             string       // of the request, unique among all clients
	Function       string       // id of the function
	IdempotencyKey string       // empty without one
	Tenant         OptionalText // the tenant's name
	Retry          OptionalText // a flag, whose only value is 1
	Timeout        string       // milliseconds, in decimal
	Attributes     string       // name:value pairs separated by semicolons
}

// OptionalText is a field's value where an absent field differs from an empty one.
type OptionalText struct {
	Value   string
	Present bool
}

// set stores the value of the field that has a name on the wire.
func (p *Params) set(name, value string) {
	switch name {
	case "id":
		p.ID = value
	case "key":
		p.Function = value
	case "once":
		p.IdempotencyKey = value
	case "tenant":
		p.Tenant = OptionalText{value, true}
	case "retry":
		p.Retry = OptionalText{value, true}
	case "wait":
		p.Timeout = value
	case "attrs":
		p.Attributes = value
	}
}
