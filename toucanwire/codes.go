package toucanwire

import "net/http"

// What a refusal says about whether the request ran. RanNo is only said on proof.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
	RanPartly  = "partly"
)

// Codes of refusals between processes and to callers.
const (
	// CodeOverloaded: the endpoint's queue would not keep its bounds.
	CodeOverloaded = "overloaded"
	// CodeLeaving: the endpoint takes no new work.
	CodeLeaving = "leaving"
	// CodeReclaimed: the endpoint was reclaimed while the request ran.
	CodeReclaimed = "endpointReclaimed"
	// CodeDeadline: the request could not start before its deadline.
	CodeDeadline = "deadlineExceeded"
	// CodeCancelled: the caller cancelled.
	CodeCancelled = "cancelled"
	// CodeEngineLost: the engine died or lost the generation.
	CodeEngineLost = "engineLost"
	// CodeUnknownGeneration: neither sidecar nor engine knows the generation.
	CodeUnknownGeneration = "unknownGeneration"
	// CodeGenerationClosed: the generation has ended or was cancelled, and its tokens are gone.
	CodeGenerationClosed = "generationClosed"
	// CodeTokensDropped: the asked tokens are no longer, or not yet, in the buffer.
	CodeTokensDropped = "tokensDropped"
	// CodeEndpointFailed: the endpoint did not answer.
	CodeEndpointFailed = "endpointFailed"
	// CodeSuperseded: the caller goes on with the generation over another connection.
	CodeSuperseded = "superseded"
	// CodeRejected: the engine does not take the request as it is.
	CodeRejected = "rejectedByEngine"
	// CodeStoreUnavailable: the platform's store did not take the order's claim.
	CodeStoreUnavailable = "storeUnavailable"
	// CodeOrderInProgress: an earlier request with the order's key is at work.
	CodeOrderInProgress = "orderInProgress"
	// CodeOrderCarriedOut: an earlier request with the key was carried out, and its answer is not kept.
	CodeOrderCarriedOut = "orderCarriedOut"
	// CodeOrderUnknown: what became of an earlier request with the key is not known.
	CodeOrderUnknown = "orderOutcomeUnknown"
	// CodeKeyReused: the key belongs to an order with another content.
	CodeKeyReused = "idempotencyKeyReused"
)

// NewRefusal returns a refusal. One of a request that did not run may be retried.
func NewRefusal(code, ran, message string) *Refusal {
	return &Refusal{Code: code, Ran: ran, Message: message, Retryable: ran == RanNo}
}

// IsOrder reports whether a call is claimed under its key before an endpoint sees it.
func IsOrder(c *Call) bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return c.IdempotencyKey != ""
}

// HeadersOf returns h in the form of the inner protocol, without the headers that belong to one connection.
func HeadersOf(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		if connectionHeaders[name] {
			continue
		}
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

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
