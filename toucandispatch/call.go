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
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucanupstream"
	"toucanport/toucanwire"
)

// MaxCallBytes is the maximum size of the body of a plain service's answer.
const MaxCallBytes = 8 << 20

// Dispatcher sends calls to one application instance. It is safe for concurrent use.
type Dispatcher struct {
	http *http.Client
	url  string
	// orders claims orders in the store; if nil, orders with an idempotency key are refused.
	orders Orders
	log    *slog.Logger
}

// New returns a dispatcher for the application instance at url. orders may be nil.
func New(url string, transport http.RoundTripper, orders Orders, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
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
}

func (d *Dispatcher) send(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, error) {
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
	return &toucanwire.CallResponse{Status: uint32(resp.StatusCode), Headers: toucanwire.EndToEndHeaders(resp.Header), Body: body}, nil
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
