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

const (
	// queryWait is how long a blocking query may stay unanswered by the service; answerSlack is what the
	// answer may take beyond that. They are the protocol's, not tuned: the service adds up to wait/16.
	queryWait   = 30 * time.Second
	answerSlack = 5 * time.Second
	listBytes   = 16 << 20
)

// Consul follows a service's health endpoint (GET /v1/health/service/NAME) with blocking queries.
//
// A worker is Ready while all its checks pass or warn, Draining while it is in maintenance (a check named
// _service_maintenance or _node_maintenance), Gone while another check is critical. Its service's Meta may hold
// zone, cell, kind, scale and started (milliseconds since 1970).
type Consul struct {
	poke
	base   string // http://host:port
	name   string
	agent  string
	client *http.Client
}

// NewConsul returns a source that asks the service at base, such as http://127.0.0.1:8500, for name. agent is
// how this front end calls itself there.
func NewConsul(base, name, agent string) *Consul {
	return &Consul{poke: make(poke, 1), base: strings.TrimSuffix(base, "/"), name: name, agent: agent,
		client: &http.Client{Transport: &http.Transport{}, Timeout: queryWait + queryWait/16 + answerSlack}}
}

// Run follows until ctx ends.
func (c *Consul) Run(ctx context.Context, sink Sink) {
	defer c.client.CloseIdleConnections()
	index := uint64(0)
	for ctx.Err() == nil {
		list, next, err := c.query(ctx, index)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			sink.WatchFailed(err)
			index = 0 // whatever was missed, the next answer is whole
			if !c.wait(ctx) {
				return
			}
		case next < index:
			index = 0 // it went back: the service lost its state; ask for what it has now, without waiting
		case next > index:
			index = next
			sink.EndpointsChanged(list)
		}
	}
}

// query asks once; index 0 asks for what is there without waiting.
func (c *Consul) query(ctx context.Context, index uint64) ([]Worker, uint64, error) {
	at := fmt.Sprintf("%s/v1/health/service/%s", c.base, url.PathEscape(c.name))
	if index > 0 {
		at += fmt.Sprintf("?index=%d&wait=%ds", index, int(queryWait.Seconds()))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("list of workers: %w", err)
	}
	request.Header.Set("User-Agent", c.agent)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("list of workers: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("list of workers: the service answers %s", response.Status)
	}
	next, err := strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil || next == 0 {
		return nil, 0, fmt.Errorf("%w: index %q", ErrMalformed, response.Header.Get("X-Consul-Index"))
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, listBytes+1))
	if err != nil {
		return nil, 0, fmt.Errorf("list of workers: %w", err)
	}
	if len(raw) > listBytes {
		return nil, 0, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, listBytes)
	}
	list, err := ParseConsul(raw)
	return list, next, err
}

// Instance is one entry of the health endpoint's answer, as far as it is read.
type Instance struct {
	Node struct {
		Address string `json:",omitempty"`
	}
	Service struct {
		ID      string
		Address string            `json:",omitempty"`
		Port    int               `json:",omitempty"`
		Meta    map[string]string `json:",omitempty"`
	}
	Checks []Check
}

// Check is one health check of an instance.
type Check struct {
	CheckID string
	Status  string
}

// ParseConsul reads an answer of the health endpoint. Errors wrap ErrMalformed.
func ParseConsul(raw []byte) ([]Worker, error) {
	var in []Instance
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	list := make([]Worker, 0, len(in))
	for _, i := range in {
		w, err := i.worker()
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, check(list)
}

func (i Instance) worker() (Worker, error) {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	meta := i.Service.Meta
	w := Worker{Name: i.Service.ID, Address: net.JoinHostPort(host, strconv.Itoa(i.Service.Port)), Zone: meta["zone"],
		Cell: meta["cell"], Kind: meta["kind"], Scale: 1, State: i.state()}
	if text := meta["scale"]; text != "" {
		scale, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return w, fmt.Errorf("%w: worker %s with scale %q", ErrMalformed, w.Name, text)
		}
		w.Scale = scale
	}
	if text := meta["started"]; text != "" {
		at, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return w, fmt.Errorf("%w: worker %s started at %q", ErrMalformed, w.Name, text)
		}
		w.Started = time.UnixMilli(at)
	}
	return w, nil
}

func (i Instance) state() scheduler.WorkerState {
	state := scheduler.Ready
	for _, c := range i.Checks {
		if strings.HasPrefix(c.CheckID, "_service_maintenance") || c.CheckID == "_node_maintenance" {
			return scheduler.Draining
		}
		if c.Status == "critical" {
			state = scheduler.Removed
		}
	}
	return state
}
