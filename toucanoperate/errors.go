package toucanoperate

import (
	"net/http"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucandocument"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanstore"
)

var errMalformed = errors.New("malformed request")

// changeError adds the id of a change to the error that the change caused.
type changeError struct {
	id  string
	err error
}

func (e *changeError) Error() string { return e.err.Error() }

func (e *changeError) Unwrap() error { return e.err }

// errorMapping holds the HTTP status and the code of the answer to an error that matches sentinel.
type errorMapping struct {
	sentinel error
	status   int
	code     string
}

// errorMappings are tried in order; the first match applies.
var errorMappings = []errorMapping{
	{errUnauthorized, http.StatusUnauthorized, CodeUnauthorized},
	{errForbidden, http.StatusForbidden, CodeForbidden},
	{errMalformed, http.StatusBadRequest, CodeInvalid},
	{toucansettings.ErrPath, http.StatusBadRequest, CodeInvalid},
	{toucandocument.ErrInvalid, http.StatusUnprocessableEntity, CodeInvalid},
	{toucanstore.ErrTooLarge, http.StatusUnprocessableEntity, CodeInvalid},
	{toucanrevision.ErrNoTable, http.StatusNotFound, CodeNotFound},
	{toucanchange.ErrConflict, http.StatusConflict, CodeConflict},
	{toucanchange.ErrBaseTooOld, http.StatusConflict, CodeBaseTooOld},
	{toucanchange.ErrRefused, http.StatusConflict, CodeRefused},
	{toucanchange.ErrStoreDown, http.StatusServiceUnavailable, CodeStoreDown},
	{toucanchange.ErrStoreBehind, http.StatusServiceUnavailable, CodeStoreDown},
	{toucanchange.ErrOutcomeUnknown, http.StatusGatewayTimeout, CodeOutcomeUnknown},
}

func (s *Server) handleError(c *echo.Context, err error) {
	status, body := mapError(err)
	if status >= http.StatusInternalServerError {
		s.cfg.Log.Warn("operator's request failed", "path", c.Request().URL.Path, "error", err.Error())
	}
	_ = c.JSON(status, ErrorBody{Error: body})
}

// mapError returns the HTTP status and the body of the answer to err.
func mapError(err error) (int, Error) {
	body := Error{Code: CodeInternal, Message: err.Error()}
	var conflict *toucanchange.ConflictError
	if errors.As(err, &conflict) {
		body.Paths = conflict.Paths
	}
	var change *changeError
	if errors.As(err, &change) {
		body.ChangeID = change.id
	}
	for _, m := range errorMappings {
		if errors.Is(err, m.sentinel) {
			body.Code = m.code
			return m.status, body
		}
	}
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) && coder.StatusCode() == http.StatusNotFound {
		body.Code = CodeNotFound
		return http.StatusNotFound, body
	}
	return http.StatusInternalServerError, body
}
