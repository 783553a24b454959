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
	slow := r.GetPaces().GetSlow()
	s.paces.ObserveSlow(now, slow[:min(len(slow), maxPaces)])
	s.paces.ObservePeer(now, r.GetSender(), learned)
}

// reportedPaces returns what the next report says of paces; nil for nothing. The paces themselves are paceInterval apart. The caller must
// hold s.mu.
func (s *SharedState) reportedPaces(now time.Time) *Paces {
	out := &Paces{Slow: s.paces.SlowNow(now, maxPaces)}
	if now.Sub(s.pacesSentAt) >= paceInterval {
		s.pacesSentAt = now
		s.addPaces(now, out)
	}
	if len(out.GetEndpoints()) == 0 && len(out.GetSlowdowns()) == 0 && len(out.GetSlow()) == 0 {
		return nil
	}
	return out
}

// addPaces adds the paces that this entry has learned.
func (s *SharedState) addPaces(now time.Time, out *Paces) {
	own := s.paces.Own(now, maxPaces)
	out.Slowdowns = own.Slowdowns
	for _, p := range own.Paces {
		out.Endpoints = append(out.Endpoints, &EndpointPace{
			Endpoint:     p.Endpoint,
			AloneMicros:  uint32(p.Pace.Alone.Microseconds()),
			BesideMicros: uint32(p.Pace.Beside.Microseconds()),
		})
	}
}
