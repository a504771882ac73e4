package functionstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"havencart/lab/model"
)

// maxIdleConnections is the maximum number of idle connections to the store that a client keeps.
const maxIdleConnections = 64

// Client fetches the artefacts of functions for workers that share a clock. It implements model.Fetcher.
type Client struct {
	clock  *model.RealClock
	url    string
	http   *http.Client
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewClient returns a client of the store at address, given as host:port.
func NewClient(clock *model.RealClock, address string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	c := &Client{clock: clock, url: "http://" + address, http: &http.Client{Transport: transport}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Fetch implements model.Fetcher. It returns immediately; done is called as an event of the clock.
func (c *Client) Fetch(function string, work time.Duration, done func(ok bool)) {
	c.tasks.Go(func() {
		ok := c.fetch(function, work)
		c.clock.Do(func() { done(ok) })
	})
}

func (c *Client) fetch(function string, work time.Duration) bool {
	artefactURL := fmt.Sprintf("%s/artefact/%s?takes=%v", c.url, url.PathEscape(function), work)
	request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, artefactURL, nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close cancels the fetches in progress and waits for them.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
	c.http.CloseIdleConnections()
}
