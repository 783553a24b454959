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

// Orders claims orders under a key, so that each reaches an endpoint at most once.
type Orders interface {
	Claim(ctx context.Context, k toucanorder.Key) (toucanorder.Claim, error)
	Finish(c toucanorder.Claim, o toucanorder.Outcome) error
	Abandon(c toucanorder.Claim) error
	Lose(c toucanorder.Claim) error
}

// Carry answers a call: from the record of an earlier one with its key, or by giving it to the endpoint.
func (c *Carrier) Carry(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !toucanwire.IsOrder(call) {
		response, err := c.do(ctx, call)
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
		return &toucanwire.CallResponse{Status: uint32(o.Status), Headers: toucanwire.HeadersOf(o.Header), Body: o.Body, Replayed: true}, nil
	}
	return c.giveOrder(ctx, call, claim)
}

// giveOrder gives a claimed order to the endpoint and settles the claim by what came of it.
func (c *Carrier) giveOrder(ctx context.Context, call *toucanwire.Call, claim toucanorder.Claim) (*toucanwire.CallResponse, *toucanwire.Refusal) {
	if !claim.Valid(time.Now()) {
		c.settled(c.orders.Abandon(claim))
		return nil, absent(toucanwire.NewRefusal(toucanwire.CodeDeadline, toucanwire.RanNo, "the deadline passed before the order was given to the endpoint"))
	}
	response, err := c.do(ctx, call)
	if err == nil {
		c.settled(c.orders.Finish(claim, outcomeOf(response)))
		return response, nil
	}
	ref := callRefusal(err)
	if ref.Ran == toucanwire.RanNo {
		c.settled(c.orders.Abandon(claim))
		return nil, absent(ref)
	}
	c.settled(c.orders.Lose(claim))
	return nil, ref
}

// absent marks a refusal behind a claim that was granted: nobody had run an order with its key before.
func absent(r *toucanwire.Refusal) *toucanwire.Refusal {
	r.OrderAbsent = true
	return r
}

// settled logs an outcome that will not be recorded; repeats of its key are then told that it is unknown.
func (c *Carrier) settled(err error) {
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

// orderRefusal names what keeps an order from being given. Only a claim that was not granted at all proves that
// this request was not run; the others speak of an earlier request with the key.
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
