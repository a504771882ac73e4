package muxframe

// Version is the protocol version that this code implements. A worker rejects a front end of another version.
const Version = 1

// Type tells what a frame carries.
type Type uint8

// The types of frames. A front end sends HELLO, REQUEST, CREDIT, CANCEL, LOAD_ORDER, UNLOAD and HEALTH_CHECK, a worker
// WELCOME, RESPONSE, DATA, END, LOAD_RESULT and HEALTH_REPORT, and both PING and PONG.
const (
	TypeHello        Type = iota + 1 // opens a connection
	TypeWelcome                      // responds to HELLO
	TypeRequest                      // one attempt of a request; the body is the request's
	TypeResponse                     // ends an attempt, or starts its response; the body is all or the first part of the response's
	TypeData                         // the next part of a response that has started
	TypeEnd                          // ends a response that has started, complete or not
	TypeCredit                       // allows so many more bytes of a response
	TypeCancel                       // nobody waits for an attempt any longer
	TypeLoadOrder                    // load so many replicas of a function, or none: a residency query
	TypeLoadResult                   // responds to LOAD_ORDER
	TypeUnload                       // unload idle replicas
	TypeHealthCheck                  // asks for a load report
	TypeHealthReport                 // responds to HEALTH_CHECK
	TypePing                         // asks for a PONG
	TypePong                         // responds to PING

	typeLimit // one more than the last
)

// typeNames are the names of types in error texts. Clients may have seen them in the details of failed requests, so they
// are not changed; docs/protocol.md has both these and the names that the constants follow.
var typeNames = [...]string{
	TypeHello:        "hello",
	TypeWelcome:      "welcome",
	TypeRequest:      "call",
	TypeResponse:     "answer",
	TypeData:         "data",
	TypeEnd:          "end",
	TypeCredit:       "credit",
	TypeCancel:       "cancel",
	TypeLoadOrder:    "load",
	TypeLoadResult:   "loaded",
	TypeUnload:       "unload",
	TypeHealthCheck:  "probe",
	TypeHealthReport: "probed",
	TypePing:         "ping",
	TypePong:         "pong",
}

// String returns the name of a type in error texts.
func (t Type) String() string {
	if t.isKnown() {
		return typeNames[t]
	}
	return "unknown"
}

// isKnown tells whether this version of the protocol has a type.
func (t Type) isKnown() bool { return t > 0 && t < typeLimit }
