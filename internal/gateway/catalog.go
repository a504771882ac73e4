package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/native/httpserver"
	"havencart/internal/native/muxframe"
)

// Catalog holds the classes, tenants and functions that the settings define, and resolves their names. It is immutable,
// so its methods may be called from any goroutine.
type Catalog struct {
	Classes    []CatalogClass // in the order of Settings.Classes
	Tenants    []string       // in the order of Settings.Tenants
	Functions  map[string]CatalogFunction
	ListedOnly bool // whether requests for functions that are not listed are invalid
}

// CatalogClass is a class, with the defaults for its functions.
type CatalogClass struct {
	Name       string
	MaxTimeout time.Duration // upper bound of a request's timeout, and its default
	Replica    muxframe.ReplicaSpec
}

// CatalogFunction is a function that is listed in the settings.
type CatalogFunction struct {
	Class   int // index into Catalog.Classes
	Replica muxframe.ReplicaSpec
}

// UnknownNameError is returned for a request with the name of a function, class or tenant that the settings do not
// list. Its text is sent to clients.
type UnknownNameError struct {
	Kind string // "function", "class" or "tenant"
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// ClassMismatchError is returned for a request that gives a listed function a class other than its own. Its text is
// sent to clients.
type ClassMismatchError struct{ Function, Class string }

// Error implements error.
func (e *ClassMismatchError) Error() string {
	return fmt.Sprintf("function %q is not of class %q", e.Function, e.Class)
}

// NewCatalog returns the catalog of the classes, tenants and functions in the settings.
func NewCatalog(settings *gatewayconfig.Settings) *Catalog {
	catalog := &Catalog{Functions: map[string]CatalogFunction{}, ListedOnly: settings.ListedFunctionsOnly}
	for _, class := range settings.Classes {
		catalog.Classes = append(catalog.Classes, CatalogClass{
			Name: class.Name, MaxTimeout: class.Timeout,
			Replica: replicaSpec(class.ReplicaMemoryMB, class.ReplicaConcurrency, class.LoadTimeEstimate),
		})
	}
	for _, tenant := range settings.Tenants {
		catalog.Tenants = append(catalog.Tenants, tenant.Name)
	}
	for _, function := range settings.Functions {
		catalog.Functions[function.Name] = CatalogFunction{
			Class:   max(0, settings.ClassIndex(function.Class)),
			Replica: replicaSpec(function.ReplicaMemoryMB, function.ReplicaConcurrency, function.LoadTimeEstimate),
		}
	}
	return catalog
}

// Resolve sets the class, tenant, timeout and replica specification of request from the request that was received. An
// error means that the request is invalid; it is an *UnknownNameError or a *ClassMismatchError.
func (catalog *Catalog) Resolve(received *httpserver.Request, request *Request) error {
	function, listed := catalog.Functions[received.Function]
	if !listed && catalog.ListedOnly {
		return &UnknownNameError{Kind: "function", Name: received.Function}
	}
	request.Class = function.Class
	if received.Class != "" {
		class := slices.IndexFunc(catalog.Classes, func(c CatalogClass) bool { return c.Name == received.Class })
		if class < 0 {
			return &UnknownNameError{Kind: "class", Name: received.Class}
		}
		if listed && class != function.Class {
			return &ClassMismatchError{Function: received.Function, Class: received.Class}
		}
		request.Class = class
	}
	if received.Tenant != "" {
		tenant := slices.Index(catalog.Tenants, received.Tenant)
		if tenant < 0 {
			return &UnknownNameError{Kind: "tenant", Name: received.Tenant}
		}
		request.Tenant = tenant
	}
	class := catalog.Classes[request.Class]
	request.Timeout = class.MaxTimeout
	if received.Timeout > 0 {
		request.Timeout = min(request.Timeout, received.Timeout)
	}
	request.Replica = muxframe.ReplicaSpec{
		Function:    received.Function,
		MemoryMB:    cmp.Or(function.Replica.MemoryMB, received.MemoryMB, class.Replica.MemoryMB),
		Concurrency: cmp.Or(function.Replica.Concurrency, received.Concurrency, class.Replica.Concurrency),
		LoadMillis:  cmp.Or(function.Replica.LoadMillis, millis(received.LoadTime), class.Replica.LoadMillis),
	}
	return nil
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// replicaSpec returns a replica specification without the function's name.
func replicaSpec(memoryMB, concurrency int, loadTime time.Duration) muxframe.ReplicaSpec {
	return muxframe.ReplicaSpec{MemoryMB: float64(memoryMB), Concurrency: concurrency, LoadMillis: millis(loadTime)}
}
