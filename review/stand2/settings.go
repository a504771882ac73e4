//go:build review

package main

// class describes a class of the settings.
type class struct {
	name     string
	effect   string // retryable, dedup or fragile
	scope    string // for dedup
	deadline float64
	onTime   float64
	span     float64
	worth    float64
}

// settings returns the settings of a small deployment with one zone and one kind of executor. change may change the
// limits, rules and familyInfo.
func settings(classes []class, change func(limits, rules, family map[string]any)) map[string]any {
	limits := map[string]any{
		"streamsPerConn": 32, "connectTimeout": 250.0, "connIdle": 30000.0, "maxAttempts": 5, "openCap": 20000,
		"mayCancel": true, "probes": true, "retryAfter": true, "maxRetryAfter": 500.0, "secondCopies": true, "peers": false,
	}
	rules := map[string]any{
		"stopSendingWithin": 500.0, "cold": 17000.0, "coldFrom": 0.2, "fall": 2000.0, "tipMultiple": 2.0,
		"graceToAnswer": 8.0, "askEvery": 10000.0,
	}
	family := map[string]any{
		"keep": 8600.0, "mayLoad": true, "loadWait": 10000.0, "whenAbsent": "load", "notesPeersInHand": true,
		"warmNotes": false, "memoryMbByKind": []float64{13632}, "freeLoads": 0.0, "loadPart": 0.0, "loadPeriod": 0.0,
	}
	if change != nil {
		change(limits, rules, family)
	}
	list := []any{}
	for _, c := range classes {
		entry := map[string]any{
			"name": c.name, "deadline": c.deadline, "onTime": c.onTime, "repeat": c.effect, "worth": c.worth,
			"lateWorth": 0.3, "stream": false, "keyScope": "all", "memorySpan": 5000.0,
		}
		if c.scope != "" {
			entry["keyScope"], entry["memorySpan"] = c.scope, c.span
		}
		list = append(list, entry)
	}
	return map[string]any{
		"balancers": 1, "ordinal": 0, "zone": 0, "registryMode": "push", "resolution": 2.0, "weights": "rough",
		"azs": []string{"room"}, "skus": []string{"std"}, "limits": limits, "rules": rules, "familyInfo": family,
		"loadReport": map[string]any{"fields": []string{"queue"}, "how": "piggyback"}, "classes": list,
		"clientHabits": map[string]any{"marksRetry": true}, "worthBy": "request", "domainType": "warm",
	}
}
