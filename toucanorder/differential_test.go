package toucanorder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"toucanport/toucanbubble"
	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
)

// step is one randomly generated action of a test run.
type step struct {
	Action  string
	Process string
	Key     string
	Body    uint64
	// Ending is what a granted attempt does: finish, lose, abandon, or nothing after sending the order.
	Ending string
	Pause  time.Duration
}

func steps(actions []string) *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Action:  rapid.SampledFrom(actions).Draw(t, "action"),
			Process: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process"),
			Key:     rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
			Body:    rapid.Uint64Range(1, 2).Draw(t, "body"),
			Ending:  rapid.SampledFrom([]string{"finish", "finish", "lose", "abandon", "nothing"}).Draw(t, "ending"),
			Pause:   time.Duration(rapid.IntRange(1, 4000).Draw(t, "pauseMillis")) * time.Millisecond,
		}
	}), 1, 40)
}

// order is the state of one key in the naive model.
type order struct {
	body     uint64
	held     bool
	deadline time.Time
	ended    string
	answer   string
}

// naiveModel is an in-memory model of the claims that has no faults.
type naiveModel map[string]*order

func (m naiveModel) claim(key string, body uint64, deadline time.Time) string {
	o := m[key]
	switch {
	case o == nil:
		m[key] = &order{body: body, held: true, deadline: deadline}
		return "granted"
	case o.body != body:
		return "key reused"
	case o.ended == "finish":
		return "recorded 201 " + o.answer
	case o.ended == "lose" || !time.Now().Before(o.deadline):
		return "unknown"
	}
	return "in progress"
}

func (m naiveModel) end(key, ending, answer string) {
	if ending == "abandon" {
		delete(m, key)
		return
	}
	m[key].ended, m[key].answer = ending, answer
}

const attemptTimeout = 3 * time.Second

