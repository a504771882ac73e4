package workerframe

import "testing"

func TestFields_String_UsesPlatformFieldNames(t *testing.T) {
	for name, test := range map[string]struct{ got, want string }{
		"request with idempotency key": {
			RequestFields{Class: "fare", Function: "f1", TimeoutMillis: 1500, IdempotencyKey: "k1"}.String(),
			"lane=fare,name=f1,ttl=1500,dedupe=k1",
		},
		"request without idempotency key": {
			RequestFields{Class: "fare", Function: "f1", TimeoutMillis: 1}.String(),
			"lane=fare,name=f1,ttl=1",
		},
		"load order":      {LoadFields{Function: "f1", Replicas: 2}.String(), "name=f1,replicas=2"},
		"residency query": {LoadFields{Function: "f1"}.String(), "name=f1,replicas=0"},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %q, want %q", name, test.got, test.want)
		}
	}
}

func TestParseResponseFields(t *testing.T) {
	names := []string{"queue"}
	got, err := ParseResponseFields("peers_in=3,replicas=2,rep=queue:7", names)
	if err != nil || got.QueueDepth != 3 || got.Replicas != 2 || len(got.LoadReport) != 1 || got.LoadReport[0] != 7 {
		t.Errorf("all fields: got %+v, error %v", got, err)
	}
	if got, err = ParseResponseFields("", names); err != nil || got.QueueDepth != 0 || got.Replicas != 0 || got.LoadReport != nil {
		t.Errorf("no fields: got %+v, error %v", got, err)
	}
	if got, err = ParseResponseFields("rep=queue:x", nil); err != nil || got.LoadReport != nil {
		t.Errorf("load report without expected names: got %+v, error %v; want no load report and no error", got, err)
	}
	for _, malformed := range []string{"peers_in=x", "replicas=-1", "rep=queue:x", "rep=queue:NaN"} {
		if _, err := ParseResponseFields(malformed, names); err == nil {
			t.Errorf("malformed fields %q were accepted", malformed)
		}
	}
}
