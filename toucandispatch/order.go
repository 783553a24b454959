package toucandispatch

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

// Dispatch sends a call to the endpoint and returns the answer, or a refusal if there is none. An order whose
// idempotency key has a recorded outcome is not sent; Dispatch returns the recorded answer.
func (d *Dispatcher) Dispatch(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !toucanwire.IsOrder(call) {
		response, err := d.send(ctx, call)
		if err != nil {
			return nil, callRefusal(err)
		}
		return response, nil
	}
	if d.orders == nil {
		return nil, toucanwire.NewRefusal(toucanwire.CodeStoreUnavailable, toucanwire.RanNo, "this endpoint's sidecar has no store to claim orders in")
	}
	claim, err := d.orders.Claim(ctx, orderKey(call))
	if err != nil {
		return nil, orderRefusal(claim, err)
	}
	if o := claim.Recorded; o != nil {
		return &toucanwire.CallResponse{Status: uint32(o.Status), Headers: toucanwire.EndToEndHeaders(o.Header), Body: o.Body, Replayed: true}, nil
	}
	return d.sendOrder(ctx, call, claim)
}

// sendOrder sends a claimed order to the endpoint and records its outcome in the store.
func (d *Dispatcher) sendOrder(ctx context.Context, call *toucanwire.Call, claim toucanorder.Claim) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !claim.Valid(time.Now()) {
		d.logRecordError(d.orders.Abandon(claim))
		return nil, markOrderAbsent(toucanwire.NewRefusal(toucanwire.CodeDeadline, toucanwire.RanNo, "the deadline passed before the order was given to the endpoint"))
	}
	response, err := d.send(ctx, call)
	if err == nil {
		d.logRecordError(d.orders.Finish(claim, outcomeOf(response)))
		return response, nil
	}
	ref := callRefusal(err)
	if ref.Ran == toucanwire.RanNo {
		d.logRecordError(d.orders.Abandon(claim))
		return nil, markOrderAbsent(ref)
	}
	d.logRecordError(d.orders.MarkUnknown(claim))
	return nil, ref
}

// markOrderAbsent sets OrderAbsent in the refusal of a claimed order that was not run. As the claim was granted, no
// earlier request with its idempotency key has run either.
func markOrderAbsent(r *toucanwire.Refusal) *toucanwire.Refusal {
	r.OrderAbsent = true
	return r
}

// logRecordError logs a failure to record the outcome of an order. Later requests with its key are then refused with
// CodeOrderUnknown.
func (d *Dispatcher) logRecordError(err error) {
	if err != nil {
		d.log.Error("order outcome not recorded", "error", err.Error())
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

// orderRefusal returns the refusal for an order that could not be claimed. Its `ran` is "unknown" if an earlier request
// with the same key may have run the order. It is "no" only for a reused key and for a failure of the store, and then
// refers to this request alone.
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
