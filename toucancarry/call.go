// Package toucancarry sends calls to the application instance beside a sidecar. It sends an order with an idempotency
// key at most once, after claiming it in the store.
package toucancarry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucanwire"
)

// MaxCallBytes limits the body of an answer of a plain service.
const MaxCallBytes = 8 << 20

// Carrier sends calls to one application instance. It is safe for concurrent use.
type Carrier struct {
	http *http.Client
	url  string
	// orders claims orders in the store; if nil, orders with an idempotency key are refused.
	orders Orders
	log    *slog.Logger
}

// New returns a carrier for the application instance at url. orders may be nil.
func New(url string, transport http.RoundTripper, orders Orders, log *slog.Logger) *Carrier {
	return &Carrier{
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		url:    url,
		orders: orders,
		log:    log,
	}
}

func (c *Carrier) send(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody, the transport cannot send a request with a body a second time on its own.
	req.GetBody = nil
	for _, h := range call.Headers {
		req.Header[headerName(h.Name)] = h.Values
	}
	resp, err := c.http.Do(req)
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

// headerName returns the lower case form of the headers that mark a POST as idempotent for the transport, which would
// then send one without a body a second time. HTTP header names are not case-sensitive.
func headerName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	}
	return name
}

// callRefusal returns the refusal for a failed call. It says "not run" only if no connection to the endpoint was
// established.
func callRefusal(err error) *toucanwire.Refusal {
	ran := toucanwire.RanUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		ran = toucanwire.RanNo
	}
	return toucanwire.NewRefusal(toucanwire.CodeEndpointFailed, ran, "the endpoint gave no answer")
}
