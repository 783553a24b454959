// Package toucanlisting is the client of the platform's list of live and leaving instances.
package toucanlisting

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanmember"
)

// Path is where the list is served.
const Path = "/v1/instances"

// List is the answer's form.
type List struct {
	Instances []toucanmember.Listed `json:"instances"`
}

// ErrUnavailable is returned when the list was not answered; the last one stays.
var ErrUnavailable = errors.New("instance list not available")

const (
	// defaultInterval with its jitter, and the half second in which an entry looks at the list again, is within the
	// 3 s after which a leaving endpoint must get no more work.
	defaultInterval = 1600 * time.Millisecond
	// jitterPercent spreads the polls of instances that started together.
	jitterPercent  = 25
	requestTimeout = 2 * time.Second
	maxListBytes   = 4 << 20
)

// Client polls the list.
type Client struct {
	url      string
	http     *http.Client
	interval time.Duration
	etag     string
}

// Option changes a Client.
type Option func(*Client)

// WithTransport sends requests through t.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// WithInterval sets the mean time between polls.
func WithInterval(d time.Duration) Option { return func(c *Client) { c.interval = d } }

// New returns a client of the list at base, such as http://127.0.0.1:8600. It is for one goroutine.
func New(base string, opts ...Option) *Client {
	c := &Client{url: base + Path, http: &http.Client{Timeout: requestTimeout}, interval: defaultInterval}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Poll asks once. It returns false when the list is as it was at the last poll.
func (c *Client) Poll(ctx context.Context) ([]toucanmember.Listed, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, false, errors.Wrap(ErrUnavailable, err.Error())
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, errors.Wrap(ErrUnavailable, resp.Status)
	}
	var list List
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, false, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.etag = resp.Header.Get("Etag")
	return list.Instances, true, nil
}

// Run polls until ctx ends and hands each new list to take. An outage leaves the last list standing.
func (c *Client) Run(ctx context.Context, take func([]toucanmember.Listed)) {
	for ctx.Err() == nil {
		if list, changed, err := c.Poll(ctx); err == nil && changed {
			take(list)
		}
		t := time.NewTimer(c.jittered())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (c *Client) jittered() time.Duration {
	spread := int64(c.interval) * jitterPercent / 100
	return c.interval + time.Duration(rand.Int64N(2*spread+1)-spread)
}
