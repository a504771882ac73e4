package workerframe

import (
	"fmt"
	"strconv"
	"strings"
)

// Field names that the platform defines.
const (
	fieldClass          = "lane"
	fieldFunction       = "name"
	fieldTimeout        = "ttl"
	fieldIdempotencyKey = "dedupe"
	fieldReplicas       = "replicas"
	fieldQueueDepth     = "peers_in"
	fieldLoadReport     = "rep"
)

// RequestFields are the fields of a Request frame.
type RequestFields struct {
	Class          string
	Function       string
	TimeoutMillis  int64  // remaining time, in milliseconds, for which the client waits for the response
	IdempotencyKey string // omitted from the frame if empty
}

// String returns the fields in the format of Frame.Fields.
func (f RequestFields) String() string {
	text := fieldClass + "=" + f.Class +
		"," + fieldFunction + "=" + f.Function +
		"," + fieldTimeout + "=" + strconv.FormatInt(f.TimeoutMillis, 10)
	if f.IdempotencyKey != "" {
		text += "," + fieldIdempotencyKey + "=" + f.IdempotencyKey
	}
	return text
}

// LoadFields are the fields of a Load frame.
type LoadFields struct {
	Function string
	Replicas int // minimum number of replicas to keep loaded; 0 makes the frame a residency query
}

// String returns the fields in the format of Frame.Fields.
func (f LoadFields) String() string {
	return fieldFunction + "=" + f.Function + "," + fieldReplicas + "=" + strconv.Itoa(f.Replicas)
}

// ResponseFields are the fields of a worker's response.
type ResponseFields struct {
	QueueDepth int       // requests for the function that the worker held when this request arrived
	Replicas   int       // loaded replicas of the function
	LoadReport []float64 // nil if the response has none or it was not parsed
}

// ParseResponseFields parses the fields of a worker's response. Missing numbers are 0. The values of the load report
// are returned in the order of loadReportNames; if loadReportNames is empty, the load report is not parsed.
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

// Field returns the value of the first field with the given name and reports whether such a field exists.
func Field(fields, name string) (value string, found bool) {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, found := strings.Cut(pair, "="); found && n == name {
			return value, true
		}
	}
	return "", false
}

// Count returns the value of a field that holds a non-negative integer, or defaultValue if there is no such field.
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

// maxLoadReportValue is the exclusive upper bound of the values in a load report.
const maxLoadReportValue = 1e12

// ParseLoadReport parses a load report such as inflight:7;util:0.61. It returns the values in the order of names; the
// value of a name that is missing from the report is 0.
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

// isLoadReportValue reports whether the value is within the bounds of a load report. NaN is not.
func isLoadReportValue(value float64) bool { return value >= 0 && value < maxLoadReportValue }
