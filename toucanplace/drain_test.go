package toucanplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndpointsThatDrainTogetherUseDifferentTargets lists the endpoints as draining, or no longer at all.
func TestEndpointsThatDrainTogetherUseDifferentTargets(t *testing.T) {
	t.Run("listed", func(t *testing.T) { checkTargetsDiffer(t, true) })
	t.Run("lost by the list", func(t *testing.T) { checkTargetsDiffer(t, false) })
}

// checkTargetsDiffer has several slow endpoints of two failure domains drain at once. The entries choose
// at the same moment, without a word of each other's choice. A fresh endpoint attracts all of them; only one of the sources copies
// to it, and all copies stay in their failure domain.
func checkTargetsDiffer(t *testing.T, listed bool) {
	t.Helper()
	const count, draining = 36, 6
	pauses := make([]time.Duration, count)
	for i := range pauses {
		pauses[i] = brokenPause
		if i >= count-9 {
			pauses[i] = soundPause
		}
	}
	now := time.Now()
	used := make(map[string]string)
	for source := range draining {
		p, list := unevenPlacer(pauses...)
		uses := make(map[uint64]Use)
		for i := range list {
			list[i].FailureDomain, list[i].Leaving = fmt.Sprint("d", i%2), i < draining
			if i != draining {
				uses[list[i].Key()] = Use{Requests: 6, Tokens: 16000, Held: 14000, Exposed: 6}
			}
		}
		p.SetEndpoints(list)
		if !listed {
			p.SetEndpoints(list[draining:])
		}
		placeAt(t, p, now, longDemand, list[count-1].ID).Done(now, OutcomeNeutral)
		p.Observe(now, "peer", uses)
		d := longDemand
		d.Made = 100
		r, err := p.PlaceCopy(now, list[source], d, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.Endpoint.FailureDomain, list[source].FailureDomain)
		other, taken := used[r.Endpoint.ID]
		assert.Assert(t, !taken, "%s copies to %s, as %s does", list[source].ID, r.Endpoint.ID, other)
		used[r.Endpoint.ID] = list[source].ID
	}
}

// TestLastStreamStaysInItsDomain has one stream left at a draining endpoint. Its domain's other endpoint reads prompts, and that of another
// domain is idle; the copy there could outlast the notice.
func TestLastStreamStaysInItsDomain(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(brokenPause, brokenPause, soundPause)
	r := placeAt(t, p, now, longDemand, "e0")
	r.MarkPromptRead()
	p.Observe(now, "peer", map[uint64]Use{list[1].Key(): {Requests: 2, Tokens: 6000, Unread: 3000, Held: 3000}})
	list[0].Leaving, list[2].FailureDomain = true, "other"
	p.SetEndpoints(list)
	d := longDemand
	d.Made = 100
	c, err := p.PlaceCopy(now, list[0], d, nil)
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint.ID, "e1")
}

// TestLostEndpointKeepsItsLoad has the list lose an endpoint and find it again: its load is that of the requests that run there, of this
// entry and of a peer.
func TestLostEndpointKeepsItsLoad(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(soundPause, soundPause)
	r := placeAt(t, p, now, longDemand, "e0")
	p.SetEndpoints(list[1:])
	p.Observe(now, "peer", map[uint64]Use{list[0].Key(): {Requests: 2}})
	assert.Equal(t, p.LoadOf(now, "e0").Requests, 3)
	assert.Equal(t, p.OwnUse()[list[0].Key()].Requests, 1)
	assert.Assert(t, !p.IsAvailable("e0"))
	p.SetEndpoints(list)
	assert.Assert(t, p.IsAvailable("e0"))
	assert.Equal(t, p.LoadOf(now, "e0").Requests, 3)
	r.Done(now, OutcomeGood)
	assert.Equal(t, p.LoadOf(now, "e0").Requests, 2)
}
