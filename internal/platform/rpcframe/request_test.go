package rpcframe

import (
	"errors"
	"testing"
	"time"
)

func validMessage() Message {
	return Message{MessageID: 1, Method: "quote", Body: []byte("body"), Params: Params{
		ID: "9b1f03aa5c7e2d41", Function: "7f3a9c21e0b4d655",
		Timeout: "900", Attributes: "memory_mb:512;unknown:7;lanes:2;cost:3;hint:4",
	}}
}

func TestRequest_ValidFields_Decoded(t *testing.T) {
	message := validMessage()
	message.Params.Tenant = OptionalString{"", true}
	request, err := message.Request()
	if err != nil {
		t.Fatal(err)
	}
	if request.Class != "quote" || request.ID != message.Params.ID || request.Function != message.Params.Function ||
		request.Timeout != 900*time.Millisecond || string(request.Body) != "body" || !request.Tenant.Present {
		t.Errorf("decoded %+v", request)
	}
	want := []Attribute{
		{AttributeMemory, 512, "memory_mb:512"},
		{AttributeConcurrency, 2, "lanes:2"},
		{AttributeWorkEstimate, 3, "cost:3"},
		{AttributeWorkEstimate, 4, "hint:4"},
	}
	if len(request.Attributes) != len(want) {
		t.Fatalf("got attributes %v", request.Attributes)
	}
	for i := range want {
		if request.Attributes[i] != want[i] {
			t.Errorf("got attribute %+v, want %+v", request.Attributes[i], want[i])
		}
	}
}

func TestRequest_InvalidFields_Malformed(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"no body":                    func(m *Message) { m.Body = nil },
		"no id":                      func(m *Message) { m.Params.ID = "" },
		"upper-case id":              func(m *Message) { m.Params.ID = "9B1F03AA5C7E2D41" },
		"short function":             func(m *Message) { m.Params.Function = "7f3a" },
		"short idempotency key":      func(m *Message) { m.Params.IdempotencyKey = "7f3a9c21e0b4d655" },
		"empty retry":                func(m *Message) { m.Params.Retry = OptionalString{"", true} },
		"no timeout":                 func(m *Message) { m.Params.Timeout = "" },
		"timeout of 0":               func(m *Message) { m.Params.Timeout = "0" },
		"timeout with a sign":        func(m *Message) { m.Params.Timeout = "+5" },
		"timeout of 2^31":            func(m *Message) { m.Params.Timeout = "2147483648" },
		"attribute without value":    func(m *Message) { m.Params.Attributes = "lanes" },
		"empty attribute":            func(m *Message) { m.Params.Attributes = "lanes:2;" },
		"negative attribute":         func(m *Message) { m.Params.Attributes = "load_ms:-1" },
		"infinite unknown attribute": func(m *Message) { m.Params.Attributes = "unknown:Inf" },
		"NaN attribute":              func(m *Message) { m.Params.Attributes = "cost:NaN" },
	} {
		message := validMessage()
		change(&message)
		if request, err := message.Request(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: decoded %+v, error %v, want ErrMalformed", name, request, err)
		}
	}
}
