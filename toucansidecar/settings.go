package toucansidecar

import (
	"context"
	"strings"
	"time"

	"toucanport/toucanadmit"
	"toucanport/toucansettings"
)

// admissionSettings is the part of a service's settings that determines the admission policy.
type admissionSettings struct {
	policy          toucansettings.Policy
	latencyPriority toucansettings.LatencyPriority
	firstToken      time.Duration
	interToken      time.Duration
}

func admissionSettingsOf(s toucansettings.Service) admissionSettings {
	return admissionSettings{policy: s.Policy, latencyPriority: s.Weigh, firstToken: s.FirstToken, interToken: s.InterToken}
}

// newPolicy returns the policy for the settings; the default is toucansettings.PolicyToucan.
func (r admissionSettings) newPolicy() toucanadmit.Policy {
	cfg := toucanadmit.Config{Weigh: r.latencyPriority, FirstToken: r.firstToken, InterToken: r.interToken}
	if r.policy == toucansettings.PolicyNaive {
		return toucanadmit.NewNaive(cfg)
	}
	return toucanadmit.NewToucan(cfg)
}

// followSettings replaces the admission policy whenever the service's admission settings change.
func (s *Sidecar) followSettings(ctx context.Context) {
	followed := admissionSettings{}
	for {
		changed := s.cfg.Replica.Changed()
		if r, ok := s.currentAdmissionSettings(); ok && r != followed {
			followed = r
			s.schedule.Replace(r.newPolicy())
			s.log.Info("admission policy in force", "policy", string(r.policy), "weigh", string(r.latencyPriority))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) currentAdmissionSettings() (admissionSettings, bool) {
	team, name, ok := strings.Cut(s.cfg.Service, "/")
	if !ok {
		return admissionSettings{}, false
	}
	service, ok := s.cfg.Replica.Tree().Service(team, name)
	return admissionSettingsOf(service), ok
}

// refusesNewWork reports whether the endpoint refuses new work, because Drain was called or the current settings mark
// the endpoint as draining. Entries send it no requests then, but a request that was delayed in a stalled link can
// arrive long after that.
func (s *Sidecar) refusesNewWork() bool {
	return s.drainCalled.Load() || s.drainingInSettings()
}

func (s *Sidecar) drainingInSettings() bool {
	team, service, _ := strings.Cut(s.cfg.Service, "/")
	for _, ep := range s.cfg.Replica.Tree().Endpoints(team, service) {
		if ep.Draining && team+"/"+ep.Name == s.cfg.Endpoint {
			return true
		}
	}
	return false
}
