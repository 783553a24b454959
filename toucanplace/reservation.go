package toucanplace

import (
	"time"
)

// Reservation is the capacity of an endpoint that is reserved for one request or backup. The owner calls Done to
// release it.
type Reservation struct {
	Endpoint Endpoint
	// Choice describes the selection of the endpoint; zero for backups and reservations by ReserveForced.
	Choice Choice
	placer *Placer
	state  *endpointState
	use    Use
	done   bool
	// sentAt is when a request without a model engine was placed or, once it was, last sent, and ahead how many requests were at the
	// endpoint then. It is zero for others.
	sentAt time.Time
	ahead  int
	// toSend is true while the request is in the endpoint's window and was not sent.
	toSend bool
}

// Choice describes how an endpoint was selected. Costs have no unit; the endpoint with the lowest cost is selected.
type Choice struct {
	// Candidates is the number of endpoints with enough capacity.
	Candidates int
	Cost       float64
	// Next is the ID of the endpoint with the second lowest cost, NextCost. It is empty if there was only one
	// candidate.
	Next     string
	NextCost float64
	// Unread is the number of prompt tokens that were not yet processed at the endpoint.
	Unread int
	// Pace says how the pace of endpoints decided; zero if they are not uneven.
	Pace PaceChoice
	// Cold is the number of endpoints that were left out because of their limits while they are cold.
	Cold int
}

// add adds a candidate and reports whether it has the lowest cost so far. best is the ID of the previous best.
func (c *Choice) add(id, best string, cost float64) bool {
	c.Candidates++
	if c.Candidates == 1 || cost < c.Cost {
		c.Next, c.NextCost = best, c.Cost
		c.Cost = cost
		return true
	}
	if c.Next == "" || cost < c.NextCost {
		c.Next, c.NextCost = id, cost
	}
	return false
}

// reserve adds the load of a request to an endpoint and returns the reservation. The caller holds p.mu.
func (p *Placer) reserve(s *endpointState, d Demand) *Reservation {
	u := Use{Requests: 1, Tokens: d.Tokens(), Unread: d.Prompt, Held: d.Made, Exposed: d.exposed()}
	s.own = s.own.plus(u)
	p.usesChanged(u)
	r := &Reservation{Endpoint: s.Endpoint, placer: p, state: s, use: u, toSend: s.ColdLimit > 0}
	if r.toSend {
		s.cold.window.Reserve()
	}
	return r
}

// usesChanged wakes the waiters on changed, so that peers receive the new load at once. It ignores requests without
// tokens: they are too frequent and too short to report each one.
func (p *Placer) usesChanged(u Use) {
	if u.Tokens > 0 {
		broadcast(&p.changed)
	}
}

// MarkPromptRead records that the first part of the answer arrived, which means that the endpoint has processed the
// prompt.
func (r *Reservation) MarkPromptRead() {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.markPromptRead()
}

// markPromptRead is MarkPromptRead for callers that hold p.mu.
func (r *Reservation) markPromptRead() {
	if r.done || r.use.Unread == 0 {
		return
	}
	r.state.own.Unread -= r.use.Unread
	r.state.own.Held += r.use.Unread
	r.use.Held += r.use.Unread
	r.use.Unread = 0
	r.placer.usesChanged(r.use)
}

// Resize updates the memory, in tokens, that the request holds now and its estimate at the end of the answer. It does not
// trigger a report to peers; the next one includes it.
func (r *Reservation) Resize(held, tokens int) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.done {
		return
	}
	r.state.own.Tokens += tokens - r.use.Tokens
	r.state.own.Held += held - r.use.Held
	r.use.Tokens, r.use.Held = tokens, held
}

// MarkSafe records that the request can't become late by a pause any more: it is late already, or ends soon.
func (r *Reservation) MarkSafe() {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.done || r.use.Exposed == 0 {
		return
	}
	r.state.own.Exposed -= r.use.Exposed
	r.use.Exposed = 0
}

// beginService records that the request is sent, so that its wait before is not taken for its service. The caller holds p.mu.
func (r *Reservation) beginService(now time.Time) {
	if r.sentAt.IsZero() || r.done {
		return
	}
	r.sentAt = now
	r.ahead = min(r.ahead, max(r.placer.total(now, r.state).Requests-1, 0))
}

// Outcome is the result of a request at its endpoint.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeGood means that the endpoint itself answered.
	OutcomeGood Outcome = iota
	// OutcomeFailed is a failure that is attributed to the endpoint.
	OutcomeFailed
	// OutcomeUnreachable is a connection that could not be made, or that was closed without an answer.
	OutcomeUnreachable
	// OutcomeNeutral is an end that does not depend on the endpoint, such as a caller that disconnected.
	OutcomeNeutral
)

// Done releases the reserved capacity and records the outcome of the request. Later calls do nothing.
func (r *Reservation) Done(now time.Time, o Outcome) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.releaseUnsent()
	r.state.own = r.state.own.minus(r.use)
	switch o {
	case OutcomeGood:
		r.state.recordOutcome(now, false)
		if !r.sentAt.IsZero() {
			r.state.service = r.state.service.With(now.Sub(r.sentAt), r.ahead, r.state.Slots)
		}
	case OutcomeFailed:
		r.state.recordOutcome(now, true)
	case OutcomeUnreachable:
		r.state.recordOutcome(now, true)
		r.state.suspect(now)
	case OutcomeNeutral:
	}
	broadcast(&r.placer.freed)
	r.placer.usesChanged(r.use)
}

// ReserveForced reserves capacity on an endpoint regardless of its load, for a request whose memory the endpoint still
// holds.
func (p *Placer) ReserveForced(e Endpoint, d Demand) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[e.ID]
	if !ok {
		s = &endpointState{Endpoint: e, key: e.Key()}
	}
	r := p.reserve(s, d)
	r.markPromptRead()
	return r
}
