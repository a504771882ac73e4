//go:build review

package kit

// The settings of the deployments, in the form of the simulator's first message, with figures inside the ranges of their
// site files.

// HarbourFerriesZones are the zones of harbour-ferries.
var HarbourFerriesZones = []string{"north-quay", "middle-quay", "south-quay"}

// HarbourFerries returns the settings of deploy/sites/harbour-ferries for the front end with that ordinal.
func HarbourFerries(ordinal, zone, balancers int) map[string]any {
	return map[string]any{
		"azs": HarbourFerriesZones, "balancers": balancers, "ordinal": ordinal, "zone": zone, "layer": 0,
		"classes": []any{
			class("timetable", 4000, 900, "retryable", "all", 5000, 1),
			class("hold-seat", 2500, 700, "dedup", "zone", 3000, 3),
			class("notice", 5000, 1500, "dedup", "cell", 4000, 1),
			class("board", 2000, 600, "fragile", "all", 5000, 8),
		},
		"clientHabits": map[string]any{"marksRetry": true},
		"customers": []any{
			map[string]any{"name": "islands", "portion": 0.5, "quotaPerS": 90.0},
			map[string]any{"name": "coast", "portion": 0.3, "quotaPerS": 54.0},
			map[string]any{"name": "charter", "portion": 0.2, "quotaPerS": 36.0},
		},
		"domainType": "warm",
		"familyInfo": map[string]any{
			"freeLoads": 4.0, "loadPart": 0.3, "loadPeriod": 5000.0, "keep": 11000.0, "loadWait": 10000.0, "mayLoad": true,
			"memoryMbByKind": []any{13632.0, 6816.0}, "memoryPrice": 0.05, "notesPeersInHand": false, "warmNotes": false,
			"whenAbsent": "miss",
		},
		"limits": map[string]any{
			"connIdle": 8000.0, "connectTimeout": 400.0, "maxAttempts": 3, "maxRetryAfter": 800.0, "mayCancel": true,
			"openCap": 20000, "peers": false, "probes": true, "retryAfter": false, "secondCopies": false, "streamsPerConn": 4,
		},
		"loadReport": map[string]any{"fields": []any{"queue"}, "how": "silent"},
		"rules": map[string]any{
			"askEvery": 10000.0, "cold": 10000.0, "coldFrom": 0.3, "fall": 1500.0, "graceToAnswer": 8.0,
			"stopSendingWithin": 750.0, "tipMultiple": 2.5,
		},
		"registryMode": "push", "resolution": 3.0, "skus": []any{"shed-4c", "shed-2c"}, "stages": []any{"sheds"},
		"weights": "silent", "worthBy": "request", "overShareWorth": 0.2,
	}
}

// SicilyRidesZones are the zones of sicily-rides.
var SicilyRidesZones = []string{"catania-room"}

// SicilyRides returns the settings of sicily-rides for the front end with that ordinal.
func SicilyRides(ordinal, balancers int) map[string]any {
	return map[string]any{
		"azs": SicilyRidesZones, "balancers": balancers, "ordinal": ordinal, "zone": 0, "layer": 0,
		"classes": []any{
			class("fare-quote", 3000, 800, "retryable", "all", 5000, 2),
			class("status-log", 3000, 1500, "dedup", "cell", 6000, 2),
			class("unlock-charge", 2000, 500, "fragile", "all", 5000, 6),
		},
		"clientHabits": map[string]any{"marksRetry": true},
		"customers": []any{
			map[string]any{"name": "palermo", "portion": 0.82, "quotaPerS": 1310.0},
			map[string]any{"name": "catania", "portion": 0.18, "quotaPerS": 290.0},
		},
		"domainType": "warm",
		"familyInfo": map[string]any{
			"freeLoads": 0.0, "loadPart": 0.0, "loadPeriod": 0.0, "keep": 12000.0, "loadWait": 10000.0, "mayLoad": true,
			"memoryMbByKind": []any{13632.0}, "memoryPrice": 0.0, "notesPeersInHand": true, "warmNotes": false,
			"whenAbsent": "load",
		},
		"limits": map[string]any{
			"connIdle": 30000.0, "connectTimeout": 250.0, "maxAttempts": 5, "maxRetryAfter": 500.0, "mayCancel": true,
			"openCap": 20000, "peers": false, "probes": true, "retryAfter": true, "secondCopies": true, "streamsPerConn": 32,
		},
		"loadReport": map[string]any{"fields": []any{"queue"}, "how": "piggyback"},
		"rules": map[string]any{
			"askEvery": 10000.0, "cold": 17000.0, "coldFrom": 0.2, "fall": 2000.0, "graceToAnswer": 8.0,
			"stopSendingWithin": 500.0, "tipMultiple": 2.0,
		},
		"registryMode": "push", "resolution": 2.0, "skus": []any{"quad-std"}, "stages": []any{"handler-workers"},
		"weights": "rough", "worthBy": "request", "overShareWorth": 0.1,
	}
}

func class(name string, deadline, onTime float64, repeat, scope string, span, worth float64) map[string]any {
	return map[string]any{
		"name": name, "deadline": deadline, "onTime": onTime, "repeat": repeat, "keyScope": scope, "memorySpan": span,
		"worth": worth, "lateWorth": 0.3, "stream": false,
	}
}
