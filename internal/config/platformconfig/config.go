package platformconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
)

// Config is the configuration with which the platform starts a front end.
type Relay struct {
	Name     string
	Listen   string // host:port that clients connect to
	Seed     uint64
	Cores    float64         // limit of the process
	MemoryMB int             // limit of the process
	Sockets  int             // limit of the process's file descriptors
	Bulletin string          // host:port of the endpoint stream
	Known    json.RawMessage // the endpoint stream's events up to the start; may be empty
	Site     Site
}

// maxConfigBytes bounds a configuration file.
const maxConfigBytes = 16 << 20

// Load reads the configuration file at path. An error about the content wraps ErrMalformed, any other is that of
// the file.
func LoadRelay(path string) (*Relay, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%w: configuration of %d bytes", ErrMalformed, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseRelay(text)
}

// ParseConfig reads a configuration, fills in the defaults of its settings and checks it. Every error wraps
// ErrMalformed and names the first key that is wrong.
func ParseRelay(text []byte) (*Relay, error) {
	var decoded configJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("%w: configuration: %w", ErrMalformed, err)
	}
	seed, err := strconv.ParseUint(decoded.Seed, 16, 64)
	if err != nil {
		return nil, invalidField("seed", strconv.Quote(decoded.Seed), "16 hex digits")
	}
	if err := decoded.validate(); err != nil {
		return nil, err
	}
	settings, err := Parse(decoded.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings.setDefaults()
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Relay{
		Name:     decoded.Name,
		Listen:   decoded.ListenAddress,
		Seed:     seed,
		Cores:    decoded.Limits.Cores,
		MemoryMB: decoded.Limits.MemoryMB,
		Sockets:  decoded.Limits.Descriptors,
		Bulletin: decoded.EndpointStreamAddress,
		Known:    decoded.InitialEvents,
		Site:     settings,
	}, nil
}

// FirstDifference returns the first key by which other is the configuration of another deployment, or "" if there is none. The
// address of the endpoint stream may differ, as it may change while a front end runs, and so may all that is not
// compared here.
func (r *Relay) Differs(other *Relay) string {
	for _, comparison := range []struct {
		key  string
		same bool
	}{
		{"name", r.Name == other.Name},
		{"settings.classes", slices.Equal(r.Site.Classes, other.Site.Classes)},
		{"settings.customers", slices.Equal(r.Site.Tenants, other.Site.Tenants)},
		{"settings.azs", slices.Equal(r.Site.Zones, other.Site.Zones)},
		{"settings.skus", slices.Equal(r.Site.Kinds, other.Site.Kinds)},
	} {
		if !comparison.same {
			return comparison.key
		}
	}
	return ""
}
