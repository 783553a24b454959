// Package toucandispatch sends calls to the application instance beside a sidecar. An order with an idempotency key is
// claimed in the store first and then sent at most once.
package toucandispatch

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"toucanport/toucanupstream"
	"toucanport/toucanwire"
)

// MaxCallBytes is the maximum size of the body of a plain service's answer.
const MaxCallBytes = 8 << 20

// errEndedWithEndpoint means that an answer without a length ended because its endpoint did.
var errEndedWithEndpoint = errors.New("answer without length ended with its endpoint")

// errMaybeSent means that no answer came to a call which may have reached the endpoint.
var errMaybeSent = errors.New("call may have reached the endpoint")

// EndChecker tells whether endpoints have ended. *toucanupstream.Pool implements it.
type EndChecker interface {
	// HasEnded reports whether the endpoint at an address has ended. It tells nothing if ctx ends first.
	HasEnded(ctx context.Context, address string) bool
}

// Dispatcher sends calls to one application instance. It is safe for concurrent use.
type Dispatcher struct {
	http *http.Client
	url  string
	// ends checks answers without a length, which end with their connections; nil for no check.
	ends EndChecker
	// orders claims orders in the store; if nil, orders with an idempotency key are refused.
	orders Orders
	log    *slog.Logger
}

// Option changes a Dispatcher that is being created.
type Option func(*Dispatcher)

// WithEndChecker makes the dispatcher check whether the instance has ended when an answer without a length ends, as such an answer is not
// whole then.
func WithEndChecker(ends EndChecker) Option { return func(d *Dispatcher) { d.ends = ends } }

// New returns a dispatcher for the application instance at url. orders may be nil.
func New(url string, transport http.RoundTripper, orders Orders, log *slog.Logger, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		http: &http.Client{
			Transport: toucanupstream.CheckStatus(transport),
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		url:    url,
		orders: orders,
		log:    log,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

func (d *Dispatcher) send(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, error) {
	ctx, mayHaveSent := traceSends(ctx, call.Method)
	req, err := http.NewRequestWithContext(ctx, call.Method, d.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody, the transport cannot resend a request that has a body.
	req.GetBody = nil
	for _, h := range call.Headers {
		req.Header[headerName(h.Name)] = h.Values
	}
	resp, err := d.http.Do(req)
	if err != nil && mayHaveSent() {
		return nil, errors.Wrap(errMaybeSent, err.Error())
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxCallBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > MaxCallBytes {
		return nil, errors.Errorf("answer is over the bound of %d bytes", MaxCallBytes)
	}
	if err := d.checkEnd(ctx, req, resp); err != nil {
		return nil, err
	}
	return &toucanwire.CallResponse{Status: uint32(resp.StatusCode), Headers: toucanwire.EndToEndHeaders(resp.Header), Body: body}, nil
}

// traceSends returns a context for a call, and a function that reports whether the call may have been sent. The transport makes a call that is
// idempotent by its method again out of sight; any other only if nothing of it was written.
func traceSends(ctx context.Context, method string) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
	default:
		trace.GetConn = func(string) { connected.Store(false) }
	}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// checkEnd returns an error if an answer that was read to its end is not whole as far as can be told: it has no length, so that the end of
// its connection is its end, and its endpoint has ended too.
func (d *Dispatcher) checkEnd(ctx context.Context, req *http.Request, resp *http.Response) error {
	framed := req.Method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if framed || d.ends == nil {
		return nil
	}
	if d.ends.HasEnded(ctx, req.URL.Host) {
		return errEndedWithEndpoint
	}
	return ctx.Err() // A check that was ended tells nothing.
}

// headerName returns the name of an idempotency header in lower case, and any other name unchanged. The transport would
// treat a POST with such a header in canonical form as idempotent, and could resend it if it has no body. HTTP header
// names are not case-sensitive, so the endpoint sees the same header.
func headerName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	}
	return name
}

// callRefusal returns the refusal for a failed call. Its `ran` is "no" only if the connection to the endpoint could not
// be established.
func callRefusal(err error) *toucanwire.Refusal {
	ran := toucanwire.RanUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		ran = toucanwire.RanNo
	}
	return toucanwire.NewRefusal(toucanwire.CodeEndpointFailed, ran, "the endpoint gave no answer")
}
