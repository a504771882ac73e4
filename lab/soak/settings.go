package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// Names of the only zone and of the only kind of worker.
const (
	zoneName = "room"
	kindName = "std"
)

// Resource limits in a front end's configuration.
const (
	memoryMB    = 192
	descriptors = 512 // sockets
)

// frontEndSettings holds the parts of the configuration that vary between front ends, runs or starts.
type frontEndSettings struct {
	index, count    int
	listen          string // address for clients
	discovery       string // address of the endpoint stream's server
	seed            uint64
	connectTimeout  time.Duration
	profile         profile
	hasHealthChecks bool           // the front end may send health checks
	known           knownEndpoints // the endpoint list at the start
}

// json returns the front end's configuration in the platform's format.
func (f frontEndSettings) json() ([]byte, error) {
	var classList []map[string]any
	for _, name := range classNames {
		class := classes[name]
		settings := map[string]any{
			"name": name, "deadline": millis(f.profile.deadline(name)), "onTime": millis(f.profile.deadline(name) / 2), "repeat": class.platformRule, "worth": 2.0,
		}
		if class.retryRule == retryWithKey {
			settings["keyScope"] = "cell"
			settings["memorySpan"] = millis(keyRetention)
		}
		classList = append(classList, settings)
	}
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", f.index), "listen": f.listen, "seed": fmt.Sprintf("%016x", f.seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors},
		"bulletin": f.discovery,
		"known":    f.known,
		"settings": map[string]any{
			"balancers": f.count, "ordinal": f.index, "zone": 0, "registryMode": "push", "resolution": 2.0,
			"azs": []string{zoneName}, "skus": []string{kindName},
			"limits": map[string]any{
				"streamsPerConn": 32, "connectTimeout": millis(f.connectTimeout), "connIdle": 2000.0, "maxAttempts": maxAttempts,
				"mayCancel": true, "probes": f.hasHealthChecks, "retryAfter": true, "maxRetryAfter": 300.0,
			},
			"rules":      map[string]any{"stopSendingWithin": millis(drainGrace), "cold": 3000.0, "coldFrom": 0.3, "fall": 1000.0, "tipMultiple": 4.0},
			"familyInfo": map[string]any{"keep": 4000.0, "mayLoad": true, "loadWait": 2000.0, "whenAbsent": "load"},
			"classes":    classList,
		},
	})
}

// millis returns a duration in milliseconds, the unit of the platform's configuration.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// knownEndpoints is the part of the configuration with the endpoints known at the start, as one event with the whole
// list.
type knownEndpoints struct {
	LastNumber uint64       `json:"no"`
	Events     []knownEvent `json:"items"`
}

type knownEvent struct {
	Number uint64    `json:"no"`
	List   knownList `json:"roster"`
}

type knownList struct {
	Sequence int         `json:"seq"`
	Whole    bool        `json:"whole"`
	Hosts    []knownHost `json:"hosts"`
}

type knownHost struct {
	Name    string  `json:"host"`
	Address string  `json:"dial"`
	Zone    string  `json:"site"`
	Kind    string  `json:"class"`
	Cell    int     `json:"block"`
	State   string  `json:"health"`
	Weight  float64 `json:"share"`
	Started int64   `json:"born_ms"`
}
