package workerframe

import (
	"fmt"
	"strconv"
	"strings"
)

// The platform's names of fields.
const (
	fieldClass          = "lane"
	fieldFunction       = "name"
	fieldTimeout        = "ttl"
	fieldIdempotencyKey = "dedupe"
	fieldReplicas       = "replicas"
	fieldQueueDepth     = "peers_in"
	fieldLoadReport     = "rep"
)

// RequestFields are the fields of a Request.
type RequestFields struct {
	Class          string
	Function       string
	TimeoutMillis  int64  // milliseconds from now after which nobody waits for the response
	IdempotencyKey string // left out if empty
}

// String returns the fields as a frame has them.
func (f RequestFields) String() string {
	text := fieldClass + "=" + f.Class +
		"," + fieldFunction + "=" + f.Function +
		"," + fieldTimeout + "=" + strconv.FormatInt(f.TimeoutMillis, 10)
	if f.IdempotencyKey != "" {
		text += "," + fieldIdempotencyKey + "=" + f.IdempotencyKey
	}
	return text
}

// LoadFields are the fields of a Load.
type LoadFields struct {
	Function string
	Replicas int // to hold at least; 0 makes it a residency query
}

// String returns the fields as a frame has them.
func (f LoadFields) String() string {
	return fieldFunction + "=" + f.Function + "," + fieldReplicas + "=" + strconv.Itoa(f.Replicas)
}

// ResponseFields are the fields of a worker's responses.
type ResponseFields struct {
	QueueDepth int       // requests of the function that the worker held on arrival
	Replicas   int       // of the function that are loaded
	LoadReport []float64 // nil if there is none
}

// ParseResponseFields reads the fields of a worker's response. Numbers that are missing are 0. The load report has its
// values in the order of loadReportNames and is not read if there are no names.
func ParseResponseFields(fields string, loadReportNames []string) (ResponseFields, error) {
	queueDepth, err := Count(fields, fieldQueueDepth, 0)
	if err != nil {
		return ResponseFields{}, err
	}
	replicas, err := Count(fields, fieldReplicas, 0)
	if err != nil {
		return ResponseFields{}, err
	}
	parsed := ResponseFields{QueueDepth: queueDepth, Replicas: replicas}
	report, found := Field(fields, fieldLoadReport)
	if !found || len(loadReportNames) == 0 {
		return parsed, nil
	}
	if parsed.LoadReport, err = ParseLoadReport(report, loadReportNames); err != nil {
		return ResponseFields{}, err
	}
	return parsed, nil
}

// Field returns the value of the first field with a name, and whether there is one.
func Field(fields, name string) (value string, found bool) {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, found := strings.Cut(pair, "="); found && n == name {
			return value, true
		}
	}
	return "", false
}

// Count returns the number that a field holds, or absent if there is no such field.
func Count(fields, name string, defaultValue int) (int, error) {
	text, found := Field(fields, name)
	if !found {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: %s is %q", ErrMalformed, name, text)
	}
	return int(n), nil
}

// maxLoadReportValue is what each value of a load report must be below.
const maxLoadReportValue = 1e12

// ParseLoadReport reads a load report such as inflight:7;util:0.61. It returns the values in the order of names; one that
// the report lacks is 0.
func ParseLoadReport(report string, names []string) ([]float64, error) {
	values := make([]float64, len(names))
	for pair := range strings.SplitSeq(report, ";") {
		name, text, _ := strings.Cut(pair, ":")
		for i := range names {
			if names[i] != name {
				continue
			}
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || !isLoadReportValue(value) {
				return nil, fmt.Errorf("%w: report %q", ErrMalformed, report)
			}
			values[i] = value
		}
	}
	return values, nil
}

// isLoadReportValue tells whether a value is in range; NaN is not.
func isLoadReportValue(value float64) bool { return value >= 0 && value < maxLoadReportValue }
