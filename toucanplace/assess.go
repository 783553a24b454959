package toucanplace

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// LeftOut is why an endpoint can't take a request now.
type LeftOut int

// Reasons to leave an endpoint out, in the order in which they are checked.
const (
	// LeftOutNone means that the endpoint can take the request.
	LeftOutNone LeftOut = iota
	// LeftOutDraining means that it takes no new requests.
	LeftOutDraining
	// LeftOutOtherCell means that it is assigned to other entries, and this entry's own have room.
	LeftOutOtherCell
	// LeftOutTried means that the caller does not allow it, as after a failed attempt.
	LeftOutTried
	// LeftOutEvacuated means that its failure domain is evacuated.
	LeftOutEvacuated
	// LeftOutTooSmall means that the request needs more memory than it has.
	LeftOutTooSmall
	// LeftOutDeferred means that it has asked this entry for no requests for a time.
	LeftOutDeferred
	// LeftOutLimited means that it takes no more requests a second.
	LeftOutLimited
	// LeftOutCold means that it may be cold and has got this entry's share of requests.
	LeftOutCold
	// LeftOutFull means that it has no free slot, memory or room for unread prompts.
	LeftOutFull
	// LeftOutLate means that the request would end too late there.
	LeftOutLate

	leftOutReasons
)

// String returns the reason as it appears in the output of commands; empty for LeftOutNone.
func (l LeftOut) String() string {
	return [leftOutReasons]string{"", "draining", "otherCell", "tried", "evacuated", "tooSmall", "deferred", "limited", "cold", "full", "late"}[l]
}

// Costs are the parts of the cost of a placement. They have no unit.
type Costs struct {
	// Load is for slots, memory, unread prompts and failures.
	Load float64
	// Distance is for another failure domain.
	Distance float64
	// Slot is for the wait for a slot at an endpoint with a limit.
	Slot float64
	// Pace is for streams that the placement makes late, where endpoints are uneven.
	Pace float64
}

// Total returns the sum of the parts, by which endpoints are compared.
func (c Costs) Total() float64 { return c.Load + c.Distance + c.Slot + c.Pace }

// Assessment is what a placement on one endpoint would cost, or why it is not possible.
type Assessment struct {
	Endpoint Endpoint
	Verdict
}

// Verdict is an Assessment without its endpoint.
type Verdict struct {
	LeftOut LeftOut
	// Use is the load of all entries. It is zero for an endpoint that is left out before its load matters.
	Use Use
	// Costs is zero for an endpoint that is left out.
	Costs Costs
	// SlotWait is how long the request would wait for its slot.
	SlotWait time.Duration
}

// leftOut returns why an endpoint can't take a request regardless of its load, and otherwise how long the request would wait for its
// slot there. The caller holds p.mu.
func (p *Placer) leftOut(q *search, s *endpointState, otherCells bool) (LeftOut, time.Duration) {
	switch {
	case s.isDraining():
		return LeftOutDraining, 0
	case s.OtherCell && !otherCells:
		return LeftOutOtherCell, 0
	case q.allowed != nil && !q.allowed(s.Endpoint):
		return LeftOutTried, 0
	case s.Evacuated:
		return LeftOutEvacuated, 0
	case s.MemoryTokens > 0 && q.tokens > s.MemoryTokens:
		return LeftOutTooSmall, 0
	case s.isDeferred(q.now):
		return LeftOutDeferred, 0
	}
	wait, hasLimit := p.limits.Wait(q.now, s.key)
	switch {
	case hasLimit && (s.OtherCell || wait > q.patience):
		return LeftOutLimited, 0
	case !p.coldAllows(q.now, s):
		return LeftOutCold, 0
	}
	return LeftOutNone, wait
}

// assess sets v to the verdict on one endpoint. uneven is the result of isUneven. The caller holds p.mu and has dropped the reports that
// have expired.
func (p *Placer) assess(q *search, s *endpointState, otherCells, uneven bool, v *Verdict) {
	*v = Verdict{}
	if v.LeftOut, v.SlotWait = p.leftOut(q, s, otherCells); v.LeftOut != LeftOutNone {
		return
	}
	v.Use = s.load()
	if why := s.room(&v.Use, &q.demand, &q.limits); why != LeftOutNone {
		v.LeftOut, v.SlotWait = why, 0
		return
	}
	v.Costs = Costs{Load: s.cost(q.now, &v.Use), Distance: q.extra(s), Slot: slotWaitCost * v.SlotWait.Seconds()}
	if uneven {
		v.Costs.Pace = q.paceCost(s, &v.Use)
	}
}

// leftOutCounts counts the endpoints of a service that are left out, by reason.
type leftOutCounts [leftOutReasons]int

// err returns the error of a placement for which all endpoints are left out.
func (n *leftOutCounts) err(service string) error {
	listed := n[LeftOutTooSmall] + n[LeftOutDeferred] + n[LeftOutLimited] + n[LeftOutCold] + n[LeftOutFull] + n[LeftOutLate]
	err := ErrFull
	switch {
	case listed == 0 && n[LeftOutEvacuated] > 0:
		err = ErrEvacuated
	case listed == 0:
		err = ErrNoEndpoint
	case n[LeftOutTooSmall] == listed:
		err = ErrTooLarge
	case n[LeftOutLate] > 0 && n[LeftOutTooSmall]+n[LeftOutLate] == listed:
		err = ErrNoTime
	case n[LeftOutTooSmall]+n[LeftOutDeferred] == listed:
		err = ErrDeferred
	case n[LeftOutCold]+n[LeftOutFull]+n[LeftOutLate] == 0:
		err = ErrLimited
	}
	return errors.Wrap(err, service)
}

// Survey returns what Place would find at each endpoint of a service, without a reservation: first the endpoints that can take the
// request, by cost, then those that are left out, by ID. The error is that of Place.
func (p *Placer) Survey(now time.Time, service string, d Demand, opts ...PlaceOption) ([]Assessment, error) {
	q := p.newSearch(now, service, d, nil, opts)
	p.mu.Lock()
	defer p.mu.Unlock()
	list, err := p.surveyAmong(q, false)
	if err != nil && !errors.Is(err, ErrTooLarge) && p.hasOtherCell(service) {
		list, err = p.surveyAmong(q, true)
	}
	slices.SortStableFunc(list, func(a, b Assessment) int {
		switch {
		case (a.LeftOut == LeftOutNone) != (b.LeftOut == LeftOutNone):
			return int(min(a.LeftOut, 1)) - int(min(b.LeftOut, 1))
		case a.Costs.Total() < b.Costs.Total():
			return -1
		case a.Costs.Total() > b.Costs.Total():
			return 1
		}
		return strings.Compare(a.Endpoint.ID, b.Endpoint.ID)
	})
	return list, err
}

// surveyAmong is Survey with or without the endpoints of other cells. The caller holds p.mu.
func (p *Placer) surveyAmong(q search, otherCells bool) ([]Assessment, error) {
	q = q.prepare()
	uneven := q.tokens > 0 && p.isUneven(q.now, q.service)
	p.expirePeers(q.now)
	var counts leftOutCounts
	list := make([]Assessment, 0, len(p.services[q.service]))
	for _, s := range p.services[q.service] {
		var v Verdict
		p.assess(&q, s, otherCells, uneven, &v)
		counts[v.LeftOut]++
		list = append(list, Assessment{Endpoint: s.Endpoint, Verdict: v})
	}
	if counts[LeftOutNone] > 0 {
		return list, nil
	}
	return list, counts.err(q.service)
}
