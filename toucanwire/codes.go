package toucanwire

import "net/http"

// Values of Refusal.ran: whether the request ran. RanNo is sent only when it is certain that the request did not run.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
	RanPartly  = "partly"
)

// Codes of refusals, which are sent between processes and to callers.
const (
	// CodeOverloaded: with another request, the endpoint would exceed the bounds of its admission policy.
	CodeOverloaded = "overloaded"
	// CodeLeaving: the endpoint is draining and accepts no new work.
	CodeLeaving = "leaving"
	// CodeReclaimed: the endpoint was reclaimed while the request ran.
	CodeReclaimed = "endpointReclaimed"
	// CodeDeadline: the request could not start before its deadline.
	CodeDeadline = "deadlineExceeded"
	// CodeCancelled: the caller cancelled the request.
	CodeCancelled = "cancelled"
	// CodeEngineLost: the engine died or lost the generation.
	CodeEngineLost = "engineLost"
	// CodeUnknownGeneration: neither the sidecar nor the engine holds the generation.
	CodeUnknownGeneration = "unknownGeneration"
	// CodeGenerationClosed: the generation has ended or was cancelled, and its tokens are no longer kept.
	CodeGenerationClosed = "generationClosed"
	// CodeTokensDropped: the requested tokens are no longer, or not yet, in the buffer.
	CodeTokensDropped = "tokensDropped"
	// CodeEndpointFailed: the endpoint did not answer.
	CodeEndpointFailed = "endpointFailed"
	// CodeSuperseded: the caller resumed the generation over another connection.
	CodeSuperseded = "superseded"
	// CodeRejected: the engine refused the request and did not run it.
	CodeRejected = "rejectedByEngine"
	// CodeStoreUnavailable: the order's claim could not be written to the platform's store.
	CodeStoreUnavailable = "storeUnavailable"
	// CodeOrderInProgress: an earlier request with the order's key is still running.
	CodeOrderInProgress = "orderInProgress"
	// CodeOrderCarriedOut: an earlier request with the order's key was completed, and its answer is not kept.
	CodeOrderCarriedOut = "orderCarriedOut"
	// CodeOrderUnknown: the outcome of an earlier request with the order's key is not known.
	CodeOrderUnknown = "orderOutcomeUnknown"
	// CodeKeyReused: the idempotency key was used before for an order with other content.
	CodeKeyReused = "idempotencyKeyReused"
)

// NewRefusal returns a refusal, which is retryable only if the request did not run.
func NewRefusal(code, ran, message string) *Refusal {
	return &Refusal{Code: code, Ran: ran, Message: message, Retryable: ran == RanNo}
}

// IsOrder reports whether a call is an order, which is claimed in the store under its idempotency key before it is sent
// to an endpoint: a call with such a key and a method other than GET, HEAD and OPTIONS.
func IsOrder(c *Call) bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return c.IdempotencyKey != ""
}

// EndToEndHeaders converts h to headers of the inner protocol, without the hop-by-hop headers and Content-Length. The
// keys of h must be in canonical form.
func EndToEndHeaders(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		if connectionHeaders[name] {
			continue
		}
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

// connectionHeaders are the headers that apply to one connection or to the framing of one message and are not
// forwarded.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}
