package toucanentry

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanapi"
	"toucanport/toucanlimit"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanwire"
)

// Error codes of the entry itself. Callers also receive the refusal codes of toucanwire.
const (
	codeBadRequest     = "badRequest"
	CodeBadKey         = "invalidKey"
	CodeUnknownModel   = "unknownModel"
	CodeUnknownService = "unknownService"
	CodeNotFound       = "notFound"
	codeTooLarge       = "bodyTooLarge"
	CodeLimited        = "workspaceLimit"
	CodeNoEndpoint     = "noEndpoint"
	codeInternal       = "internal"
)

// headerRequestID is the answer header that holds the request ID; every answer has it.
const headerRequestID = "X-Request-Id"

// failure is an error with the HTTP status, body and headers of the answer that reports it to the caller.
type failure struct {
	status     int
	body       toucanapi.Error
	retryAfter time.Duration
	// orderAbsent is true if it is certain that no request with the order's idempotency key has run.
	orderAbsent bool
}

// Error implements error.
func (f *failure) Error() string { return f.body.Code + ": " + f.body.Message }

func newFailure(status int, code, message string) *failure {
	return &failure{status: status, body: toucanapi.Error{Code: code, Message: message, Ran: toucanwire.RanNo}}
}

func badRequest(err error) *failure {
	return newFailure(http.StatusBadRequest, codeBadRequest, err.Error())
}

// assignRequestID is a middleware that sets a random request ID in the answer's headers.
func (e *Entry) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		var b [12]byte
		for i := range b {
			b[i] = byte(rand.Uint32())
		}
		c.Response().Header().Set(headerRequestID, hex.EncodeToString(b[:]))
		return next(c)
	}
}

func requestID(c *echo.Context) string { return c.Response().Header().Get(headerRequestID) }

type workspaceHandler func(c *echo.Context, w toucansettings.Workspace) error

// authenticated passes the workspace of the caller's key to next, and refuses requests without a valid key. It also
// counts the request's body against the body limits.
func (e *Entry) authenticated(next workspaceHandler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key, ok := toucanapi.BearerKey(c.Request().Header.Get("Authorization"))
		if !ok {
			return newFailure(http.StatusUnauthorized, CodeBadKey, "send a workspace key as 'Authorization: Bearer KEY'")
		}
		w, ok := e.cfg.Settings.Tree().WorkspaceByKey(key)
		if !ok {
			return newFailure(http.StatusUnauthorized, CodeBadKey, "the workspace key is not valid")
		}
		e.connections.markServing(c.Request().Context())
		defer e.poolBody(c, WorkspaceKey(w))()
		defer clearWriteDeadline(c)
		return next(c, w)
	}
}

// handleError counts a failed request and writes err as a JSON error, unless the answer has already started.
func (e *Entry) handleError(c *echo.Context, err error) {
	f := e.asFailure(err)
	e.callers.Refused(f.body.Code, f.body.Ran)
	if resp, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && resp.Committed {
		return
	}
	if f.status >= http.StatusInternalServerError && f.body.Code == codeInternal {
		e.log.Error("request failed", "requestId", requestID(c), "error", err.Error())
	}
	if f.retryAfter > 0 {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(f.retryAfter))
	}
	f.body.RequestID = requestID(c)
	f.body.Type = errorType(f.status)
	_ = c.JSON(f.status, toucanapi.ErrorBody{Error: f.body})
}

func (e *Entry) asFailure(err error) *failure {
	var f *failure
	var badField *toucanapi.BadRequestError
	var limited *toucanlimit.Error
	var none *toucanroute.NoEndpointError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &badField):
		return badRequest(badField)
	case errors.Is(err, toucanapi.ErrBodyTooLarge):
		return newFailure(http.StatusRequestEntityTooLarge, codeTooLarge, err.Error())
	case errors.As(err, &limited):
		f := newFailure(http.StatusTooManyRequests, CodeLimited, limited.Error())
		f.retryAfter, f.body.Retryable = limited.RetryAfter, true
		return f
	case errors.As(err, &none):
		f := newFailure(http.StatusServiceUnavailable, CodeNoEndpoint, none.Error())
		f.retryAfter, f.body.Retryable = none.RetryAfter, true
		return f
	}
	return echoFailure(err)
}

func echoFailure(err error) *failure {
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) {
		switch coder.StatusCode() {
		case http.StatusNotFound:
			return newFailure(http.StatusNotFound, CodeNotFound, "there is nothing at this path")
		case http.StatusMethodNotAllowed:
			return newFailure(http.StatusMethodNotAllowed, "methodNotAllowed", "the path does not take this method")
		}
	}
	return newFailure(http.StatusInternalServerError, codeInternal, "the request could not be served")
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// retryAfterSeconds formats d for the Retry-After header. The header has whole seconds, so d is rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
