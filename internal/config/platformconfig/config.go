package platformconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
)

// Config is the configuration that the platform passes to a front end at its start.
type Config struct {
	Name                  string
	ListenAddress         string // host:port that clients connect to
	Seed                  uint64
	Cores                 float64         // CPU limit of the process in cores
	MemoryMB              int             // memory limit of the process in megabytes
	MaxDescriptors        int             // limit of open file descriptors of the process
	EndpointStreamAddress string          // host:port of the endpoint stream
	InitialEvents         json.RawMessage // events of the endpoint stream up to the start; may be empty
	Settings              Settings
}

// maxConfigBytes is the largest accepted size of a configuration file.
const maxConfigBytes = 16 << 20

// Load reads the configuration file at path. An error about the content of the file wraps ErrMalformed; an error of
// reading the file is returned with context.
func Load(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%w: configuration file of %d bytes is too large", ErrMalformed, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseConfig(text)
}

// ParseConfig parses a configuration, sets the defaults of its settings and validates it. Every error wraps
// ErrMalformed and, unless the JSON itself is malformed, names the first invalid key.
func ParseConfig(text []byte) (*Config, error) {
	var decoded configJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("%w: configuration: %w", ErrMalformed, err)
	}
	seed, err := strconv.ParseUint(decoded.Seed, 16, 64)
	if err != nil {
		return nil, invalidField("seed", strconv.Quote(decoded.Seed), "16 hexadecimal digits")
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

// FirstDifference returns the first key whose value shows that other belongs to another deployment, or "" if there is
// no such key. The address of the endpoint stream may differ, because it may change while a front end runs. Any other
// value that is not compared here may differ as well.
func (c *Config) FirstDifference(other *Config) string {
	for _, comparison := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"settings.classes", slices.Equal(c.Settings.ClassNames, other.Settings.ClassNames)},
		{"settings.customers", slices.Equal(c.Settings.TenantNames, other.Settings.TenantNames)},
		{"settings.azs", slices.Equal(c.Settings.ZoneNames, other.Settings.ZoneNames)},
		{"settings.skus", slices.Equal(c.Settings.WorkerKindNames, other.Settings.WorkerKindNames)},
	} {
		if !comparison.same {
			return comparison.key
		}
	}
	return ""
}
