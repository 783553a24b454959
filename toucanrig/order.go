package toucanrig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"toucanport/toucanapi"
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
	replies []orderReply
}

// orderReply is one answer to an order.
type orderReply struct {
	status int
	// failure is the JSON error of an answer that is none of the service's own.
	failure *toucanapi.Error
	// err is set when there was no final answer.
	err error
}

// settled tells whether the caller has no reason to repeat the order.
func (r orderReply) settled() bool {
	return r.err == nil && (r.failure == nil || !r.failure.Retryable && r.failure.Ran == toucanwire.RanNo)
}

// askOrder sends an order and repeats it if it has a key.
func (c *caseRun) askOrder(o *orderOutcome) {
	c.orders = append(c.orders, o)
	c.askers.Go(func() {
		for attempt := range keyedAttempts {
			reply := c.rig.order(o, attempt)
			o.replies = append(o.replies, reply)
			if !o.keyed || reply.settled() {
				return
			}
			time.Sleep(keyedRetryDelay)
		}
	})
}

// order sends an order once.
func (r *Rig) order(o *orderOutcome, attempt int) orderReply {
	ctx, cancel := context.WithTimeout(context.Background(), answerBound)
	defer cancel()
	url := r.url((o.entry+attempt)%len(r.entries), "/services/orders/place")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return orderReply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+workspaceSecret(0))
	req.Header.Set(labelHeader, o.label)
	if o.keyed {
		req.Header.Set("Idempotency-Key", o.label)
	}
	resp, err := (&http.Client{Transport: r.asking}).Do(req)
	if err != nil {
		return orderReply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil || resp.StatusCode == http.StatusOK {
		return orderReply{status: resp.StatusCode, err: err}
	}
	var body toucanapi.ErrorBody
	if err := json.Unmarshal(b, &body); err != nil {
		return orderReply{status: resp.StatusCode, err: err}
	}
	return orderReply{status: resp.StatusCode, failure: &body.Error}
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
		notRun := reply.failure != nil && reply.failure.Ran == toucanwire.RanNo
		allNotRun = allNotRun && notRun
		if reply.err != nil && !c.mayBeCutAt((o.entry+i)%faultEntries) {
			fail("no final answer: %v", reply.err)
		}
	}
	if allNotRun && n > 0 {
		fail("told that it did not run (%s), but it ran", o.replies[0].failure.Code)
	}
	done := slices.ContainsFunc(o.replies, func(r orderReply) bool { return r.status == http.StatusOK })
	if done && n != 1 {
		fail("reported as carried out, but was carried out %d times", n)
	}
	return violations
}

// mayBeCutAt tells whether connections of callers to an entry may have broken.
func (c *caseRun) mayBeCutAt(entry int) bool { return c.c.has("killEntry") && entry == 0 }
