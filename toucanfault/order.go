package toucanfault

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"toucanport/toucancaller"
	"toucanport/toucanwire"
)

const (
	// keyedAttempts is the maximum number of times that a caller sends an order with an idempotency key.
	keyedAttempts   = 6
	keyedRetryDelay = 700 * time.Millisecond
)

// orderOutcome is an order and the answers that its caller received.
type orderOutcome struct {
	label string
	entry int
	// keyed orders have an idempotency key and are sent again, each time through the next entry, until an answer is final or
	// keyedAttempts is reached.
	keyed bool
	// replies are the answers in the order of the attempts; an order without a key has a single one.
	replies []toucancaller.OrderReply
}

// startOrder sends an order in a goroutine, and again as described for keyed orders.
func (c *caseRun) startOrder(o *orderOutcome) {
	c.orders = append(c.orders, o)
	c.callers.Go(func() {
		for attempt := range keyedAttempts {
			reply := c.sendOrder(o, attempt)
			o.replies = append(o.replies, reply)
			if !o.keyed || reply.IsFinal() {
				return
			}
			time.Sleep(keyedRetryDelay)
		}
	})
}

func (c *caseRun) sendOrder(o *orderOutcome, attempt int) toucancaller.OrderReply {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return c.rig.Order(ctx, (o.entry+attempt)%faultEntries, o.label, o.keyed)
}

// checkOrder compares the answers to an order with the number of times that it was carried out.
func (c *caseRun) checkOrder(o *orderOutcome) []string {
	n := len(c.rig.OrderLedger.Executions(o.label))
	var violations []string
	fail := func(format string, args ...any) {
		violations = append(violations, o.label+": "+fmt.Sprintf(format, args...))
	}
	if n > 1 {
		fail("carried out %d times", n)
	}
	allNotRun := true
	for i, reply := range o.replies {
		notRun := reply.Failure != nil && reply.Failure.Ran == toucanwire.RanNo
		allNotRun = allNotRun && notRun
		if reply.Err != nil && !c.callerLinksMayBreak((o.entry+i)%faultEntries) {
			fail("no final answer: %v", reply.Err)
		}
	}
	if allNotRun && n > 0 {
		fail("answered as not run (%s), but it ran", o.replies[0].Failure.Code)
	}
	done := slices.ContainsFunc(o.replies, func(r toucancaller.OrderReply) bool { return r.Status == http.StatusOK })
	if done && n != 1 {
		fail("answered as carried out, but was carried out %d times", n)
	}
	return violations
}

// callerLinksMayBreak reports whether the case may break connections from callers to this entry.
func (c *caseRun) callerLinksMayBreak(entry int) bool { return c.spec.has("killEntry") && entry == 0 }
