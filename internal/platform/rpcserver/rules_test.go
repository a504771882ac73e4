package rpcserver

import (
	"errors"
	"testing"
	"time"

	"havencart/internal/platform/rpcframe"
)

func TestRules_AttributeBounds(t *testing.T) {
	for name, test := range map[string]struct {
		attributes string
		accepted   bool
	}{
		"none":                          {"", true},
		"memory at the bound":           {"memory_mb:1000", true},
		"memory above the bound":        {"memory_mb:1000.5", false},
		"memory of 0":                   {"memory_mb:0", false},
		"concurrency at the bound":      {"lanes:1024", true},
		"concurrency above the bound":   {"lanes:1024.5", false},
		"concurrency of 0":              {"lanes:0", false},
		"load time of 0":                {"load_ms:0", true},
		"load time above the bound":     {"load_ms:1000001", false},
		"estimate above the bound":      {"hint:1000001", false},
		"repeated, first out of bounds": {"memory_mb:1e9;memory_mb:5", false},
		"unknown name, huge value":      {"unknown:1e300", true},
	} {
		message := rpcframe.Message{Method: "quote", Body: []byte{}, Params: rpcframe.Params{
			ID:       "9b1f03aa5c7e2d41",
			Function: "7f3a9c21e0b4d655", Timeout: "900", Tenant: rpcframe.OptionalString{Value: "acme", Present: true},
			Attributes: test.attributes,
		}}
		if request, err := rules.parse(message); (err == nil) != test.accepted {
			t.Errorf("%s: parsed %+v, error %v", name, request, err)
		}
	}
}

func TestRules_Timeout_AtMostTwiceTheClass(t *testing.T) {
	message := rpcframe.Message{Method: "quote", Body: []byte{}, Params: rpcframe.Params{
		ID:       "9b1f03aa5c7e2d41",
		Function: "7f3a9c21e0b4d655", Timeout: "2000", Tenant: rpcframe.OptionalString{Value: "acme", Present: true},
	}}
	if request, err := rules.parse(message); err != nil || request.Timeout != 2*time.Second {
		t.Errorf("parsed %+v, error %v", request, err)
	}
	message.Params.Timeout = "2001"
	if _, err := rules.parse(message); !errors.Is(err, ErrProtocol) {
		t.Errorf("error %v, want ErrProtocol", err)
	}
}

func TestRules_TenantNames(t *testing.T) {
	for name, test := range map[string]struct {
		tenants []string
		tenant  rpcframe.OptionalString
		want    int
	}{
		"known":                             {[]string{"acme", "other"}, rpcframe.OptionalString{Value: "other", Present: true}, 1},
		"unknown":                           {[]string{"acme", "other"}, rpcframe.OptionalString{Value: "nobody", Present: true}, -1},
		"absent":                            {[]string{"acme", "other"}, rpcframe.OptionalString{}, -1},
		"absent without tenants":            {nil, rpcframe.OptionalString{}, 0},
		"present without tenants":           {nil, rpcframe.OptionalString{Present: true}, -1},
		"absent, tenant with an empty name": {[]string{"acme", ""}, rpcframe.OptionalString{}, 1},
	} {
		r := Rules{Tenants: test.tenants}
		if got := r.tenantIndex(test.tenant); got != test.want {
			t.Errorf("%s: got tenant index %d, want %d", name, got, test.want)
		}
	}
}
