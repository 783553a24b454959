package toucanstop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucantraffic"
)

// TestAdmitsWhileStopping checks which requests a server that stops sends to an endpoint: before callers can know of the stop, and after.
func TestAdmitsWhileStopping(t *testing.T) {
	now := time.Now()
	until := now.Add(5 * time.Second)
	tests := []struct {
		name     string
		kind     toucantraffic.Kind
		deadline time.Duration
		// early and late are the admissions before and after the arrivals of new connections have ended.
		early, late Admission
	}{
		{"order that ends in time", toucantraffic.AtMostOnce, 5 * time.Second, AdmittedDeadline, AdmittedDeadline},
		{"order with a later deadline", toucantraffic.AtMostOnce, 6 * time.Second, "", ""},
		{"read with a later deadline", toucantraffic.Idempotent, 6 * time.Second, AdmittedPace, ""},
		{"short stream that ends in time", toucantraffic.Stream, 5 * time.Second, AdmittedDeadline, AdmittedDeadline},
		{"short stream with a later deadline", toucantraffic.Stream, 6 * time.Second, AdmittedPace, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			route := toucantraffic.Route{Kind: tc.kind, Goal: 1500 * time.Millisecond}
			r := Request{Kind: tc.kind, Deadline: now.Add(tc.deadline), Expected: Expected(route, nil, 3)}
			assert.Equal(t, Times{Began: now, Until: until, Arrivals: now.Add(time.Second)}.Admit(now, r), tc.early)
			assert.Equal(t, Times{Began: now, Until: until, Arrivals: now.Add(-time.Second)}.Admit(now, r), tc.late)
			assert.Equal(t, Times{Began: now}.Admit(now, r), AdmittedNoBound)
		})
	}
}
