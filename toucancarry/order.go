package toucancarry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanorder"
	"toucanport/toucanwire"
)

// Orders claims orders by their idempotency keys, so that each reaches an endpoint at most once.
type Orders interface {
	Claim(ctx context.Context, k toucanorder.Key) (toucanorder.Claim, error)
	Finish(c toucanorder.Claim, o toucanorder.Outcome) error
	Abandon(c toucanorder.Claim) error
	MarkUnknown(c toucanorder.Claim) error
}

// Carry answers a call from the recorded outcome of an earlier order with the same idempotency key, or by sending it
// to the endpoint.
func (c *Carrier) Carry(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !toucanwire.IsOrder(call) {
		response, err := c.send(ctx, call)
		if err != nil {
			return nil, callRefusal(err)
		}
		return response, nil
	}
	if c.orders == nil {
		return nil, toucanwire.NewRefusal(toucanwire.CodeStoreUnavailable, toucanwire.RanNo, "this endpoint's sidecar has no store to claim orders in")
	}
	claim, err := c.orders.Claim(ctx, orderKey(call))
	if err != nil {
		return nil, orderRefusal(claim, err)
	}
	if o := claim.Recorded; o != nil {
		return &toucanwire.CallResponse{Status: uint32(o.Status), Headers: toucanwire.EndToEndHeaders(o.Header), Body: o.Body, Replayed: true}, nil
	}
	return c.sendOrder(ctx, call, claim)
}

// sendOrder sends a claimed order to the endpoint and records the outcome in the claim.
func (c *Carrier) sendOrder(ctx context.Context, call *toucanwire.Call, claim toucanorder.Claim) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !claim.Valid(time.Now()) {
		c.logRecordError(c.orders.Abandon(claim))
		return nil, markOrderAbsent(toucanwire.NewRefusal(toucanwire.CodeDeadline, toucanwire.RanNo, "the deadline passed before the order was given to the endpoint"))
	}
	response, err := c.send(ctx, call)
	if err == nil {
		c.logRecordError(c.orders.Finish(claim, outcomeOf(response)))
		return response, nil
	}
	ref := callRefusal(err)
	if ref.Ran == toucanwire.RanNo {
		c.logRecordError(c.orders.Abandon(claim))
		return nil, markOrderAbsent(ref)
	}
	c.logRecordError(c.orders.MarkUnknown(claim))
	return nil, ref
}

// markOrderAbsent marks the refusal of an order whose claim was granted and which was not run: no request with its
// idempotency key has run.
func markOrderAbsent(r *toucanwire.Refusal) *toucanwire.Refusal {
	r.OrderAbsent = true
	return r
}

// logRecordError logs that the outcome of an order could not be recorded. Repeats with its key are answered that the
// outcome is unknown.
func (c *Carrier) logRecordError(err error) {
	if err != nil {
		c.log.Error("order outcome not recorded", "error", err.Error())
	}
}

func orderKey(call *toucanwire.Call) toucanorder.Key {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Path, string(call.Body)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return toucanorder.Key{
		Workspace:      call.Workspace,
		Service:        call.Service,
		IdempotencyKey: call.IdempotencyKey,
		RequestHash:    h.Sum64(),
	}
}

func outcomeOf(r *toucanwire.CallResponse) toucanorder.Outcome {
	header := make(http.Header, len(r.Headers))
	for _, h := range r.Headers {
		header[h.Name] = h.Values
	}
	return toucanorder.Outcome{Status: int(r.Status), Header: header, Body: r.Body}
}

// orderRefusal returns the refusal for an order that could not be claimed. Its `ran` refers to the order, which an
// earlier request with the same key may have run. Only a reused key and a failed claim are refused with "no": this
// request was then not run.
func orderRefusal(claim toucanorder.Claim, err error) *toucanwire.Refusal {
	r := &toucanwire.Refusal{Message: err.Error(), RetryAfterMillis: uint32(toucanorder.RetryAfter(err) / time.Millisecond)}
	switch {
	case errors.Is(err, toucanorder.ErrInProgress):
		r.Code, r.Ran, r.Retryable = toucanwire.CodeOrderInProgress, toucanwire.RanUnknown, true
	case errors.Is(err, toucanorder.ErrOutcomeNotKept):
		r.Code, r.Ran = toucanwire.CodeOrderCarriedOut, toucanwire.RanUnknown
		r.Message = "an earlier request with this key was carried out with status " + strconv.Itoa(claim.Recorded.Status) + "; its answer is not kept"
	case errors.Is(err, toucanorder.ErrKeyReused):
		r.Code, r.Ran = toucanwire.CodeKeyReused, toucanwire.RanNo
	case errors.Is(err, toucanorder.ErrUnavailable), errors.Is(err, toucanorder.ErrClosed):
		r.Code, r.Ran, r.Retryable = toucanwire.CodeStoreUnavailable, toucanwire.RanNo, true
		r.Message = "the order could not be claimed, so this request was not run; an earlier one with its key may have been: repeat it with the same key"
	default:
		r.Code, r.Ran = toucanwire.CodeOrderUnknown, toucanwire.RanUnknown
	}
	return r
}
