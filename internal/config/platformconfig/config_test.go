package platformconfig

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const configText = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964",
	"limits":{"cores":0.5,"memory_mb":32,"sockets":256},"bulletin":"127.0.0.2:2379","known":{"no":3,"items":[]},
	"settings":{"azs":["a"],"skus":["std"],"limits":{"streamsPerConn":32,"connectTimeout":250.0},
	"classes":[{"name":"quote","deadline":800.0,"onTime":500.0,"repeat":"retryable","worth":2.0}]}}`

func TestParseConfig_Valid_ReturnsAllParts(t *testing.T) {
	config, err := ParseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n3" || config.Seed != 0x8c1f30d27a5be964 ||
		config.Settings.Scheduler.Seed != config.Seed || config.MemoryMB != 32 || config.MaxDescriptors != 256 ||
		config.EndpointStreamAddress != "127.0.0.2:2379" || config.Settings.MaxTimeout() != 800*time.Millisecond {
		t.Errorf("configuration %+v", config)
	}
}

// TestParseConfig_InvalidField_NamesKey verifies that an invalid value is found when the configuration is parsed,
// before the front end listens, and that the error names the key.
func TestParseConfig_InvalidField_NamesKey(t *testing.T) {
	for _, test := range []struct{ old, new, field string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":null`, "seed"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"listen":"127.0.0.1:9090"`, `"listen":"here"`, "listen"},
		{`"bulletin":"127.0.0.2:2379"`, `"bulletin":null`, "bulletin"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"memory_mb":32`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":null`, "limits.sockets"},
		{`"streamsPerConn":32`, `"streamsPerConn":null`, "settings.limits.streamsPerConn"},
		{`"connectTimeout":250.0`, `"connectTimeout":-1`, "settings.limits.connectTimeout"},
		{`"name":"quote"`, `"name":""`, "settings.classes[0].name"},
		{`"deadline":800.0`, `"deadline":0`, "settings.classes[0].deadline"},
		{`"onTime":500.0`, `"onTime":-5`, "settings.classes[0].onTime"},
		{`"repeat":"retryable"`, `"repeat":"sometimes"`, "classes[0].repeat"},
		{`"repeat":"retryable"`, `"repeat":"dedup","keyScope":"town"`, "classes[0].keyScope"},
		{`"worth":2.0`, `"worth":"two"`, "classes.worth"},
		{`"azs":["a"]`, `"azs":["a"],"zone":1`, "settings.zone"},
		{`"azs":["a"]`, `"azs":["a"],"rules":{"coldFrom":2}`, "settings.rules.coldFrom"},
		{`"azs":["a"]`, `"azs":["a"],"rules":{"cold":-1}`, "settings.rules.cold"},
		{`"azs":["a"]`, `"azs":["a"],"customers":[{"name":"x"},{"name":"x"}]`, "settings.customers[1].name"},
		{`"azs":["a"]`, `"azs":["a"],"familyInfo":{"keep":-1}`, "settings.familyInfo.keep"},
	} {
		bad := strings.Replace(configText, test.old, test.new, 1)
		if _, err := ParseConfig([]byte(bad)); !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), test.field) {
			t.Errorf("with %s: error %v, want ErrMalformed with the key %s", test.new, err, test.field)
		}
	}
	for length := range configText { // a file that has not been completely written
		if _, err := ParseConfig([]byte(configText[:length])); !errors.Is(err, ErrMalformed) {
			t.Fatalf("truncated to %d bytes: error %v, want ErrMalformed", length, err)
		}
	}
}

// TestParseConfig_OptionalPartsMissing_SetsDefaults verifies that missing values get the defaults of the platform's
// protocol rather than values chosen for a particular deployment.
func TestParseConfig_OptionalPartsMissing_SetsDefaults(t *testing.T) {
	required := configText
	for _, optional := range []string{`"azs":["a"],`, `"skus":["std"],`, `"onTime":500.0,`, `,"known":{"no":3,"items":[]}`} {
		if required = strings.Replace(required, optional, "", 1); !strings.Contains(configText, optional) {
			t.Fatalf("configText does not contain %s", optional)
		}
	}
	config, err := ParseConfig([]byte(required))
	if err != nil {
		t.Fatal(err)
	}
	s := config.Settings
	c := s.Scheduler
	if len(s.ZoneNames) != 1 || s.ZoneNames[0] != "" || len(s.WorkerKindNames) != 1 || s.WorkerKindNames[0] != "" || len(s.TenantNames) != 0 {
		t.Errorf("zones %q, kinds %q, tenants %q", s.ZoneNames, s.WorkerKindNames, s.TenantNames)
	}
	if s.MaxInFlight < 1<<30 || s.WorkerIdleTimeout < time.Hour || c.LoadOrderTimeout != 800*time.Millisecond || c.MaxAttempts != 1 ||
		c.OverloadWindow != 0 || c.MaxRetryAfter != 0 || c.LoadOrdersAllowed || c.ReportsNotLoaded || c.FrontEndCount != 1 ||
		c.Classes[0].LatencyObjective != 800*time.Millisecond || len(config.InitialEvents) != 0 {
		t.Errorf("settings %+v", s)
	}
}

func TestFirstDifference_OtherDeployment_ReturnsKey(t *testing.T) {
	config, err := ParseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, new, field string }{
		{`"127.0.0.2:2379"`, `"127.0.0.3:2379"`, ""},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"8c1f30d27a5be965"`, ""},
		{`"name":"n3"`, `"name":"n4"`, "name"},
		{`"name":"quote"`, `"name":"price"`, "settings.classes"},
		{`"azs":["a"]`, `"azs":["a","b"]`, "settings.azs"},
		{`"skus":["std"]`, `"skus":["big"]`, "settings.skus"},
		{`"azs":["a"]`, `"azs":["a"],"customers":[{"name":"x"}]`, "settings.customers"},
	} {
		other, err := ParseConfig([]byte(strings.Replace(configText, test.old, test.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if field := config.FirstDifference(other); field != test.field {
			t.Errorf("with %s: first difference %q, want %q", test.new, field, test.field)
		}
	}
}

func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(configText))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := ParseConfig(text); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}
