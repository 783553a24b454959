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
	// drainBound is how long an endpoint may still receive new work after it was first marked as draining.
	drainBound = 3 * time.Second
	// cancelBound is how long a generation may hold memory after its caller canceled the request.
	cancelBound = time.Second
)

// check compares the callers' answers with the records of the endpoints and returns the violations.
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
	violations = append(violations, c.checkDraining(records)...)
	return append(violations, c.checkIdle()...)
}

func (c *caseRun) checkGeneration(o *outcome, records []toucanfake.GenerationRecord) []string {
	var violations []string
	fail := func(format string, args ...any) {
		violations = append(violations, o.label+": "+fmt.Sprintf(format, args...))
	}
	a := o.answer
	if a.Garbled {
		fail("tokens are not those of a single generation in order")
	}
	source := slices.IndexFunc(records, func(r toucanfake.GenerationRecord) bool {
		return toucanfake.IDHash(r.ID) == a.IDHash && r.Produced >= a.Tokens
	})
	if a.Tokens > 0 && source < 0 {
		fail("no engine produced the %d tokens for this request", a.Tokens)
	}
	if !o.canceledAt.IsZero() {
		return append(violations, c.checkCanceled(o, records)...)
	}
	switch {
	case a.Done:
		if a.Tokens != o.output {
			fail("complete answer has %d tokens, want %d", a.Tokens, o.output)
		}
	case a.Error != nil:
		violations = append(violations, checkRefusal(o, records)...)
	case !c.answerMayBeLost(o):
		fail("no final answer: %v", a.Err)
	}
	if c.spec.RequireComplete && !a.Done {
		fail("answer is not complete: status %d, error %+v, broken %v", a.Status, a.Error, a.Err)
	}
	return violations
}

// answerMayBeLost reports whether the caller's own connection may have broken before it received a generation id. Without
// the id the caller can't resume the stream.
func (c *caseRun) answerMayBeLost(o *outcome) bool {
	return c.callerLinksMayBreak(o.entry) && o.answer.GenerationID == ""
}

func checkRefusal(o *outcome, records []toucanfake.GenerationRecord) []string {
	ran := slices.ContainsFunc(records, func(r toucanfake.GenerationRecord) bool { return r.Ran })
	e := o.answer.Error
	switch {
	case e.Ran == toucanwire.RanNo && (ran || o.answer.Tokens > 0):
		return []string{fmt.Sprintf("%s: answered as not run (%s), but it ran", o.label, e.Code)}
	case e.Ran != toucanwire.RanNo && e.Ran != toucanwire.RanUnknown && e.Ran != toucanwire.RanPartly:
		return []string{fmt.Sprintf("%s: ran has the unknown value %q", o.label, e.Ran)}
	}
	return nil
}

// checkCanceled checks that every engine ended the generation within cancelBound of its cancellation.
func (c *caseRun) checkCanceled(o *outcome, records []toucanfake.GenerationRecord) []string {
	if len(c.spec.Faults) > 1 {
		return nil // another fault may delay the end; checkIdle still requires it
	}
	var violations []string
	for _, r := range records {
		if r.EndedAt.IsZero() || r.EndedAt.Sub(o.canceledAt) > cancelBound {
			violations = append(violations, fmt.Sprintf("%s: the engine did not stop in time after the caller canceled: %+v", o.label, r))
		}
	}
	return violations
}

// checkDraining checks that draining endpoints received no new work after drainBound. A sidecar that replaces a killed one
// doesn't know that its predecessor was draining, so only a drain in the settings counts then.
func (c *caseRun) checkDraining(records map[string][]toucanfake.GenerationRecord) []string {
	at, ok := c.drainingSince["drain"]
	if sidecarAt, marked := c.drainingSince["leave"]; marked && !c.spec.has("killSidecar", "killBoth") && (!ok || sidecarAt.Before(at)) {
		at, ok = sidecarAt, true
	}
	if !ok {
		return nil
	}
	var violations []string
	checkReceived := func(label, endpoint string, received time.Time) {
		if slices.ContainsFunc(c.targets(), func(ep *toucanrig.Endpoint) bool { return ep.Name() == endpoint }) &&
			received.Sub(at) > drainBound {
			violations = append(violations, fmt.Sprintf("%s: new work at %s %s after it began to drain", label, endpoint, received.Sub(at)))
		}
	}
	for label, recs := range records {
		for _, r := range recs {
			checkReceived(label, r.Engine, r.Received)
		}
	}
	for _, o := range c.orders {
		for _, e := range c.rig.OrderLedger.Executions(o.label) {
			checkReceived(o.label, e.Endpoint, e.Received)
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
			violations = append(violations, fmt.Sprintf("%s still has %d running and %d waiting generations", ep.Name(), rep.Running, rep.Waiting))
		}
	}
	return violations
}
