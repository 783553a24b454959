package toucanfault

import (
	"fmt"
	"slices"
	"time"

	"toucanport/toucanfake"
	"toucanport/toucanrig"
	"toucanport/toucanwire"
)

const (
	// leavingBound is how long after the first mark an endpoint may still get new work.
	leavingBound = 3 * time.Second
	// cancelBound is how long a generation may hold memory after its caller left.
	cancelBound = time.Second
)

// check compares what callers were told with what the endpoints recorded.
func (c *caseRun) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make(map[string][]toucanfake.GenerationRecord)
	for _, rec := range c.rig.Ledger.Generations() {
		records[rec.Label] = append(records[rec.Label], rec)
	}
	var violations []string
	for _, o := range c.results {
		violations = append(violations, c.checkGeneration(o, records[o.label])...)
	}
	for _, o := range c.orders {
		violations = append(violations, c.checkOrder(o)...)
	}
	violations = append(violations, c.checkLeaving(records)...)
	return append(violations, c.checkIdle()...)
}

func (c *caseRun) checkGeneration(o *outcome, records []toucanfake.GenerationRecord) []string {
	var violations []string
	fail := func(format string, args ...any) {
		violations = append(violations, o.label+": "+fmt.Sprintf(format, args...))
	}
	a := o.answer
	if a.Garbled {
		fail("tokens are not those of one generation in order")
	}
	source := slices.IndexFunc(records, func(r toucanfake.GenerationRecord) bool {
		return toucanfake.IDHash(r.ID) == a.IDHash && r.Produced >= a.Tokens
	})
	if a.Tokens > 0 && source < 0 {
		fail("no engine produced the %d tokens for this request", a.Tokens)
	}
	if !o.left.IsZero() {
		return append(violations, c.checkLeft(o, records)...)
	}
	switch {
	case a.Done:
		if a.Tokens != o.output {
			fail("complete answer has %d tokens of %d", a.Tokens, o.output)
		}
	case a.Error != nil:
		violations = append(violations, checkRefusal(o, records)...)
	case !c.mayBeCut(o):
		fail("no final answer: %v", a.Err)
	}
	if c.c.Whole && !a.Done {
		fail("answer is not complete: status %d, error %+v, broken %v", a.Status, a.Error, a.Err)
	}
	return violations
}

// mayBeCut tells whether the caller's own connection may have broken before it had a generation id.
func (c *caseRun) mayBeCut(o *outcome) bool {
	return c.mayBeCutAt(o.entry) && o.answer.GenerationID == ""
}

func checkRefusal(o *outcome, records []toucanfake.GenerationRecord) []string {
	ran := slices.ContainsFunc(records, func(r toucanfake.GenerationRecord) bool { return r.Ran })
	e := o.answer.Error
	switch {
	case e.Ran == toucanwire.RanNo && (ran || o.answer.Tokens > 0):
		return []string{fmt.Sprintf("%s: told that it did not run (%s), but it ran", o.label, e.Code)}
	case e.Ran != toucanwire.RanNo && e.Ran != toucanwire.RanUnknown && e.Ran != toucanwire.RanPartly:
		return []string{fmt.Sprintf("%s: ran is %q", o.label, e.Ran)}
	}
	return nil
}

// checkLeft checks that a caller's departure freed the engines.
func (c *caseRun) checkLeft(o *outcome, records []toucanfake.GenerationRecord) []string {
	if len(c.c.Faults) > 1 {
		return nil // checkIdle covers what another fault delays
	}
	var violations []string
	for _, r := range records {
		if r.EndedAt.IsZero() || r.EndedAt.Sub(o.left) > cancelBound {
			violations = append(violations, fmt.Sprintf("%s: the engine worked on after its caller left: %+v", o.label, r))
		}
	}
	return violations
}

// checkLeaving checks that endpoints that were marked as leaving got no new work. A replaced sidecar does not
// know that its predecessor was leaving, but the settings still say that its endpoint is draining.
func (c *caseRun) checkLeaving(records map[string][]toucanfake.GenerationRecord) []string {
	at, ok := c.leftAt["drain"]
	if left, marked := c.leftAt["leave"]; marked && !c.c.has("killSidecar", "killBoth") && (!ok || left.Before(at)) {
		at, ok = left, true
	}
	if !ok {
		return nil
	}
	var violations []string
	late := func(label, endpoint string, received time.Time) {
		if slices.ContainsFunc(c.targets(), func(ep *toucanrig.Endpoint) bool { return ep.Name() == endpoint }) &&
			received.Sub(at) > leavingBound {
			violations = append(violations, fmt.Sprintf("%s: new work at %s %s after it was leaving", label, endpoint, received.Sub(at)))
		}
	}
	for label, recs := range records {
		for _, r := range recs {
			late(label, r.Engine, r.Received)
		}
	}
	for _, o := range c.orders {
		for _, e := range c.rig.Services.Executions(o.label) {
			late(o.label, e.Endpoint, e.Received)
		}
	}
	return violations
}

// checkIdle checks that no engine still holds a generation.
func (c *caseRun) checkIdle() []string {
	var violations []string
	for _, ep := range c.rig.Endpoints() {
		if ep.Engine() == nil {
			continue
		}
		if rep := ep.Engine().Report(); rep.Running+rep.Waiting > 0 {
			violations = append(violations, fmt.Sprintf("%s still runs %d and holds %d generations", ep.Name(), rep.Running, rep.Waiting))
		}
	}
	return violations
}
