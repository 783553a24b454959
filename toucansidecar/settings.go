package toucansidecar

import (
	"context"
	"strings"
	"time"

	"toucanport/toucanadmit"
	"toucanport/toucansettings"
)

// rule is the part of a service's settings that admission follows.
type rule struct {
	policy     toucansettings.Policy
	weigh      toucansettings.LatencyPriority
	firstToken time.Duration
	interToken time.Duration
}

func ruleOf(s toucansettings.Service) rule {
	return rule{policy: s.Policy, weigh: s.Weigh, firstToken: s.FirstToken, interToken: s.InterToken}
}

// newPolicy returns the policy of a rule; a rule without one gets toucansettings.PolicyToucan.
func (r rule) newPolicy() toucanadmit.Policy {
	cfg := toucanadmit.Config{Weigh: r.weigh, FirstToken: r.firstToken, InterToken: r.interToken}
	if r.policy == toucansettings.PolicyNaive {
		return toucanadmit.NewNaive(cfg)
	}
	return toucanadmit.NewToucan(cfg)
}

// followSettings replaces the admission policy whenever the service's settings ask for another.
func (s *Sidecar) followSettings(ctx context.Context) {
	followed := rule{}
	for {
		changed := s.cfg.Spread.Changed()
		if r, ok := s.ruleInForce(); ok && r != followed {
			followed = r
			s.schedule.Replace(r.newPolicy())
			s.log.Info("admission policy in force", "policy", string(r.policy), "weigh", string(r.weigh))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) ruleInForce() (rule, bool) {
	team, name, ok := strings.Cut(s.cfg.Service, "/")
	if !ok {
		return rule{}, false
	}
	service, ok := s.cfg.Spread.Tree().Service(team, name)
	return ruleOf(service), ok
}

// turnsAway reports whether the endpoint takes no new work: the process is stopping, or the settings in force
// say that the endpoint is draining. Work that a stalled link held back may come long after its entry knew.
func (s *Sidecar) turnsAway() bool {
	return s.leaving.Load() || s.draining()
}

func (s *Sidecar) draining() bool {
	team, service, _ := strings.Cut(s.cfg.Service, "/")
	for _, ep := range s.cfg.Spread.Tree().Endpoints(team, service) {
		if ep.Draining && team+"/"+ep.Name == s.cfg.Endpoint {
			return true
		}
	}
	return false
}
