package platformconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
)

// Config is the configuration with which the platform starts a front end.
type Config struct {
	Name                  string
	ListenAddress         string // host:port that clients connect to
	Seed                  uint64
	Cores                 float64         // limit of the process
	MemoryMB              int             // limit of the process
	MaxDescriptors        int             // limit of the process's file descriptors
	EndpointStreamAddress string          // host:port of the endpoint stream
	InitialEvents         json.RawMessage // the endpoint stream's events up to the start; may be empty
	Settings              Settings
}

// maxConfigBytes bounds a configuration file.
const maxConfigBytes = 16 << 20

// Load reads the configuration file at path. An error about the content wraps ErrMalformed, any other is that of
// the file.
func Load(path string) (*Config, error) {
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
	return ParseConfig(text)
}

// ParseConfig reads a configuration, fills in the defaults of its settings and checks it. Every error wraps
// ErrMalformed and names the first key that is wrong.
func ParseConfig(text []byte) (*Config, error) {
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
	settings, err := ParseSettings(decoded.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings.setDefaults()
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Config{
		Name:                  decoded.Name,
		ListenAddress:         decoded.ListenAddress,
		Seed:                  seed,
		Cores:                 decoded.Limits.Cores,
		MemoryMB:              decoded.Limits.MemoryMB,
		MaxDescriptors:        decoded.Limits.Descriptors,
		EndpointStreamAddress: decoded.EndpointStreamAddress,
		InitialEvents:         decoded.InitialEvents,
		Settings:              settings,
	}, nil
}

// FirstDifference returns the first key by which other is the configuration of another deployment, or "" if there is none. The
// address of the endpoint stream may differ, as it may change while a front end runs, and so may all that is not
// compared here.
func (r *Config) FirstDifference(other *Config) string {
	for _, comparison := range []struct {
		key  string
		same bool
	}{
		{"name", r.Name == other.Name},
		{"settings.classes", slices.Equal(r.Settings.ClassNames, other.Settings.ClassNames)},
		{"settings.customers", slices.Equal(r.Settings.TenantNames, other.Settings.TenantNames)},
		{"settings.azs", slices.Equal(r.Settings.ZoneNames, other.Settings.ZoneNames)},
		{"settings.skus", slices.Equal(r.Settings.WorkerKinds, other.Settings.WorkerKinds)},
	} {
		if !comparison.same {
			return comparison.key
		}
	}
	return ""
}
