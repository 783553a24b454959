package toucansidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanwire"
)

// MaxCallBytes bounds the body of a plain service's answer.
const MaxCallBytes = 8 << 20

// callClient carries calls to the application instance.
type callClient struct {
	http *http.Client
	url  string
}

func newCallClient(cfg Config) callClient {
	return callClient{
		http: &http.Client{
			Transport: cfg.ServiceTransport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		url: cfg.ServiceURL,
	}
}

func (s *Sidecar) serveCall(ctx context.Context, stream *toucanwire.Stream, c *toucanwire.Call) {
	if !s.beginCall() {
		s.refuse(stream, refusal(codeLeaving, ranNo, "the endpoint is leaving"))
		return
	}
	defer s.working.done()
	defer awaitReceipt(stream)
	if c.DeadlineUnixMillis != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.UnixMilli(c.DeadlineUnixMillis))
		defer cancel()
	}
	response, ref := s.carry(ctx, c)
	if ref != nil {
		s.refuse(stream, ref)
		return
	}
	_ = s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_Response{Response: response}, Load: s.answerReport()})
}

// beginCall counts a call as work in progress, unless the endpoint is leaving.
func (s *Sidecar) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turnsAway() {
		return false
	}
	s.working.add()
	return true
}

// awaitReceipt waits until the entry has closed the stream, which it does when it has the answer.
func awaitReceipt(stream *toucanwire.Stream) {
	stream.SetReadDeadline(time.Now().Add(endTimeout))
	_ = stream.AwaitClose()
}

func (c *callClient) do(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// The transport must not send a request twice on its own.
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
	return &toucanwire.CallResponse{Status: uint32(resp.StatusCode), Headers: toucanwire.HeadersOf(resp.Header), Body: body}, nil
}

// headerName returns the lower case form of the headers by which the transport takes a POST without a body for one
// that it may send again. HTTP does not tell the two forms apart.
func headerName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	}
	return name
}

// callRefusal says "not run" only when no connection to the endpoint came about.
func callRefusal(err error) *toucanwire.Refusal {
	ran := ranUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		ran = ranNo
	}
	return refusal(codeEndpointFailed, ran, "the endpoint gave no answer")
}
