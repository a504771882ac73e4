package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"havencart/scheduler"
)

// The timing of a blocking query follows Consul's protocol: Consul extends the requested wait by a random amount of up
// to a sixteenth of it.
const (
	queryWait      = 30 * time.Second // time that Consul is asked to wait for a change
	queryJitter    = queryWait / 16   // largest random extension of the wait by Consul
	responseMargin = 5 * time.Second  // allowance for sending the response, in addition to queryWait and queryJitter

	maxResponseBytes = 16 << 20
)

// Consul is a Source that follows one service on Consul's health endpoint (GET /v1/health/service/NAME) with blocking
// queries. After a failure it waits for Refresh.
//
// A worker is Ready while all its checks pass or warn, Draining while it is in maintenance (it has a check whose ID
// begins with _service_maintenance or is _node_maintenance), and Removed while another check is critical. The service's
// Meta may contain zone, cell, kind, scale (a number) and started (Unix milliseconds).
type Consul struct {
	refreshSignal
	baseURL   string
	service   string
	userAgent string
	client    *http.Client
}

// NewConsul returns a source that queries Consul at baseURL, such as http://127.0.0.1:8500, for the instances of
// service. Each query has userAgent as its User-Agent header.
func NewConsul(baseURL, service, userAgent string) *Consul {
	client := &http.Client{
		Transport: &http.Transport{},
		Timeout:   queryWait + queryJitter + responseMargin,
	}
	return &Consul{
		refreshSignal: newRefreshSignal(),
		baseURL:       strings.TrimSuffix(baseURL, "/"),
		service:       service,
		userAgent:     userAgent,
		client:        client,
	}
}

// Run implements Source.
func (c *Consul) Run(ctx context.Context, sink Sink) {
	defer c.client.CloseIdleConnections()
	sink = &listComparer{Sink: sink}
	index := uint64(0)
	for ctx.Err() == nil {
		list, next, err := c.query(ctx, index)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			sink.WatchFailed(err)
			index = 0 // request the complete list again, as changes may have been missed
			if !c.wait(ctx) {
				return
			}
		case next < index:
			index = 0 // Consul lost its state: request its current list without blocking
		case next > index:
			index = next
			sink.EndpointsListed(list)
		}
	}
}

// query returns the list and its index as soon as that index differs from the given one, or when Consul's wait ends.
// With index 0, Consul responds without waiting.
func (c *Consul) query(ctx context.Context, index uint64) (list []Worker, next uint64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.queryURL(index), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("query the endpoint list: %w", err)
	}
	request.Header.Set("User-Agent", c.userAgent)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("query the endpoint list: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read or is no longer needed
	return parseResponse(response)
}

func (c *Consul) queryURL(index uint64) string {
	address := fmt.Sprintf("%s/v1/health/service/%s", c.baseURL, url.PathEscape(c.service))
	if index == 0 {
		return address
	}
	return address + fmt.Sprintf("?index=%d&wait=%ds", index, int(queryWait.Seconds()))
}

func parseResponse(response *http.Response) (list []Worker, index uint64, err error) {
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("query the endpoint list: Consul responded with status %s", response.Status)
	}
	header := response.Header.Get("X-Consul-Index")
	index, err = strconv.ParseUint(header, 10, 64)
	if err != nil || index == 0 {
		return nil, 0, fmt.Errorf("%w: X-Consul-Index header is %q, want a number above 0", ErrMalformed, header)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, 0, fmt.Errorf("read the endpoint list: %w", err)
	}
	if len(raw) > maxResponseBytes {
		return nil, 0, fmt.Errorf("%w: response is longer than %d bytes", ErrMalformed, maxResponseBytes)
	}
	list, err = ParseConsul(raw)
	return list, index, err
}

// ConsulInstance is one entry of the health endpoint's response, reduced to the fields that are used. The JSON keys are
// defined by Consul.
type ConsulInstance struct {
	Node struct {
		Address string `json:"Address,omitempty"`
	} `json:"Node"`
	Service struct {
		ID      string            `json:"ID"`
		Address string            `json:"Address,omitempty"` // if empty, Node.Address is used
		Port    int               `json:"Port,omitempty"`
		Meta    map[string]string `json:"Meta,omitempty"`
	} `json:"Service"`
	Checks []ConsulCheck `json:"Checks"`
}

// ConsulCheck is one health check of an instance. The JSON keys are defined by Consul.
type ConsulCheck struct {
	CheckID string `json:"CheckID"`
	Status  string `json:"Status"` // passing, warning or critical
}

// The check IDs and the status that affect a worker's state.
const (
	serviceMaintenancePrefix = "_service_maintenance"
	nodeMaintenance          = "_node_maintenance"
	statusCritical           = "critical"
)

func (c ConsulCheck) isMaintenance() bool {
	return strings.HasPrefix(c.CheckID, serviceMaintenancePrefix) || c.CheckID == nodeMaintenance
}

// ParseConsul parses a response of the health endpoint. Every error wraps ErrMalformed.
func ParseConsul(raw []byte) ([]Worker, error) {
	var instances []ConsulInstance
	if err := json.Unmarshal(raw, &instances); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	list := make([]Worker, 0, len(instances))
	for _, instance := range instances {
		worker, err := instance.worker()
		if err != nil {
			return nil, err
		}
		list = append(list, worker)
	}
	return list, validate(list)
}

func (i ConsulInstance) worker() (Worker, error) {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	meta := i.Service.Meta
	worker := Worker{
		Name:    i.Service.ID,
		Address: net.JoinHostPort(host, strconv.Itoa(i.Service.Port)),
		Zone:    meta["zone"],
		Cell:    meta["cell"],
		Kind:    meta["kind"],
		Scale:   1,
		State:   i.state(),
	}
	if text := meta["scale"]; text != "" {
		scale, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return worker, fmt.Errorf("%w: worker %s has scale %q, want a number", ErrMalformed, worker.Name, text)
		}
		worker.Scale = scale
	}
	if text := meta["started"]; text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return worker, fmt.Errorf("%w: worker %s has start time %q, want Unix milliseconds", ErrMalformed, worker.Name, text)
		}
		worker.Started = time.UnixMilli(millis)
	}
	return worker, nil
}

// state derives the worker's state from its checks. Maintenance takes precedence over a critical check.
func (i ConsulInstance) state() scheduler.WorkerState {
	state := scheduler.Ready
	for _, check := range i.Checks {
		if check.isMaintenance() {
			return scheduler.Draining
		}
		if check.Status == statusCritical {
			state = scheduler.Removed
		}
	}
	return state
}
