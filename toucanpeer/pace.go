package toucanpeer

import (
	"time"

	"toucanport/toucanpace"
)

const (
	// paceInterval is the least time between two reports with paces.
	paceInterval = time.Second
	// maxPaces limits the paces in a report, about 18 B each.
	maxPaces = 16
)

// StateOption configures a SharedState.
type StateOption func(*SharedState)

// WithPaces shares what is learned of endpoints' paces with the peers.
func WithPaces(l *toucanpace.Learner) StateOption {
	return func(s *SharedState) { s.paces = l }
}

// applyPaces learns what a peer reports on paces.
func (s *SharedState) applyPaces(now time.Time, r *Report) {
	if len(r.GetPaces()) == 0 {
		return
	}
	paces := make([]toucanpace.Reported, 0, min(len(r.GetPaces()), maxPaces))
	for _, p := range r.GetPaces()[:min(len(r.GetPaces()), maxPaces)] {
		paces = append(paces, toucanpace.Reported{Endpoint: p.GetEndpoint(), Pace: toucanpace.Pace{
			Alone:  time.Duration(p.GetAloneMicros()) * time.Microsecond,
			Beside: time.Duration(p.GetBesideMicros()) * time.Microsecond,
		}})
	}
	s.paces.ObservePeer(now, r.GetSender(), paces)
}

// reportedPaces returns the paces for the next report; nil until paceInterval after the last ones. The caller must hold s.mu.
func (s *SharedState) reportedPaces(now time.Time) []*EndpointPace {
	if now.Sub(s.pacesSentAt) < paceInterval {
		return nil
	}
	s.pacesSentAt = now
	var out []*EndpointPace
	for _, p := range s.paces.Own(now, maxPaces) {
		out = append(out, &EndpointPace{
			Endpoint:     p.Endpoint,
			AloneMicros:  uint32(p.Pace.Alone.Microseconds()),
			BesideMicros: uint32(p.Pace.Beside.Microseconds()),
		})
	}
	return out
}
