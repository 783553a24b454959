// Package toucanengine is the HTTP client of a model engine: OpenAI-compatible completions as server-sent events, and
// control calls for load reports, cache events and orders.
package toucanengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"toucanport/toucanupstream"
)

var (
	// ErrNotSent is returned when no byte of the request reached the engine.
	ErrNotSent = errors.New("request did not reach the engine")
	// ErrOutcomeUnknown is returned when the engine may have received the request, and perhaps ran it.
	ErrOutcomeUnknown = errors.New("engine may have received the request")
	// ErrInterrupted is returned when the stream ended or became invalid before the generation's end.
	ErrInterrupted = errors.New("engine stream was interrupted")
	// ErrUnknownGeneration is returned when the engine holds no generation with the id.
	ErrUnknownGeneration = errors.New("engine does not know the generation")
	// ErrFenced is returned when the engine has received a higher fencing number than the order's.
	ErrFenced = errors.New("engine refused the order: its fencing number is too low")
	// ErrRejected is returned when the engine refused the request and did not run it.
	ErrRejected = errors.New("engine refused the request")
)

const (
	maxReplyBytes = 1 << 20
	maxErrorBytes = 4 << 10
)

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// Option configures a Client in New.
type Option func(*Client)

// WithTransport makes the client send its requests through rt.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = rt }
}

// New returns a client of the engine at baseURL, for example "http://127.0.0.1:9000".
func New(baseURL string, opts ...Option) *Client {
	c := &Client{baseURL: baseURL, http: &http.Client{}}
	for _, opt := range opts {
		opt(c)
	}
	c.http.Transport = toucanupstream.CheckStatus(c.http.Transport)
	return c
}

// Generate starts the generation r.ID and streams its tokens. If the engine already runs it, Generate streams the
// running generation from token 0.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	body, err := r.encode()
	if err != nil {
		return nil, err
	}
	path := "/v1/completions"
	if r.Chat {
		path = "/v1/chat/completions"
	}
	return c.stream(ctx, http.MethodPost, path, body)
}

// Resume streams a generation that is running or has recently ended, from the token with index from. It returns
// ErrUnknownGeneration when the engine holds no generation with the id.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	path := generationPath(id) + "?from=" + strconv.Itoa(from)
	return c.stream(ctx, http.MethodGet, path, nil)
}

// Cancel ends a generation and frees its memory. It returns ErrUnknownGeneration when the engine holds no generation
// with the id; the engine then refuses to start one with that id later.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, generationPath(id), nil, nil)
}

// Report returns the engine's latest load report, which can be older than the engine's current state.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var r Report
	err := c.call(ctx, http.MethodGet, "/control/report", nil, &r)
	return r, err
}

// CacheEvents returns the published cache events with sequence numbers above after, oldest first. Events are published
// with a delay, and can be lost, which leaves a gap in the sequence numbers.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/control/cacheEvents?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Order sends an order to the engine and waits until it has been carried out. It returns ErrFenced when the engine
// refuses the order's fencing number.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return c.call(ctx, http.MethodPost, "/control/orders", body, nil)
}

func generationPath(id string) string {
	return "/v1/generations/" + url.PathEscape(id)
}

func (c *Client) stream(ctx context.Context, method, path string, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.do(ctx, method, path, body) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel), nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, reply), "decode engine reply")
}

// do sends a request and returns its response when the status is 2xx.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	if method == http.MethodPost {
		// The transport retries a POST on a second connection only if it wrote nothing to the first one.
		trace.GetConn = func(string) { sent.Store(false) }
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, wrapTransportError(err, sent.Load())
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// wrapTransportError wraps an error of the transport in ErrOutcomeUnknown if a connection was obtained for the request,
// otherwise in ErrNotSent.
func wrapTransportError(err error, sent bool) error {
	if sent {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

func statusError(resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		text = []byte(err.Error())
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errors.Wrapf(ErrUnknownGeneration, "%s", text)
	case http.StatusConflict:
		return errors.Wrapf(ErrFenced, "%s", text)
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return errors.Wrapf(ErrRejected, "status %d: %s", resp.StatusCode, text)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "status %d: %s", resp.StatusCode, text)
}
