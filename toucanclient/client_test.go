package toucanclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucanclient"
	"toucanport/toucandocument"
	"toucanport/toucanoperate"
)

// outcome is the result of one request.
type outcome struct {
	// err is the transport's error; nil when the request is answered.
	err    error
	status int
	code   string
}

var (
	accepted   = outcome{status: http.StatusOK}
	answerLost = outcome{err: io.ErrUnexpectedEOF}
	notReached = outcome{err: &net.OpError{Op: "dial", Err: errors.New("refused")}}
)

func answered(status int, code string) outcome { return outcome{status: status, code: code} }

// scriptedTransport answers requests with outcomes in order, repeating the last one, and records the ids of the changes.
type scriptedTransport struct {
	outcomes []outcome
	ids      []string
}

// RoundTrip implements http.RoundTripper.
func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var change toucanoperate.Change
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		return nil, err
	}
	s.ids = append(s.ids, change.ID)
	o := s.outcomes[min(len(s.ids), len(s.outcomes))-1]
	if o.err != nil {
		return nil, o.err
	}
	body, err := json.Marshal(toucanoperate.ErrorBody{Error: toucanoperate.Error{Code: o.code}})
	return &http.Response{StatusCode: o.status, Body: io.NopCloser(strings.NewReader(string(body))), Request: r}, err
}

// TestChangeIsSentAgainUntilSettled sends a change to a scripted entry and checks the error, the number of tries, and
// that each try has the same id.
func TestChangeIsSentAgainUntilSettled(t *testing.T) {
	unknown := answered(http.StatusGatewayTimeout, toucanoperate.CodeOutcomeUnknown)
	conflict := answered(http.StatusConflict, toucanoperate.CodeConflict)
	tooOld := answered(http.StatusConflict, toucanoperate.CodeBaseTooOld)
	invalid := answered(http.StatusUnprocessableEntity, toucanoperate.CodeInvalid)
	down := answered(http.StatusServiceUnavailable, toucanoperate.CodeStoreDown)
	for name, c := range map[string]struct {
		outcomes []outcome
		want     error
		sent     int
	}{
		"accepted":                      {[]outcome{accepted}, nil, 1},
		"answer lost, then accepted":    {[]outcome{answerLost, accepted}, nil, 2},
		"unknown, then accepted":        {[]outcome{unknown, accepted}, nil, 2},
		"answers always lost":           {[]outcome{answerLost}, toucanchange.ErrOutcomeUnknown, 4},
		"always unknown":                {[]outcome{unknown}, toucanchange.ErrOutcomeUnknown, 4},
		"never reached":                 {[]outcome{notReached}, toucanclient.ErrNotReached, 4},
		"lost, then never reached":      {[]outcome{answerLost, notReached}, toucanchange.ErrOutcomeUnknown, 4},
		"conflict":                      {[]outcome{conflict}, toucanchange.ErrConflict, 1},
		"lost, then conflict":           {[]outcome{answerLost, conflict}, toucanchange.ErrConflict, 2},
		"base too old":                  {[]outcome{tooOld}, toucanchange.ErrBaseTooOld, 1},
		"lost, then base too old":       {[]outcome{answerLost, tooOld}, toucanchange.ErrOutcomeUnknown, 2},
		"store down":                    {[]outcome{down}, toucanchange.ErrStoreDown, 1},
		"lost, then store down":         {[]outcome{answerLost, down}, toucanchange.ErrOutcomeUnknown, 2},
		"lost, then invalid":            {[]outcome{answerLost, invalid}, toucanchange.ErrOutcomeUnknown, 2},
		"invalid":                       {[]outcome{invalid}, toucandocument.ErrInvalid, 1},
		"not reached, then store down":  {[]outcome{notReached, down}, toucanchange.ErrStoreDown, 2},
		"not reached, then base is old": {[]outcome{notReached, tooOld}, toucanchange.ErrBaseTooOld, 2},
	} {
		t.Run(name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				s := &scriptedTransport{outcomes: c.outcomes}
				client := toucanclient.New("10.0.0.5:8081", "c", toucanclient.WithTransport(s))
				_, err := client.Change(context.Background(), toucanoperate.Change{ID: "mine"})
				assert.ErrorIs(t, err, c.want)
				assert.Equal(t, len(s.ids), c.sent)
				for _, id := range s.ids {
					assert.Equal(t, id, "mine")
				}
			})
		})
	}
}
