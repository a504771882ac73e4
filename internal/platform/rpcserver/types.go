// Package rpcserver is the edge of the users' platform's clients: MessagePack-RPC over TCP. What a client sends is
// checked here whole, against the names and bounds of Rules, before anybody else hears of it. It knows nothing of
// workers: a Handler takes each call and gives its final answer.
//
// A client that breaks the protocol gets an error, where its request has a number, and its connection is closed:
// whatever else is open on it is left. No usual client does that.
package rpcserver

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"havencart/internal/platform/rpcframe"
)

// Call is one request as a client made it.
type Request struct {
	ID             string // 16 hex digits
	Class          int
	Tenant         int
	Function       string // 16 hex digits
	IdempotencyKey string // idempotency key, empty where there is none
	Timeout        time.Duration
	MemoryMB       float64 // of one loaded copy, 0 if not told
	Concurrency    int     // 0 if not told
	LoadTime       time.Duration
	WorkEstimate   time.Duration
	Body           []byte
	ReceivedAt     time.Time // when its last byte was read
}

// Kind is the kind of a final answer.
type ResponseKind int

// The kinds.
const (
	Served   ResponseKind = iota + 1
	Rejected              // trying again is harmless
	Failed
)

// Answer is a final answer.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // with Served
	RetryAfter time.Duration // with Refused: to stay away for so long; 0 is no advice
}

// Handler takes calls.
type Handler interface {
	// Take takes a call, whose final answer is given to answer, once, perhaps before Take returns. What it cannot
	// take as it breaks the protocol returns an error. Leave tells that nobody waits any longer.
	Handle(c *Request, answer func(Response)) (leave func(), err error)
	// Ready says whether heartbeats are answered well.
	Ready() bool
}

// Class is a class as clients name it.
type Class struct {
	Name        string
	MaxTimeout  time.Duration // that a client waits
	RequiresKey bool          // its requests have an idempotency key
}

// Rules are the names and bounds of what clients may ask.
type Rules struct {
	Classes  []Class
	Tenants  []string
	MemoryMB float64 // the most that a copy can need; 0: not known
}

// ErrBroken is wrapped by errors about requests that break the protocol.
var ErrProtocol = errors.New("request breaks the protocol")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrProtocol}, args...)...)
}

const (
	idDigits   = 16
	onceDigits = 32
	mostWaits  = 2 // times the longest wait of a class, as clients round it up, and count from before they send
	mostLanes  = 1024
	mostMillis = 1e6
	mostMemory = 1e6
	heartbeat  = "heartbeat"
)

// parse checks a request whole.
func (r *Rules) parse(m rpcframe.Message) (*Request, error) {
	c := &Request{ID: m.Fields["id"], Function: m.Fields["key"], IdempotencyKey: m.Fields["once"], Body: m.Body, Class: -1}
	for i := range r.Classes {
		if r.Classes[i].Name == m.Method {
			c.Class = i
		}
	}
	switch {
	case c.Class < 0:
		return nil, broken("no class %q", m.Method)
	case m.Body == nil:
		return nil, broken("no body")
	case !isHex(c.ID, idDigits):
		return nil, broken("id %q", c.ID)
	case !isHex(c.Function, idDigits):
		return nil, broken("key %q", c.Function)
	case c.IdempotencyKey == "" && r.Classes[c.Class].RequiresKey || c.IdempotencyKey != "" && !isHex(c.IdempotencyKey, onceDigits):
		return nil, broken("once %q", c.IdempotencyKey)
	}
	if err := r.parseTenant(c, m.Fields); err != nil {
		return nil, err
	}
	if retry, told := m.Fields["retry"]; told && retry != "1" {
		return nil, broken("retry %q", retry)
	}
	wait, err := strconv.ParseUint(m.Fields["wait"], 10, 31)
	c.Timeout = time.Duration(wait) * time.Millisecond
	if err != nil || wait == 0 || c.Timeout > mostWaits*r.Classes[c.Class].MaxTimeout {
		return nil, broken("wait %q", m.Fields["wait"])
	}
	return c, r.parseAttrs(c, m.Fields["attrs"])
}

func (r *Rules) parseTenant(c *Request, fields map[string]string) error {
	name, told := fields["tenant"]
	if !told && len(r.Tenants) == 0 {
		return nil
	}
	for i := range r.Tenants {
		if r.Tenants[i] == name {
			c.Tenant = i
			return nil
		}
	}
	return broken("tenant %q", name)
}

// parseAttrs reads name:value;name:value; names that it does not know say nothing here.
func (r *Rules) parseAttrs(c *Request, attrs string) error {
	if attrs == "" {
		return nil
	}
	for pair := range strings.SplitSeq(attrs, ";") {
		name, text, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x >= 0) {
			return broken("attrs %q", pair)
		}
		most := math.Inf(1)
		switch name {
		case "memory_mb":
			c.MemoryMB, most = x, mostMemory
			if r.MemoryMB > 0 {
				most = r.MemoryMB
			}
		case "lanes":
			c.Concurrency, most = int(min(x, mostLanes)), mostLanes
		case "load_ms":
			c.LoadTime, most = millis(x), mostMillis
		case "cost", "hint":
			c.WorkEstimate, most = millis(x), mostMillis
		}
		if math.IsInf(x, 0) || x > most || x == 0 && (name == "memory_mb" || name == "lanes") {
			return broken("attrs %q", pair)
		}
	}
	return nil
}

func millis(x float64) time.Duration {
	return time.Duration(min(x, mostMillis) * float64(time.Millisecond))
}

func isHex(s string, digits int) bool {
	if len(s) != digits {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
