package toucanplace

import (
	"time"

	"github.com/pkg/errors"
)

// ErrEvacuated means that every endpoint of a service that takes requests is in a failure domain that the operator has
// evacuated. It wraps ErrNoEndpoint.
var ErrEvacuated = errors.Wrap(ErrNoEndpoint, "every endpoint is in an evacuated failure domain")

// takesNew reports whether the endpoint takes new requests. Unlike one that drains, an evacuated endpoint keeps the
// generations that run there.
func (s *endpointState) takesNew() bool { return !s.isDraining() && !s.Evacuated }

// TakesNew reports whether an endpoint is listed and takes new requests.
func (p *Placer) TakesNew(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[id]
	return ok && s.takesNew()
}

// MayResume reports whether a generation that was stopped may go on at an endpoint. An evacuated one takes it only until
// Endpoint.ResumeUntil. An endpoint that is not listed is accepted, since only its own answer tells whether it still runs.
func (p *Placer) MayResume(now time.Time, e Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[e.ID]
	return !ok || !s.Evacuated || now.Before(s.ResumeUntil)
}
