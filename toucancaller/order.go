package toucancaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"toucanport/toucanapi"
	"toucanport/toucanwire"
)

// LabelHeader names an order in the ledger of the application instances.
const LabelHeader = "X-Label"

// OrderReply is one answer to an order.
type OrderReply struct {
	Status int
	// Failure is the JSON error of an answer that is none of the service's own.
	Failure *toucanapi.Error
	// Err is set when there was no final answer.
	Err error
}

// Settled tells whether the caller has no reason to repeat the order.
func (r OrderReply) Settled() bool {
	return r.Err == nil && (r.Failure == nil || !r.Failure.Retryable && r.Failure.Ran == toucanwire.RanNo)
}

// Order sends an order once, under the label as its key when keyed is true.
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
