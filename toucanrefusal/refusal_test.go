package toucanrefusal

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanstop"
	"toucanport/toucanupstream"
)

// TestOnlyUnrunRequestsMayComeBack checks, for each cause for which a request gets no endpoint or no answer, that a refusal has a
// Retry-After only if no endpoint may have run the request.
func TestOnlyUnrunRequestsMayComeBack(t *testing.T) {
	failed := errors.New("failed")
	ended := map[string]error{"running": nil, "left": context.Canceled, "stopped": toucanstop.ErrStopping, "quarantined": toucanquarantine.ErrQuarantined}
	causes := []error{
		failed, toucanplace.ErrTooLarge, toucanplace.ErrEvacuated, toucanplace.ErrNoEndpoint, toucanplace.ErrDeferred, toucanplace.ErrLimited,
		toucanplace.ErrFull, toucanstop.ErrStopping, toucanquarantine.ErrQuarantined, ErrNoRoomInTime, toucanupstream.ErrLost, toucanupstream.ErrNotSent,
	}
	for name, cause := range ended {
		ctx, cancel := context.WithCancelCause(t.Context())
		if cause != nil {
			cancel(cause)
		}
		for _, err := range causes {
			refusals := []Refusal{OfPlacement(ctx, err, true, time.Second), NewFailure("a", err).Refusal(ctx, true, time.Second)}
			for _, r := range refusals {
				assert.Equal(t, r.RetryAfter, time.Duration(0), "%s, %v: %+v", name, err, r)
				assert.Assert(t, r.Status != 503, "%s, %v: %+v", name, err, r)
			}
		}
		cancel(nil)
	}
}

// TestPlacementNamesTheReason checks what a request that no endpoint may have run is told.
func TestPlacementNamesTheReason(t *testing.T) {
	const delay = 7 * time.Second
	for _, tc := range []struct {
		err    error
		status int
		why    Reason
		later  string
	}{
		{toucanplace.ErrTooLarge, 413, ReasonTooLarge, ""},
		{toucanplace.ErrEvacuated, 503, ReasonEvacuated, "1.000"},
		{toucanplace.ErrNoEndpoint, 503, ReasonNoEndpoint, "0.300"},
		{toucanplace.ErrFull, 503, ReasonFull, "7.000"},
		{toucanplace.ErrDeferred, 503, ReasonDeferred, "7.000"},
		{toucanplace.ErrLimited, 503, ReasonLimited, "7.000"},
		{errors.Wrap(ErrNoRoomInTime, "full"), 503, ReasonHopeless, "7.000"},
		{toucanstop.ErrStopping, 503, ReasonStopping, "0.100"},
		{toucanquarantine.ErrQuarantined, 400, ReasonQuarantined, ""},
	} {
		r := OfPlacement(t.Context(), tc.err, false, delay)
		w := httptest.NewRecorder()
		r.Write(w)
		assert.Equal(t, r.Reason, tc.why)
		assert.Equal(t, w.Code, tc.status, "%s", tc.why)
		assert.Equal(t, w.Header().Get("Retry-After"), tc.later, "%s", tc.why)
	}
}