// TestClaimsMatchNaiveModelWithoutFaults compares the verdicts of several processes with those of the naive model,
// without faults.
func TestClaimsMatchNaiveModelWithoutFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := steps([]string{"claim", "claim", "claim", "sleep", "restart"}).Draw(rt, "script")
		var err error
		toucanbubble.Test(t, func(t *testing.T) {
			r := newFixture(t)
			defer r.close()
			err = compareWithModel(r, script)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func compareWithModel(r *fixture, script []step) error {
	m := make(naiveModel)
	for i, s := range script {
		switch s.Action {
		case "sleep":
			time.Sleep(s.Pause)
		case "restart":
			_ = r.process(s.Process).claims.Close(r.t.Context())
			delete(r.processes, s.Process)
		case "claim":
			name := fmt.Sprint(i)
			want := m.claim(s.Key, s.Body, time.Now().Add(attemptTimeout))
			a := r.claim(name, s.Process, s.Key, s.Body, attemptTimeout)
			time.Sleep(time.Second)
			if got := a.String(); got != want {
				return errors.Errorf("step %d %+v: %s instead of %s", i, s, got, want)
			}
			if want == "granted" && endAttempt(r, a, s.Ending, name) {
				m.end(s.Key, s.Ending, name)
			}
			time.Sleep(time.Second)
		}
	}
	return nil
}

// endAttempt performs the given ending of an attempt and reports whether the ending is recorded.
func endAttempt(r *fixture, a *attempt, ending, answer string) bool {
	if ending == "abandon" {
		_ = a.process.claims.Abandon(a.claim)
		return true
	}
	if !r.sendToEndpoint(a) {
		_ = a.process.claims.Abandon(a.claim)
		return false
	}
	switch ending {
	case "finish":
		_ = a.process.claims.Finish(a.claim, toucanorder.Outcome{Status: 201, Body: []byte(answer)})
	case "lose":
		_ = a.process.claims.MarkUnknown(a.claim)
	default:
		return false
	}
	return true
}

// TestOrdersExecuteAtMostOnceUnderFaults generates store faults, paused and killed processes, and concurrent attempts.
// It checks the verdicts of the attempts against the orders that the endpoint executed.
func TestOrdersExecuteAtMostOnceUnderFaults(t *testing.T) {
	actions := []string{
		"claim", "claim", "claim", "claim", "sleep", "sleep", "kill", "down", "up", "loseReplies", "loseRequests",
		"shares", "holdBefore", "holdLate", "holdAfter", "release",
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := steps(actions).Draw(rt, "script")
		var err error
		toucanbubble.Test(t, func(t *testing.T) {
			r := newFixture(t)
			defer r.close()
			err = runWithFaults(r, script)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runWithFaults(r *fixture, script []step) error {
	c := &checker{sent: make(map[string]string), finished: make(map[string]string)}
	for i, s := range script {
		name := fmt.Sprint(i)
		if s.Action != "claim" {
			r.injectFault(s)
		} else {
			r.claim(name, s.Process, s.Key, s.Body, attemptTimeout)
			c.running = append(c.running, running{r.attempts[name], s, name})
		}
		time.Sleep(s.Pause / 8)
		if err := c.endDecided(r); err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
	}
	return c.checkAfterRecovery(r)
}

func (r *fixture) injectFault(s step) {
	switch s.Action {
	case "sleep":
		time.Sleep(s.Pause)
	case "kill":
		r.kill(s.Process)
	case "down":
		r.store.SetFaults(toucanfakestore.Faults{Down: true})
	case "up":
		r.store.SetFaults(toucanfakestore.Faults{})
	case "loseReplies":
		r.store.LoseReplies(2)
	case "loseRequests":
		r.store.SetFaults(toucanfakestore.Faults{LostRequestShare: 1})
	case "shares":
		r.store.SetFaults(toucanfakestore.Faults{LostRequestShare: 0.3, LostReplyShare: 0.3, Delay: 20 * time.Millisecond})
	case "holdBefore":
		r.process(s.Process).link.setHold(holdBefore)
	case "holdLate":
		r.process(s.Process).link.setHold(holdLate)
	case "holdAfter":
		r.process(s.Process).link.setHold(holdAfter)
	case "release":
		r.process(s.Process).link.setHold(holdNone)
	}
	synctest.Wait()
}

type running struct {
	attempt *attempt
	step    step
	name    string
}

// checker checks the results that callers got against the orders that the endpoint executed.
type checker struct {
	running []running
	// sent holds, by key, the name of the last attempt that sent the order to the endpoint.
	sent map[string]string
	// finished holds the outcome bodies that were passed to Finish, by key.
	finished map[string]string
}

// endDecided checks and ends the attempts that have a result, and keeps the others.
func (c *checker) endDecided(r *fixture) error {
	var waiting []running
	for _, x := range c.running {
		verdict := x.attempt.String()
		if verdict == "waiting" {
			waiting = append(waiting, x)
			continue
		}
		if err := c.check(x, verdict); err != nil {
			return err
		}
		if verdict == "granted" {
			c.end(r, x)
		}
	}
	c.running = waiting
	return c.atMostOnce(r)
}

func (c *checker) check(x running, verdict string) error {
	key := x.step.Key
	if recorded := x.attempt.claim.Recorded; recorded != nil && string(recorded.Body) != c.finished[key] {
		return errors.Errorf("%s: got %q instead of the first outcome %q", key, verdict, c.finished[key])
	}
	if _, sent := c.sent[key]; sent && verdict == "granted" {
		return errors.Errorf("%s was granted again after it was sent to the endpoint", key)
	}
	return nil
}

func (c *checker) end(r *fixture, x running) {
	before := len(r.executed)
	if x.step.Ending == "finish" {
		c.finished[x.step.Key] = x.name
	}
	endAttempt(r, x.attempt, x.step.Ending, x.name)
	if len(r.executed) > before {
		c.sent[x.step.Key] = x.name
	}
}

func (c *checker) atMostOnce(r *fixture) error {
	times := make(map[string]int)
	for _, key := range r.executed {
		times[key]++
		if times[key] > 1 {
			return errors.Errorf("%s was executed twice", key)
		}
	}
	return nil
}

// checkAfterRecovery removes all faults and claims each order once more. An order that was executed must not be
// granted again; one that was not executed can be.
func (c *checker) checkAfterRecovery(r *fixture) error {
	r.store.SetFaults(toucanfakestore.Faults{})
	for _, p := range r.processes {
		p.link.setHold(holdNone)
	}
	time.Sleep(time.Minute)
	if err := c.endDecided(r); err != nil {
		return errors.Wrap(err, "after the faults ended")
	}
	if len(c.running) > 0 {
		return errors.Errorf("%d attempts got no result", len(c.running))
	}
	for _, key := range []string{"k1", "k2", "k3"} {
		r.claim("last "+key, "last", key, 1, attemptTimeout)
		c.running = append(c.running, running{r.attempts["last "+key], step{Key: key, Ending: "finish"}, "last " + key})
	}
	time.Sleep(time.Minute)
	return c.endDecided(r)
}
