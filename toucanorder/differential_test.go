package toucanorder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
)

// step is one drawn action of a run.
type step struct {
	Action  string
	Process string
	Key     string
	Body    uint64
	// Ending is what a granted attempt does: finish, lose, abandon, or nothing after giving the order.
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

// order is what the naive model knows of one key.
type order struct {
	body     uint64
	held     bool
	deadline time.Time
	ended    string
	answer   string
}

// naive is a map in memory that nothing ever happens to.
type naive map[string]*order

func (m naive) claim(key string, body uint64, deadline time.Time) string {
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

func (m naive) end(key, ending, answer string) {
	if ending == "abandon" {
		delete(m, key)
		return
	}
	m[key].ended, m[key].answer = ending, answer
}

const attemptTimeout = 3 * time.Second

// TestClaimsEqualNaiveModel compares the verdicts without faults, over several processes, with the naive model's.
func TestClaimsEqualNaiveModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := steps([]string{"claim", "claim", "claim", "sleep", "restart"}).Draw(rt, "script")
		var err error
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			defer r.close()
			err = compare(r, script)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func compare(r *rig, script []step) error {
	m := make(naive)
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
			if want == "granted" && end(r, a, s.Ending, name) {
				m.end(s.Key, s.Ending, name)
			}
			time.Sleep(time.Second)
		}
	}
	return nil
}

// end carries an attempt to its ending, and reports whether that is recorded.
func end(r *rig, a *attempt, ending, answer string) bool {
	if ending == "abandon" {
		_ = a.process.claims.Abandon(a.claim)
		return true
	}
	if !r.give(a) {
		_ = a.process.claims.Abandon(a.claim)
		return false
	}
	switch ending {
	case "finish":
		_ = a.process.claims.Finish(a.claim, toucanorder.Outcome{Status: 201, Body: []byte(answer)})
	case "lose":
		_ = a.process.claims.Lose(a.claim)
	default:
		return false
	}
	return true
}

// TestOrdersAtMostOnceUnderFaults draws faults of the store, pauses and deaths of processes, and racing attempts,
// and compares what the endpoint carried out with what the attempts were told.
func TestOrdersAtMostOnceUnderFaults(t *testing.T) {
	actions := []string{
		"claim", "claim", "claim", "claim", "sleep", "sleep", "kill", "down", "up", "loseReplies", "loseRequests",
		"shares", "holdBefore", "holdLate", "holdAfter", "release",
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := steps(actions).Draw(rt, "script")
		var err error
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			defer r.close()
			err = underFaults(r, script)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func underFaults(r *rig, script []step) error {
	c := &checker{answers: make(map[string]string), finished: make(map[string]string)}
	for i, s := range script {
		name := fmt.Sprint(i)
		if s.Action != "claim" {
			r.disturb(s)
		} else {
			r.claim(name, s.Process, s.Key, s.Body, attemptTimeout)
			c.running = append(c.running, running{r.attempts[name], s, name})
		}
		time.Sleep(s.Pause / 8)
		if err := c.proceed(r); err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
	}
	return c.heal(r)
}

func (r *rig) disturb(s step) {
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
		r.store.SetFaults(toucanfakestore.Faults{LoseRequest: 1})
	case "shares":
		r.store.SetFaults(toucanfakestore.Faults{LoseRequest: 0.3, LoseReply: 0.3, Delay: 20 * time.Millisecond})
	case "holdBefore":
		r.process(s.Process).link.set(holdBefore)
	case "holdLate":
		r.process(s.Process).link.set(holdLate)
	case "holdAfter":
		r.process(s.Process).link.set(holdAfter)
	case "release":
		r.process(s.Process).link.set(holdNone)
	}
	synctest.Wait()
}

type running struct {
	attempt *attempt
	step    step
	name    string
}

// checker compares what callers were told with what the endpoint carried out.
type checker struct {
	running []running
	// answers holds the last attempt's name that gave each key to the endpoint.
	answers map[string]string
	// finished holds the answers that were handed to Finish, by key.
	finished map[string]string
}

// proceed ends the attempts that have their verdict.
func (c *checker) proceed(r *rig) error {
	var left []running
	for _, x := range c.running {
		verdict := x.attempt.String()
		if verdict == "waiting" {
			left = append(left, x)
			continue
		}
		if err := c.check(x, verdict); err != nil {
			return err
		}
		if verdict == "granted" {
			c.end(r, x)
		}
	}
	c.running = left
	return c.atMostOnce(r)
}

func (c *checker) check(x running, verdict string) error {
	key := x.step.Key
	if recorded := x.attempt.claim.Recorded; recorded != nil && string(recorded.Body) != c.finished[key] {
		return errors.Errorf("%s was told %q instead of the first outcome %q", key, verdict, c.finished[key])
	}
	if _, given := c.answers[key]; given && verdict == "granted" {
		return errors.Errorf("%s was granted again after it was given to the endpoint", key)
	}
	return nil
}

func (c *checker) end(r *rig, x running) {
	before := len(r.carried)
	if x.step.Ending == "finish" {
		c.finished[x.step.Key] = x.name
	}
	end(r, x.attempt, x.step.Ending, x.name)
	if len(r.carried) > before {
		c.answers[x.step.Key] = x.name
	}
}

func (c *checker) atMostOnce(r *rig) error {
	times := make(map[string]int)
	for _, key := range r.carried {
		times[key]++
		if times[key] > 1 {
			return errors.Errorf("%s was carried out twice", key)
		}
	}
	return nil
}

// heal ends all faults and asks once more for each order: one that was carried out must not be granted, and one
// that was not may be.
func (c *checker) heal(r *rig) error {
	r.store.SetFaults(toucanfakestore.Faults{})
	for _, p := range r.processes {
		p.link.set(holdNone)
	}
	time.Sleep(time.Minute)
	if err := c.proceed(r); err != nil {
		return errors.Wrap(err, "after healing")
	}
	if len(c.running) > 0 {
		return errors.Errorf("%d attempts were never answered", len(c.running))
	}
	for _, key := range []string{"k1", "k2", "k3"} {
		r.claim("last "+key, "last", key, 1, attemptTimeout)
		c.running = append(c.running, running{r.attempts["last "+key], step{Key: key, Ending: "finish"}, "last " + key})
	}
	time.Sleep(time.Minute)
	return c.proceed(r)
}
