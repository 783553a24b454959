package toucanschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanadmit"
)

// scriptedPolicy returns fixed decisions.
type scriptedPolicy struct {
	toucanadmit.Policy
	expired []string
	starts  []toucanadmit.Start
	wait    time.Duration
}

func (p *scriptedPolicy) Expired(time.Time) []string         { return p.expired }
func (p *scriptedPolicy) Next(time.Time) []toucanadmit.Start { return p.starts }
func (p *scriptedPolicy) Wake(time.Time) time.Time           { return time.Time{} }
func (p *scriptedPolicy) Load(time.Time) toucanadmit.Load    { return toucanadmit.Load{Wait: p.wait} }
func (p *scriptedPolicy) Progress(time.Time, string, int)    {}

func TestStepExecutesDecisions(t *testing.T) {
	p := &scriptedPolicy{
		expired: []string{"late"},
		starts:  []toucanadmit.Start{{ID: "first", Priority: 1}, {ID: "second", Priority: 2}},
		wait:    3 * time.Second,
	}
	var got []string
	start := func(id string, priority int) { got = append(got, fmt.Sprint(id, " ", priority)) }
	expire := func(id string, after time.Duration) { got = append(got, fmt.Sprint(id, " ", after)) }
	New(p, start, expire).step()
	// Priorities are negated: the engine evicts the lowest priority first, the policy's highest number.
	assert.DeepEqual(t, got, []string{"late 3s", "first -1", "second -2"})
}
