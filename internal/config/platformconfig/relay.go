package platformconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"time"
)

// Relay is what a front end on the users' platform is told at its start.
type Relay struct {
	Name, Listen string
	Seed         uint64
	Cores        float64
	MemoryMB     int
	Sockets      int // descriptors of the process
	Bulletin     string
	Known        json.RawMessage // the bulletin's events of the start
	Site         Site
}

type relay struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores   float64 `json:"cores"`
		Memory  int     `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// maxRelay bounds a configuration file.
const maxRelay = 16 << 20

// LoadRelay reads the configuration file at path.
func LoadRelay(path string) (*Relay, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxRelay {
		return nil, fmt.Errorf("%w: configuration of %d bytes", ErrMalformed, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseRelay(text)
}

// ParseRelay reads a configuration. The error about a wrong one names the first field that is wrong.
func ParseRelay(text []byte) (*Relay, error) {
	var in relay
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("%w: configuration: %w", ErrMalformed, err)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, wrong("seed", strconv.Quote(in.Seed), "16 hex digits")
	}
	for _, a := range []struct{ field, address string }{{"listen", in.Listen}, {"bulletin", in.Bulletin}} {
		if host, port, err := net.SplitHostPort(a.address); err != nil || host == "" || port == "" {
			return nil, wrong(a.field, strconv.Quote(a.address), "host:port")
		}
	}
	switch {
	case !(in.Limits.Cores > 0):
		return nil, wrong("limits.cores", in.Limits.Cores, "above 0")
	case in.Limits.Memory <= 0:
		return nil, wrong("limits.memory_mb", in.Limits.Memory, "above 0")
	case in.Limits.Sockets <= 0:
		return nil, wrong("limits.sockets", in.Limits.Sockets, "above 0")
	}
	site, err := Parse(in.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	site.fill()
	if err := site.check(); err != nil {
		return nil, err
	}
	return &Relay{Name: in.Name, Listen: in.Listen, Seed: seed, Cores: in.Limits.Cores, MemoryMB: in.Limits.Memory,
		Sockets: in.Limits.Sockets, Bulletin: in.Bulletin, Known: in.Known, Site: site}, nil
}

func wrong(field string, got any, wanted string) error {
	return fmt.Errorf("%w: %s is %v; it is to be %s", ErrMalformed, field, got, wanted)
}

// fill gives optional parts that are not told the meaning that the protocol has without them.
func (s *Site) fill() {
	c := &s.Control
	if len(s.Zones) == 0 {
		s.Zones = []string{""} // one place, without a name
	}
	if len(s.Kinds) == 0 {
		s.Kinds = []string{""}
	}
	if s.MaxCalls == 0 {
		s.MaxCalls = math.MaxInt // no bound but our own
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = math.MaxInt64 // workers keep idle connections
	}
	if c.LoadOrderTimeout == 0 {
		c.LoadOrderTimeout = s.Longest() // an order speaks for no call that is not over by then
	}
	if c.OverloadFactor == 0 {
		c.OverloadWindow = 0 // cold workers do not fall
	}
	c.MaxAttempts = max(1, c.MaxAttempts)
	for i := range c.Classes {
		if c.Classes[i].LatencyObjective == 0 {
			c.Classes[i].LatencyObjective = c.Classes[i].Timeout
		}
	}
}

// check says which field is the first that is wrong.
func (s *Site) check() error {
	c := &s.Control
	if len(s.Classes) == 0 {
		return wrong("settings.classes", "empty", "one class at least")
	}
	for i, class := range c.Classes {
		at := fmt.Sprintf("settings.classes[%d].", i)
		switch {
		case s.Classes[i] == "" || slices.Index(s.Classes, s.Classes[i]) < i:
			return wrong(at+"name", strconv.Quote(s.Classes[i]), "a name of its own")
		case class.Timeout <= 0:
			return wrong(at+"deadline", class.Timeout, "above 0")
		case class.LatencyObjective < 0:
			return wrong(at+"onTime", class.LatencyObjective, "0 or more")
		case class.KeyRetention < 0:
			return wrong(at+"memorySpan", class.KeyRetention, "0 or more")
		case class.PriorityWeight < 0:
			return wrong(at+"worth", class.PriorityWeight, "0 or more")
		}
	}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("settings.customers[%d].", i)
		switch {
		case s.Tenants[i] == "" || slices.Index(s.Tenants, s.Tenants[i]) < i:
			return wrong(at+"name", strconv.Quote(s.Tenants[i]), "a name of its own")
		case t.Share < 0:
			return wrong(at+"portion", t.Share, "0 or more")
		}
	}
	for _, f := range []struct {
		field  string
		good   bool
		got    any
		wanted string
	}{
		{"settings.zone", c.Zone >= 0 && c.Zone < len(s.Zones), c.Zone, "a place in settings.azs"},
		{"settings.resolution", c.Resolution >= 0, c.Resolution, "0 or more"},
		{"settings.limits.streamsPerConn", s.Streams > 0, s.Streams, "above 0"},
		{"settings.limits.connectTimeout", c.ConnectTimeout > 0, c.ConnectTimeout, "above 0"},
		{"settings.limits.connIdle", s.ConnIdle > 0, s.ConnIdle, "0 or more"},
		{"settings.limits.openCap", s.MaxCalls > 0, s.MaxCalls, "0 or more"},
		{"settings.limits.maxRetryAfter", c.MaxRetryAfter >= 0, c.MaxRetryAfter, "0 or more"},
		{"settings.familyInfo.keep", c.ReplicaIdleTimeout >= 0, c.ReplicaIdleTimeout, "0 or more"},
		{"settings.familyInfo.loadWait", c.LoadOrderTimeout > 0, c.LoadOrderTimeout, "0 or more"},
		{"settings.familyInfo.loadPeriod", c.LoadRateWindow >= 0, c.LoadRateWindow, "0 or more"},
		{"settings.rules.stopSendingWithin", c.DrainGrace >= 0, c.DrainGrace, "0 or more"},
		{"settings.rules.cold", c.SlowStartDuration >= 0, c.SlowStartDuration, "0 or more"},
		{"settings.rules.coldFrom", c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1, c.SlowStartFraction, "from 0 to 1"},
		{"settings.rules.fall", c.OverloadWindow >= 0, c.OverloadWindow, "0 or more"},
		{"settings.rules.tipMultiple", c.OverloadFactor >= 0, c.OverloadFactor, "0 or more"},
	} {
		if !f.good {
			return wrong(f.field, f.got, f.wanted)
		}
	}
	return nil
}

// Differs names the first part by which other tells of another deployment than this front end runs in: only the
// bulletin's address may change while it runs. It is empty where there is none.
func (r *Relay) Differs(other *Relay) string {
	for _, f := range []struct {
		field string
		same  bool
	}{
		{"name", r.Name == other.Name},
		{"settings.classes", slices.Equal(r.Site.Classes, other.Site.Classes)},
		{"settings.customers", slices.Equal(r.Site.Tenants, other.Site.Tenants)},
		{"settings.azs", slices.Equal(r.Site.Zones, other.Site.Zones)},
		{"settings.skus", slices.Equal(r.Site.Kinds, other.Site.Kinds)},
	} {
		if !f.same {
			return f.field
		}
	}
	return ""
}

// Longest is the longest that a client waits.
func (s Site) Longest() (most time.Duration) {
	for _, c := range s.Control.Classes {
		most = max(most, c.Timeout)
	}
	return most
}
