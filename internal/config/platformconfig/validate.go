package platformconfig

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
)

// invalidField returns the error for a key with an invalid value.
func invalidField(key string, got any, allowed string) error {
	return fmt.Errorf("%w: %s is %v; it must be %s", ErrMalformed, key, got, allowed)
}

// fieldCheck is the result of checking the value of one key.
type fieldCheck struct {
	key     string
	valid   bool
	got     any
	allowed string
}

// firstInvalid returns the error for the first invalid key, or nil if all keys are valid.
func firstInvalid(checks []fieldCheck) error {
	for _, check := range checks {
		if !check.valid {
			return invalidField(check.key, check.got, check.allowed)
		}
	}
	return nil
}

// Descriptions of the allowed values, for errors.
const (
	aboveZero  = "greater than 0"
	zeroOrMore = "0 or more"
	hostPort   = "host:port"
	uniqueName = "a unique, non-empty name"
)

// validate checks the values of a configuration other than its seed and settings.
func (c *configJSON) validate() error {
	return firstInvalid([]fieldCheck{
		{"listen", isHostPort(c.ListenAddress), strconv.Quote(c.ListenAddress), hostPort},
		{"bulletin", isHostPort(c.EndpointStreamAddress), strconv.Quote(c.EndpointStreamAddress), hostPort},
		{"limits.cores", c.Limits.Cores > 0, c.Limits.Cores, aboveZero},
		{"limits.memory_mb", c.Limits.MemoryMB > 0, c.Limits.MemoryMB, aboveZero},
		{"limits.sockets", c.Limits.Descriptors > 0, c.Limits.Descriptors, aboveZero},
	})
}

// isHostPort reports whether address has a non-empty host and a non-empty port.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	return host != "" && port != ""
}

// setDefaults sets optional values that are missing to the defaults of the platform's protocol.
func (s *Settings) setDefaults() {
	if len(s.ZoneNames) == 0 {
		s.ZoneNames = []string{""} // one unnamed zone
	}
	if len(s.WorkerKindNames) == 0 {
		s.WorkerKindNames = []string{""}
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = math.MaxInt // only the front end's own limit applies
	}
	if s.WorkerIdleTimeout == 0 {
		s.WorkerIdleTimeout = math.MaxInt64 // workers do not close idle connections
	}
	settings := &s.Scheduler
	if settings.LoadOrderTimeout == 0 {
		settings.LoadOrderTimeout = s.MaxTimeout() // every request that waits for the load has ended by then
	}
	if settings.OverloadFactor == 0 {
		settings.OverloadWindow = 0 // workers in slow start do not fail from overload
	}
	settings.MaxAttempts = max(1, settings.MaxAttempts)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.LatencyObjective == 0 {
			class.LatencyObjective = class.Timeout
		}
	}
}

// validate returns the error for the first key with an invalid value, or nil if all values are valid.
func (s *Settings) validate() error {
	if err := s.validateClasses(); err != nil {
		return err
	}
	if err := s.validateTenants(); err != nil {
		return err
	}
	settings := &s.Scheduler
	hasZone := settings.Zone >= 0 && settings.Zone < len(s.ZoneNames)
	isFraction := settings.SlowStartFraction >= 0 && settings.SlowStartFraction <= 1
	return firstInvalid([]fieldCheck{
		{"settings.zone", hasZone, settings.Zone, "an index into settings.azs"},
		{"settings.resolution", settings.Resolution >= 0, settings.Resolution, zeroOrMore},
		{"settings.limits.streamsPerConn", s.StreamsPerConnection > 0, s.StreamsPerConnection, aboveZero},
		{"settings.limits.connectTimeout", settings.ConnectTimeout > 0, settings.ConnectTimeout, aboveZero},
		{"settings.limits.connIdle", s.WorkerIdleTimeout > 0, s.WorkerIdleTimeout, zeroOrMore},
		{"settings.limits.openCap", s.MaxInFlight > 0, s.MaxInFlight, zeroOrMore},
		{"settings.limits.maxRetryAfter", settings.MaxRetryAfter >= 0, settings.MaxRetryAfter, zeroOrMore},
		{"settings.familyInfo.keep", settings.ReplicaIdleTimeout >= 0, settings.ReplicaIdleTimeout, zeroOrMore},
		{"settings.familyInfo.loadWait", settings.LoadOrderTimeout > 0, settings.LoadOrderTimeout, zeroOrMore},
		{"settings.familyInfo.loadPeriod", settings.LoadRateWindow >= 0, settings.LoadRateWindow, zeroOrMore},
		{"settings.rules.stopSendingWithin", settings.DrainGrace >= 0, settings.DrainGrace, zeroOrMore},
		{"settings.rules.cold", settings.SlowStartDuration >= 0, settings.SlowStartDuration, zeroOrMore},
		{"settings.rules.coldFrom", isFraction, settings.SlowStartFraction, "from 0 to 1"},
		{"settings.rules.fall", settings.OverloadWindow >= 0, settings.OverloadWindow, zeroOrMore},
		{"settings.rules.tipMultiple", settings.OverloadFactor >= 0, settings.OverloadFactor, zeroOrMore},
	})
}

func (s *Settings) validateClasses() error {
	if len(s.ClassNames) == 0 {
		return invalidField("settings.classes", "empty", "a list of at least one class")
	}
	for i, class := range s.Scheduler.Classes {
		prefix := fmt.Sprintf("settings.classes[%d].", i)
		err := firstInvalid([]fieldCheck{
			{prefix + "name", isUnique(s.ClassNames, i), strconv.Quote(s.ClassNames[i]), uniqueName},
			{prefix + "deadline", class.Timeout > 0, class.Timeout, aboveZero},
			{prefix + "onTime", class.LatencyObjective >= 0, class.LatencyObjective, zeroOrMore},
			{prefix + "memorySpan", class.KeyRetention >= 0, class.KeyRetention, zeroOrMore},
			{prefix + "worth", class.PriorityWeight >= 0, class.PriorityWeight, zeroOrMore},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateTenants() error {
	for i, tenant := range s.Scheduler.Tenants {
		prefix := fmt.Sprintf("settings.customers[%d].", i)
		err := firstInvalid([]fieldCheck{
			{prefix + "name", isUnique(s.TenantNames, i), strconv.Quote(s.TenantNames[i]), uniqueName},
			{prefix + "portion", tenant.Share >= 0, tenant.Share, zeroOrMore},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// isUnique reports whether names[i] is not empty and differs from all names before it.
func isUnique(names []string, i int) bool {
	return names[i] != "" && slices.Index(names, names[i]) == i
}
