package toucanorder_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakestore"
	"toucanport/toucanledger"
	"toucanport/toucanorder"
)

// TestFaultCases runs the cases under testdata. Each case has its own store; the cases of a file share a fake clock.
func TestFaultCases(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				var r *fixture
				datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
					if d.Cmd == "case" {
						if r != nil {
							r.close()
						}
						r = newFixture(t)
						return ""
					}
					return r.command(d)
				})
				r.close()
			})
		})
	}
}

func (r *fixture) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "claim":
		return r.commandClaim(d)
	case "result":
		return r.attempts[d.CmdArgs[0].Key].String()
	case "give":
		if r.sendToEndpoint(r.attempts[d.CmdArgs[0].Key]) {
			return "carried out"
		}
		return "not sent"
	case "finish", "abandon", "lose":
		return r.commandSettle(d)
	case "store":
		return r.commandStore(d)
	case "hold":
		modes := map[string]writeHold{"before": holdBefore, "after": holdAfter, "late": holdLate, "head": holdHead}
		r.process(d.CmdArgs[0].Key).link.setHold(modes[d.CmdArgs[1].Key])
	case "release":
		r.process(d.CmdArgs[0].Key).link.setHold(holdNone)
	case "kill":
		r.kill(d.CmdArgs[0].Key)
	case "sleep":
		time.Sleep(duration(r.t, d.CmdArgs[0].Key))
	case "carried":
		return strings.Join(r.executed, " ")
	case "stored":
		return r.stored()
	case "limits":
		r.commandLimits(d)
	case "fill":
		return r.commandFill(d)
	default:
		d.Fatalf(r.t, "unknown command %s", d.Cmd)
	}
	synctest.Wait()
	return ""
}

func duration(t *testing.T, text string) time.Duration {
	v, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return v
}

// claim NAME PROCESS KEY [body=N] [timeout=D]
func (r *fixture) commandClaim(d *datadriven.TestData) string {
	body, timeout := uint64(1), "5s"
	d.MaybeScanArgs(r.t, "body", &body)
	d.MaybeScanArgs(r.t, "timeout", &timeout)
	a := r.claim(d.CmdArgs[0].Key, d.CmdArgs[1].Key, d.CmdArgs[2].Key, body, duration(r.t, timeout))
	time.Sleep(2 * toucanorder.DefaultInterval)
	return a.String()
}

// finish NAME [status=N] [body=TEXT] | abandon NAME | lose NAME
func (r *fixture) commandSettle(d *datadriven.TestData) string {
	a := r.attempts[d.CmdArgs[0].Key]
	status, body := 201, "ok"
	d.MaybeScanArgs(r.t, "status", &status)
	d.MaybeScanArgs(r.t, "body", &body)
	var err error
	switch d.Cmd {
	case "finish":
		err = a.process.claims.Finish(a.claim, toucanorder.Outcome{Status: status, Body: []byte(body)})
	case "abandon":
		err = a.process.claims.Abandon(a.claim)
	case "lose":
		err = a.process.claims.MarkUnknown(a.claim)
	}
	synctest.Wait()
	if err != nil {
		return err.Error()
	}
	return ""
}

// store up | down | slow | loseReplies=N | loseRequests
func (r *fixture) commandStore(d *datadriven.TestData) string {
	var n int
	d.MaybeScanArgs(r.t, "loseReplies", &n)
	switch d.CmdArgs[0].Key {
	case "up":
		r.store.SetFaults(toucanfakestore.Faults{})
	case "down":
		r.store.SetFaults(toucanfakestore.Faults{Down: true})
	case "slow":
		r.store.SetFaults(toucanfakestore.Faults{Delay: time.Minute})
	case "loseRequests":
		r.store.SetFaults(toucanfakestore.Faults{LostRequestShare: 1})
	case "loseReplies":
		r.store.LoseReplies(n)
	}
	return ""
}

// limits [minAge=D] [maxAge=D] [shardBytes=N] lowers the limits so that a short case reaches them.
func (r *fixture) commandLimits(d *datadriven.TestData) {
	minAge, maxAge := "1m", "24h"
	r.limits = toucanledger.Limits{HeadBytes: 4000, SealBytes: 400, OutcomeBytes: 1500, ShardBytes: 3000, PendingAge: time.Minute}
	d.MaybeScanArgs(r.t, "minAge", &minAge)
	d.MaybeScanArgs(r.t, "maxAge", &maxAge)
	d.MaybeScanArgs(r.t, "shardBytes", &r.limits.ShardBytes)
	r.limits.MinAge, r.limits.MaxAge = duration(r.t, minAge), duration(r.t, maxAge)
}

// fill PROCESS PREFIX COUNT claims, sends and finishes COUNT orders, one per second, and returns the number of each
// result.
func (r *fixture) commandFill(d *datadriven.TestData) string {
	var count int
	_, err := fmt.Sscan(d.CmdArgs[2].Key, &count)
	assert.NilError(r.t, err)
	verdicts := make(map[string]int)
	for i := range count {
		key := fmt.Sprint(d.CmdArgs[1].Key, i)
		a := r.claim("fill", d.CmdArgs[0].Key, key, 1, 5*time.Second)
		time.Sleep(time.Second)
		verdicts[a.String()]++
		if r.sendToEndpoint(a) {
			_ = a.process.claims.Finish(a.claim, toucanorder.Outcome{Status: 201, Body: []byte("ok")})
		}
	}
	time.Sleep(time.Second)
	return fmt.Sprint(verdicts)
}
