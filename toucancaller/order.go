package toucancaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"toucanport/toucanapi"
	"toucanport/toucanwire"
)

// LabelHeader is the request header that identifies an order in the ledger of the fake application instances.
const LabelHeader = "X-Label"

// OrderReply is the result of sending an order once.
type OrderReply struct {
	Status int
	// Failure is the JSON error of an answer that did not come from the service itself.
	Failure *toucanapi.Error
	// Err is set if there was no final answer or it could not be read.
	Err error
}

// IsFinal reports whether the caller need not retry: the service answered, or the failure is not retryable and the
// order did not run.
func (r OrderReply) IsFinal() bool {
	return r.Err == nil && (r.Failure == nil || !r.Failure.Retryable && r.Failure.Ran == toucanwire.RanNo)
}

// Order sends an order once. If keyed is true, the label is also its idempotency key.
func (c *Caller) Order(ctx context.Context, entry int, label string, keyed bool) OrderReply {
	url := c.url(entry, "/services/orders/place")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return OrderReply{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key(0))
	req.Header.Set(LabelHeader, label)
	if keyed {
		req.Header.Set("Idempotency-Key", label)
	}
	resp, err := (&http.Client{Transport: c.transport}).Do(req)
	if err != nil {
		return OrderReply{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil || resp.StatusCode == http.StatusOK {
		return OrderReply{Status: resp.StatusCode, Err: err}
	}
	var body toucanapi.ErrorBody
	if err := json.Unmarshal(b, &body); err != nil {
		return OrderReply{Status: resp.StatusCode, Err: err}
	}
	return OrderReply{Status: resp.StatusCode, Failure: &body.Error}
}
