// Package rpcframe is the codec of the MessagePack-RPC protocol that clients of the users' platform use: it reads their
// messages and encodes the responses. Decoding is strict: every length is checked before memory is allocated for it,
// and a message that does not conform to the platform's documentation is an error.
//
// The package translates the platform's terms to those used in the rest of this code base. For example, the method
// "revoke" cancels requests, the field "wait" is a timeout and the field "once" is an idempotency key.
package rpcframe

import (
	"errors"
	"fmt"
)

// Bounds of a message. A message that exceeds any of them is malformed.
const (
	MaxBody      = 16 << 10 // maximum size of a request's body in bytes
	maxFields    = 16       // maximum number of named fields of a request
	maxNameSize  = 64       // maximum size of the name of a method or field in bytes
	maxValueSize = 512      // maximum size of a field's value in bytes
	maxCancelled = 32       // maximum number of requests that one message cancels
)

// Methods other than the names of request classes.
const (
	MethodHeartbeat = "heartbeat" // queries whether the server is ready
	MethodCancel    = "revoke"    // cancels requests
)

// Message types. The type is the first element of a message's array.
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

// Message is a request or, if Cancelled is not nil, a notification that cancels requests.
type Message struct {
	MessageID uint32 // assigned by the client; the response repeats it
	Method    string // MethodHeartbeat, MethodCancel or the name of a request class
	Params    Params
	Body      []byte // nil if the request has no body, as for a heartbeat, or if it was skipped
	// BodySkipped is whether the request has a body that was not kept, because Reader.ReserveBody refused memory for it.
	BodySkipped bool
	Cancelled   []uint32 // message IDs of the requests to cancel
}

// Params are the named fields of a request as sent by the client. Message.Request validates them. Fields with unknown
// names are accepted and ignored.
type Params struct {
	ID             string         // ID of the request, unique among all clients
	Function       string         // ID of the function
	IdempotencyKey string         // empty if the request has none
	Tenant         OptionalString // name of the tenant
	Retry          OptionalString // set if the request is a retry; the only valid value is 1
	Timeout        string         // timeout as a decimal number of milliseconds
	Attributes     string         // name:value pairs, separated by semicolons
}

// OptionalString is the value of a field for which being absent differs from being empty.
type OptionalString struct {
	Value   string
	Present bool
}

// set stores the value of the field with the given name on the wire. It ignores unknown names.
func (p *Params) set(name, value string) {
	switch name {
	case "id":
		p.ID = value
	case "key":
		p.Function = value
	case "once":
		p.IdempotencyKey = value
	case "tenant":
		p.Tenant = OptionalString{value, true}
	case "retry":
		p.Retry = OptionalString{value, true}
	case "wait":
		p.Timeout = value
	case "attrs":
		p.Attributes = value
	}
}
