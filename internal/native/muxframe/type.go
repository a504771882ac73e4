package muxframe

// Version is the protocol version that this package implements. A worker rejects a front end with another version.
const Version = 1

// Type is the type of a frame.
type Type uint8

// The frame types. Front ends send HELLO, REQUEST, CREDIT, CANCEL, LOAD_ORDER, UNLOAD and HEALTH_CHECK. Workers send
// WELCOME, RESPONSE, DATA, END, LOAD_RESULT and HEALTH_REPORT. Both send PING and PONG.
const (
	TypeHello        Type = iota + 1 // HELLO opens a connection.
	TypeWelcome                      // WELCOME is the response to HELLO.
	TypeRequest                      // REQUEST carries one attempt; its body is the body of the request.
	TypeResponse                     // RESPONSE carries a response, or starts one with the first part of its body.
	TypeData                         // DATA carries the next part of a response that has started.
	TypeEnd                          // END ends a response that has started, whether complete or not.
	TypeCredit                       // CREDIT allows the worker to send further bytes of a response.
	TypeCancel                       // CANCEL tells the worker that the front end no longer waits for an attempt.
	TypeLoadOrder                    // LOAD_ORDER is a load order or, with 0 replicas, a residency query.
	TypeLoadResult                   // LOAD_RESULT is the response to LOAD_ORDER.
	TypeUnload                       // UNLOAD asks the worker to unload the idle replicas of a function.
	TypeHealthCheck                  // HEALTH_CHECK asks for a load report.
	TypeHealthReport                 // HEALTH_REPORT is the response to HEALTH_CHECK.
	TypePing                         // PING asks for a PONG.
	TypePong                         // PONG is the response to PING.

	typeLimit // one more than the largest type
)

// typeNames holds the names of the frame types in error texts. They differ from the names of the constants and must not
// change, because clients may have seen them in the details of failed requests. docs/protocol.md lists both names.
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

// String returns the name of the type in error texts.
func (t Type) String() string {
	if t.isKnown() {
		return typeNames[t]
	}
	return "unknown"
}

// isKnown reports whether this version of the protocol defines the type.
func (t Type) isKnown() bool { return t > 0 && t < typeLimit }
