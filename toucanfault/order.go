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
	// keyedAttempts bounds how often a caller sends an order under a key.
	keyedAttempts   = 6
	keyedRetryDelay = 700 * time.Millisecond
)

// orderOutcome is one order and what its caller got.
type orderOutcome struct {
	label string
	entry int
	// keyed orders have an idempotency key and are repeated through the other entries until they are settled.
	keyed bool
	// replies are the answers in turn; an order without a key has one.
	replies []toucancaller.OrderReply
}

// askOrder sends an order and repeats it if it has a key.
func (c *caseRun) askOrder(o *orderOutcome) {
	c.orders = append(c.orders, o)
	c.askers.Go(func() {
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
	ctx, cancel := context.WithTimeout(context.Background(), answerBound)
	defer cancel()
	return c.rig.Order(ctx, (o.entry+attempt)%faultEntries, o.label, o.keyed)
}

// checkOrder compares the answers to an order with how often it was carried out.
func (c *caseRun) checkOrder(o *orderOutcome) []string {
	n := len(c.rig.Services.Executions(o.label))
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
		if reply.Err != nil && !c.mayBeCutAt((o.entry+i)%faultEntries) {
			fail("no final answer: %v", reply.Err)
		}
	}
	if allNotRun && n > 0 {
		fail("told that it did not run (%s), but it ran", o.replies[0].Failure.Code)
	}
	done := slices.ContainsFunc(o.replies, func(r toucancaller.OrderReply) bool { return r.Status == http.StatusOK })
	if done && n != 1 {
		fail("reported as carried out, but was carried out %d times", n)
	}
	return violations
}

// mayBeCutAt tells whether connections of callers to an entry may have broken.
func (c *caseRun) mayBeCutAt(entry int) bool { return c.c.has("killEntry") && entry == 0 }
