// Package toucanlisting polls the platform's list of live and leaving instances.
package toucanlisting

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanmember"
	"toucanport/toucanwait"
)

// Path is the URL path of the list.
const Path = "/v1/instances"

// List is the JSON body of the answer.
type List struct {
	Instances []toucanmember.Listed `json:"instances"`
}

// ErrUnavailable is returned when a poll got no valid list; the previous list remains in use.
var ErrUnavailable = errors.New("instance list not available")

const (
	// defaultInterval ensures that an endpoint gets no new work later than 3 s after it is listed as leaving: the
	// interval with its jitter takes at most 2 s, and an entry checks the list every half second.
	defaultInterval = 1600 * time.Millisecond
	// jitterPercent is the maximum deviation from the mean interval. It spreads the polls of instances that started
	// at the same time.
	jitterPercent = 25
	// requestTimeout limits the time until a list begins to arrive, and the time between two of its parts.
	requestTimeout = 2 * time.Second
	// maxTransferTime limits the time in which a list arrives, whatever its size.
	maxTransferTime = 30 * time.Second
	maxListBytes    = 4 << 20
)

// Client polls the list. It must be used by one goroutine at a time.
type Client struct {
	url      string
	http     *http.Client
	interval time.Duration
	// etag is the entity tag of the last list; empty before the first one.
	etag string
}

// Option configures a Client in New.
type Option func(*Client)

// WithTransport makes the client send its requests through t.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// WithInterval sets the mean time between polls.
func WithInterval(d time.Duration) Option { return func(c *Client) { c.interval = d } }

// New returns a client of the list at the URL base, such as http://127.0.0.1:8600.
func New(base string, opts ...Option) *Client {
	c := &Client{url: base + Path, http: &http.Client{}, interval: defaultInterval}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Poll requests the list once. It returns false when the list has not changed since the last successful poll. All errors
// wrap ErrUnavailable.
func (c *Client) Poll(ctx context.Context) ([]toucanmember.Listed, bool, error) {
	limits := toucanwait.TransferLimits{Begin: requestTimeout, Stall: requestTimeout, Total: maxTransferTime}
	ctx, progress, cancel := toucanwait.WithProgress(ctx, limits)
	defer cancel()
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
	body := toucanwait.NewReader(http.MaxBytesReader(nil, resp.Body, maxListBytes), progress)
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, false, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.etag = resp.Header.Get("Etag")
	return list.Instances, true, nil
}

// Run polls until ctx is done and calls apply with each changed list. Failed polls are ignored, so that the last list
// remains in use during an outage.
func (c *Client) Run(ctx context.Context, apply func([]toucanmember.Listed)) {
	for ctx.Err() == nil {
		if list, changed, err := c.Poll(ctx); err == nil && changed {
			apply(list)
		}
		t := time.NewTimer(c.jitteredInterval())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// jitteredInterval returns a random duration within jitterPercent of the interval.
func (c *Client) jitteredInterval() time.Duration {
	spread := int64(c.interval) * jitterPercent / 100
	return c.interval + time.Duration(rand.Int64N(2*spread+1)-spread)
}
