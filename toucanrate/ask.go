package toucanrate

import (
	"context"
	"time"
)

const (
	// askTimeout is how long an entry waits for the grant of a slot.
	askTimeout = 50 * time.Millisecond
	// silentPause is how long an entry does not ask again after a grant did not arrive.
	silentPause = 200 * time.Millisecond
	// maxPending bounds the asks in progress.
	maxPending = 256
)

// Ask is a request for a slot in which a request may be sent to a limited endpoint.
type Ask struct {
	// Serial identifies the ask in its grant; zero if it wants none.
	Serial uint64
	// Patience is how long the request can wait for its slot.
	Patience time.Duration
	// Word is what the asking entry knows of the limit.
	Word Word
	// Spent is true if the request is sent in any case. It takes the next slot, and there is no grant.
	Spent bool
}

// Grant is the reply to an ask.
type Grant struct {
	Serial  uint64
	Granted bool
	// Wait is the time until the granted slot begins.
	Wait time.Duration
	// Next is the time until the next slot after this grant begins.
	Next time.Duration
}

// Take takes a slot of an endpoint that begins within patience, and returns the time until it begins. It returns true for an
// endpoint without a limit, and false if there is no such slot.
func (l *Limits) Take(ctx context.Context, endpoint uint64, patience time.Duration) (time.Duration, bool) {
	if !l.hasLimits.Load() {
		return 0, true
	}
	now := time.Now()
	l.mu.Lock()
	w := l.known[endpoint]
	if !w.Limited {
		l.mu.Unlock()
		return 0, true
	}
	granter := l.granter(now, endpoint)
	if granter == l.name {
		defer l.mu.Unlock()
		g := l.grant(now, endpoint, patience)
		l.nextSlot[endpoint] = now.Add(g.Next)
		return g.Wait, g.Granted
	}
	if len(l.pending) >= maxPending {
		l.mu.Unlock()
		return 0, false
	}
	l.serial++
	a := Ask{Serial: l.serial, Patience: patience, Word: w}
	grants := make(chan Grant, 1)
	l.pending[a.Serial] = grants
	l.asking[endpoint]++
	peers := l.peers
	l.mu.Unlock()
	peers.Ask(granter, a)
	g, ok := awaitGrant(ctx, grants)
	l.endAsk(a, g, ok)
	return g.Wait, g.Granted
}

// awaitGrant waits for a grant. It returns false if none arrives in time.
func awaitGrant(ctx context.Context, grants <-chan Grant) (Grant, bool) {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case g := <-grants:
		return g, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return Grant{}, false
}

// endAsk records what the reply to an ask says about the next slot.
func (l *Limits) endAsk(a Ask, g Grant, answered bool) {
	now := time.Now()
	next := g.Next
	if !answered {
		next = silentPause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, a.Serial)
	endpoint := a.Word.Endpoint
	if l.asking[endpoint]--; l.asking[endpoint] <= 0 {
		delete(l.asking, endpoint)
	}
	if l.known[endpoint].Limited {
		l.nextSlot[endpoint] = now.Add(next)
	}
}

// Spend takes the next slot of an endpoint for a request that can't wait, such as the one that resumes a generation.
func (l *Limits) Spend(endpoint uint64) {
	if !l.hasLimits.Load() {
		return
	}
	now := time.Now()
	l.mu.Lock()
	w := l.known[endpoint]
	if !w.Limited {
		l.mu.Unlock()
		return
	}
	granter := l.granter(now, endpoint)
	if granter == l.name {
		l.scheduleOf(now, endpoint).spend(now)
	}
	peers := l.peers
	l.mu.Unlock()
	if granter != l.name {
		peers.Ask(granter, Ask{Word: w, Spent: true})
	}
}

// Answer handles an ask of a peer. It returns false if the ask wants no grant.
func (l *Limits) Answer(now time.Time, a Ask) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(a.Word)
	endpoint := a.Word.Endpoint
	if !l.known[endpoint].Limited {
		return Grant{Serial: a.Serial, Granted: true}, !a.Spent
	}
	if l.granter(now, endpoint) != l.name {
		// The peer hears other entries than this one does.
		return Grant{Serial: a.Serial, Next: silentPause}, !a.Spent
	}
	if a.Spent {
		l.scheduleOf(now, endpoint).spend(now)
		return Grant{}, false
	}
	g := l.grant(now, endpoint, a.Patience)
	g.Serial = a.Serial
	return g, true
}

// grant gives out the next slot of an endpoint if it begins within patience. The caller holds l.mu.
func (l *Limits) grant(now time.Time, endpoint uint64, patience time.Duration) Grant {
	s := l.scheduleOf(now, endpoint)
	wait, ok := s.reserve(now, patience)
	return Grant{Granted: ok, Wait: wait, Next: s.wait(now)}
}

// Deliver passes a grant on to the request that asked for it. A grant that comes too late is dropped.
func (l *Limits) Deliver(g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if grants, ok := l.pending[g.Serial]; ok {
		delete(l.pending, g.Serial)
		grants <- g
	}
}
