package main

import (
	"encoding/json"
	"testing"

	"havencart/internal/platform/endpointstream"
)

// platformSettings holds the parts of a front end's platform configuration that differ between the tests. The keys of
// the maps are the platform's.
type platformSettings struct {
	discovery string // address of discovery
	frontEnds int    // number of front ends
	index     int    // number of this front end, starting at 0
	workers   []endpointstream.Entry
	limits    map[string]any // additional limits
	rules     map[string]any
	classes   []map[string]any
}

// json returns the configuration file. The first event in it is the endpoint list.
func (s platformSettings) json(t *testing.T) string {
	t.Helper()
	limits := map[string]any{
		"streamsPerConn": 32, "connectTimeout": 250.0, "connIdle": 30000.0, "maxAttempts": 5, "mayCancel": true, "retryAfter": true,
		"maxRetryAfter": 500.0,
	}
	for key, value := range s.limits {
		limits[key] = value
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bulletin": s.discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 576},
		"known":  map[string]any{"no": 1, "items": []any{s.firstEvent()}},
		"settings": map[string]any{
			"balancers": s.frontEnds, "ordinal": s.index, "azs": []string{"room"}, "skus": []string{"std"}, "resolution": 2.0,
			"weights": "rough", "limits": limits, "rules": s.rules, "classes": s.classes,
			"familyInfo": map[string]any{"keep": 8000.0, "mayLoad": true, "loadWait": 2000.0, "whenAbsent": "load"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(config)
}

// firstEvent returns the event with the full endpoint list, in which all workers are ready.
func (s platformSettings) firstEvent() map[string]any {
	var hosts []map[string]any
	for _, worker := range s.workers {
		hosts = append(hosts, map[string]any{
			"host": worker.Name(), "dial": worker.Address.String(), "site": "room", "class": "std", "block": worker.Cell,
			"health": "up", "share": worker.Weight, "born_ms": 0,
		})
	}
	return map[string]any{"no": 1, "roster": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}
}
