package toucanpeer

import (
	"time"

	"toucanport/toucanpace"
)

const (
	// paceInterval is the least time between two reports with paces.
	paceInterval = time.Second
	// maxPaces limits the paces in a report, about 18 B each.
	maxPaces = 8
)

// StateOption configures a SharedState.
type StateOption func(*SharedState)

// WithPaces shares what is learned of endpoints' paces with the peers.
func WithPaces(l *toucanpace.Learner) StateOption {
	return func(s *SharedState) { s.paces = l }
}

// applyPaces learns what a peer reports on paces.
func (s *SharedState) applyPaces(now time.Time, r *Report) {
	if r.GetPaces() == nil {
		return
	}
	learned := toucanpace.Learned{Slowdowns: r.GetPaces().GetSlowdowns()}
	list := r.GetPaces().GetEndpoints()
	for _, p := range list[:min(len(list), maxPaces)] {
		learned.Paces = append(learned.Paces, toucanpace.Reported{Endpoint: p.GetEndpoint(), Pace: toucanpace.Pace{
			Alone:  time.Duration(p.GetAloneMicros()) * time.Microsecond,
			Beside: time.Duration(p.GetBesideMicros()) * time.Microsecond,
		}})
	}
	s.paces.ObservePeer(now, r.GetSender(), learned)
}

// reportedPaces returns the paces for the next report; nil until paceInterval after the last ones. The caller must hold s.mu.
func (s *SharedState) reportedPaces(now time.Time) *Paces {
	if now.Sub(s.pacesSentAt) < paceInterval {
		return nil
	}
	s.pacesSentAt = now
	own := s.paces.Own(now, maxPaces)
	out := &Paces{Slowdowns: own.Slowdowns}
	for _, p := range own.Paces {
		out.Endpoints = append(out.Endpoints, &EndpointPace{
			Endpoint:     p.Endpoint,
			AloneMicros:  uint32(p.Pace.Alone.Microseconds()),
			BesideMicros: uint32(p.Pace.Beside.Microseconds()),
		})
	}
	if len(out.GetEndpoints()) == 0 && len(out.GetSlowdowns()) == 0 {
		return nil
	}
	return out
}
