package toucanfault_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanengine"
	"toucanport/toucanfault"
	"toucanport/toucanrig"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
)

// transportFunc is a function that implements http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// sendTwice returns a transport that sends every order to its endpoint twice.
func sendTwice(next http.RoundTripper) http.RoundTripper {
	return transportFunc(func(r *http.Request) (*http.Response, error) {
		resp, err := next.RoundTrip(r.Clone(r.Context()))
		if err != nil {
			return nil, err
		}
		if err := resp.Body.Close(); err != nil {
			return nil, err
		}
		return next.RoundTrip(r)
	})
}

// splicingEngine wraps an engine so that it resumes a broken generation with the tokens of a second generation.
type splicingEngine struct {
	toucansidecar.Engine
	mu       sync.Mutex
	requests map[string]toucanengine.Request
}

func newSplicingEngine(next toucansidecar.Engine) toucansidecar.Engine {
	return &splicingEngine{Engine: next, requests: make(map[string]toucanengine.Request)}
}

func (s *splicingEngine) Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error) {
	s.mu.Lock()
	s.requests[r.ID] = r
	s.mu.Unlock()
	return s.Engine.Generate(ctx, r)
}

func (s *splicingEngine) Resume(ctx context.Context, id string, from int) (toucanengine.Stream, error) {
	s.mu.Lock()
	r := s.requests[id]
	s.mu.Unlock()
	r.ID = id + "-again"
	stream, err := s.Engine.Generate(ctx, r)
	return &skippingStream{Stream: stream, from: from}, err
}

// skippingStream drops the batches that begin before the index from.
type skippingStream struct {
	toucanengine.Stream
	from int
}

func (s *skippingStream) Next() (toucanengine.Batch, error) {
	for {
		b, err := s.Stream.Next()
		if err != nil || b.FirstIndex >= s.from {
			return b, err
		}
	}
}

// misreportingEngine lets the engine run a request and then returns that the engine rejected it.
type misreportingEngine struct{ toucansidecar.Engine }

func newMisreportingEngine(next toucansidecar.Engine) toucansidecar.Engine {
	return misreportingEngine{next}
}

func (m misreportingEngine) Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error) {
	stream, err := m.Engine.Generate(ctx, r)
	if err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return nil, errors.Wrap(toucanengine.ErrRejected, "the engine is full")
}

// ownerKeyTransport replaces the key of every read of a generation by the key of the workspace that started it, as if
// generation ids were not bound to workspaces.
type ownerKeyTransport struct {
	next http.RoundTripper
	mu   sync.Mutex
	keys map[string]string
}

func newOwnerKeyTransport(next http.RoundTripper) http.RoundTripper {
	return &ownerKeyTransport{next: next, keys: make(map[string]string)}
}

func (o *ownerKeyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	o.mu.Lock()
	key, ok := o.keys[strings.TrimPrefix(r.URL.Path, "/v1/generations/")]
	o.mu.Unlock()
	if ok {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", key)
	}
	resp, err := o.next.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost {
		o.mu.Lock()
		o.keys[resp.Header.Get("Toucan-Generation-Id")] = r.Header.Get("Authorization")
		o.mu.Unlock()
	}
	return resp, err
}

// ignoreDraining removes the draining marks from the settings, so that the system ignores drains.
func ignoreDraining(team toucansettings.Team) toucansettings.Team {
	for i := range team.Endpoints {
		team.Endpoints[i].Draining = false
	}
	return team
}

// TestCheckerCatchesBrokenVariants checks that each variant of the system with a known defect leads to the violation for
// that defect, and that the unmodified system passes the same case.
func TestCheckerCatchesBrokenVariants(t *testing.T) {
	tests := []struct {
		name, line, violation string
		cfg                   toucanrig.Config
	}{
		{"resends", "whole cutLink@1s", "carried out 2 times", toucanrig.Config{WrapService: sendTwice}},
		{"splices", "truthful cutEngine@400ms", "not those of a single generation", toucanrig.Config{WrapEngine: newSplicingEngine}},
		{"skips the MAC check", "whole cutLink@1s", "another workspace got", toucanrig.Config{WrapTransport: newOwnerKeyTransport}},
		{"ignores draining", "whole drain@1s", "after it began to drain", toucanrig.Config{WrapSettings: ignoreDraining}},
		{"misreports ran", "truthful cutLink@1s", "but it ran", toucanrig.Config{WrapEngine: newMisreportingEngine}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := toucanfault.ParseCase(test.line)
			assert.NilError(t, err)
			assert.DeepEqual(t, runCase(t, c, toucanrig.Config{}), []string(nil))
			violations := runCase(t, c, test.cfg)
			found := slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, test.violation) })
			assert.Assert(t, found, "violations: %q", violations)
		})
	}
}
