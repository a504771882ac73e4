package platformconfig

import (
	"encoding/json"
	"math"
	"time"
)

// The types of this file mirror the platform's JSON objects. Keys without a field are ignored. The platform's terms
// occur only in the keys: a balancer is a front end, a sku a kind of worker, a customer a tenant, and familyInfo
// describes the functions.

// milliseconds is a duration as encoded in the platform's JSON.
type milliseconds float64

func (m milliseconds) duration() time.Duration {
	return time.Duration(math.Round(float64(m) * float64(time.Millisecond)))
}

type configJSON struct {
	Name                  string            `json:"name"`
	ListenAddress         string            `json:"listen"`
	Seed                  string            `json:"seed"` // 16 hexadecimal digits
	Limits                processLimitsJSON `json:"limits"`
	EndpointStreamAddress string            `json:"bulletin"`
	InitialEvents         json.RawMessage   `json:"known"`
	Settings              json.RawMessage   `json:"settings"`
}

type processLimitsJSON struct {
	Cores       float64 `json:"cores"`
	MemoryMB    int     `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

type settingsJSON struct {
	FrontEndCount   int             `json:"balancers"`
	FrontEndIndex   int             `json:"ordinal"`
	Zone            int             `json:"zone"` // index into ZoneNames
	WatchMode       string          `json:"registryMode"`
	Resolution      milliseconds    `json:"resolution"`
	ScaleMeaning    string          `json:"weights"`
	Classes         []classJSON     `json:"classes"`
	ZoneNames       []string        `json:"azs"`
	WorkerKindNames []string        `json:"skus"`
	Tenants         []tenantJSON    `json:"customers"`
	Functions       functionsJSON   `json:"familyInfo"`
	Limits          limitsJSON      `json:"limits"`
	LoadReport      loadReportJSON  `json:"loadReport"`
	WorkerRules     workerRulesJSON `json:"rules"`
}

// watchOnRequest is the value of WatchMode if a front end receives the endpoint list only after it has requested it.
const watchOnRequest = "ask"

// The values of ScaleMeaning with which the scale of a worker is its capacity, exactly or roughly.
const (
	scaleNominal = "nominal"
	scaleRough   = "rough"
)

type classJSON struct {
	Name             string       `json:"name"`
	Timeout          milliseconds `json:"deadline"`
	LatencyObjective milliseconds `json:"onTime"`
	KeyScope         string       `json:"keyScope"`
	LateWeight       float64      `json:"lateWorth"`
	KeyRetention     milliseconds `json:"memorySpan"`
	Idempotency      string       `json:"repeat"`
	PriorityWeight   float64      `json:"worth"`
}

type tenantJSON struct {
	Name  string  `json:"name"`
	Share float64 `json:"portion"`
	Quota float64 `json:"quotaPerS"`
}

type functionsJSON struct {
	ReplicaIdleTimeout milliseconds `json:"keep"`
	LoadRateBurst      float64      `json:"freeLoads"`
	LoadRatePerRequest float64      `json:"loadPart"`
	LoadRateWindow     milliseconds `json:"loadPeriod"`
	LoadOrderTimeout   milliseconds `json:"loadWait"`
	LoadOrdersAllowed  bool         `json:"mayLoad"`
	WhenNotLoaded      string       `json:"whenAbsent"`
	ReportsColdStart   bool         `json:"warmNotes"`
	ReportsQueueDepth  bool         `json:"notesPeersInHand"`
	WorkerMemoryMB     []float64    `json:"memoryMbByKind"`
}

// answerNotLoaded is the value of WhenNotLoaded if a worker rejects a request for a function that is not loaded instead
// of loading the function.
const answerNotLoaded = "miss"

type limitsJSON struct {
	ConnectTimeout       milliseconds `json:"connectTimeout"`
	WorkerIdleTimeout    milliseconds `json:"connIdle"`
	StreamsPerConnection int          `json:"streamsPerConn"`
	MaxInFlight          int          `json:"openCap"`
	MaxAttempts          int          `json:"maxAttempts"`
	MaxRetryAfter        milliseconds `json:"maxRetryAfter"`
	CancelAllowed        bool         `json:"mayCancel"`
	HealthChecksAllowed  bool         `json:"probes"`
	RetryAfter           bool         `json:"retryAfter"`
	HedgingAllowed       bool         `json:"secondCopies"`
}

type loadReportJSON struct {
	Fields []string `json:"fields"`
}

type workerRulesJSON struct {
	SlowStartDuration milliseconds `json:"cold"`
	SlowStartFraction float64      `json:"coldFrom"`
	OverloadWindow    milliseconds `json:"fall"`
	DrainGrace        milliseconds `json:"stopSendingWithin"`
	OverloadFactor    float64      `json:"tipMultiple"`
}
