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

// transportFunc is a RoundTripper from a function.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// resending sends every order to its endpoint twice.
func resending(next http.RoundTripper) http.RoundTripper {
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

// splicing continues a broken generation with the tokens of a second one.
type splicing struct {
	toucansidecar.Engine
	mu       sync.Mutex
	requests map[string]toucanengine.Request
}

func newSplicing(next toucansidecar.Engine) toucansidecar.Engine {
	return &splicing{Engine: next, requests: make(map[string]toucanengine.Request)}
}

func (s *splicing) Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error) {
	s.mu.Lock()
	s.requests[r.ID] = r
	s.mu.Unlock()
	return s.Engine.Generate(ctx, r)
}

func (s *splicing) Resume(ctx context.Context, id string, from int) (toucanengine.Stream, error) {
	s.mu.Lock()
	r := s.requests[id]
	s.mu.Unlock()
	r.ID = id + "-again"
	stream, err := s.Engine.Generate(ctx, r)
	return &skipping{Stream: stream, from: from}, err
}

// skipping leaves out the batches before an index.
type skipping struct {
	toucanengine.Stream
	from int
}

func (s *skipping) Next() (toucanengine.Batch, error) {
	for {
		b, err := s.Stream.Next()
		if err != nil || b.FirstIndex >= s.from {
			return b, err
		}
	}
}

// lying gives a request to the engine and then says that the engine refused it.
type lying struct{ toucansidecar.Engine }

func newLying(next toucansidecar.Engine) toucansidecar.Engine { return lying{next} }

func (l lying) Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error) {
	stream, err := l.Engine.Generate(ctx, r)
	if err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return nil, errors.Wrap(toucanengine.ErrRejected, "the engine is full")
}

// unbound reads every generation with the key of the workspace that started it.
type unbound struct {
	next http.RoundTripper
	mu   sync.Mutex
	keys map[string]string
}

func newUnbound(next http.RoundTripper) http.RoundTripper {
	return &unbound{next: next, keys: make(map[string]string)}
}

func (u *unbound) RoundTrip(r *http.Request) (*http.Response, error) {
	u.mu.Lock()
	key, ok := u.keys[strings.TrimPrefix(r.URL.Path, "/v1/generations/")]
	u.mu.Unlock()
	if ok {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", key)
	}
	resp, err := u.next.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost {
		u.mu.Lock()
		u.keys[resp.Header.Get("Toucan-Generation-Id")] = r.Header.Get("Authorization")
		u.mu.Unlock()
	}
	return resp, err
}

// staying is a system that takes no notice of draining endpoints.
func staying(team toucansettings.Team) toucansettings.Team {
	for i := range team.Endpoints {
		team.Endpoints[i].Draining = false
	}
	return team
}

// TestCheckerCatchesBrokenVariants shows that the checker sees what it is there for.
func TestCheckerCatchesBrokenVariants(t *testing.T) {
	tests := []struct {
		name, line, violation string
		cfg                   toucanrig.Config
	}{
		{"resends", "whole cutLink@1s", "carried out 2 times", toucanrig.Config{WrapService: resending}},
		{"splices", "truthful cutEngine@400ms", "not those of one generation", toucanrig.Config{WrapEngine: newSplicing}},
		{"drops the MAC check", "whole cutLink@1s", "another workspace got", toucanrig.Config{WrapTransport: newUnbound}},
		{"ignores leaving", "whole drain@1s", "after it was leaving", toucanrig.Config{WrapSettings: staying}},
		{"lies about ran", "truthful cutLink@1s", "but it ran", toucanrig.Config{WrapEngine: newLying}},
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
