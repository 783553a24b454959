package toucanroute

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newEndpoints(n int) []Endpoint {
	es := make([]Endpoint, 0, n)
	for i := range n {
		es = append(es, Endpoint{
			Name:          fmt.Sprintf("e%d", i),
			Service:       "s",
			FailureDomain: string(rune('a' + i%3)),
			Address:       netip.MustParseAddrPort("10.0.0.1:1"),
		})
	}
	return es
}

// modelReport is the newest report about an endpoint that a router must have accepted.
type modelReport struct {
	boot, sequence uint64
	refuses        bool
	// replaced holds every boot ID before the current one.
	replaced []uint64
}

func (m *modelReport) report(l Load) {
	if slices.Contains(m.replaced, l.BootID) || l.BootID == m.boot && l.Sequence <= m.sequence {
		return
	}
	if l.BootID != m.boot {
		m.replaced = append(m.replaced, m.boot)
	}
	m.boot, m.sequence, m.refuses = l.BootID, l.Sequence, l.Leaving || !l.Healthy
}

// TestPickProperties makes the same random calls to toucan and naive. Neither may choose an endpoint that is
// excluded, not listed, or leaving or unhealthy by its newest report. While no outcome has ejected an endpoint,
// toucan must find one whenever naive does. A survey just before must say whether there is an endpoint, and not leave out the
// chosen one.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		es := newEndpoints(rapid.IntRange(1, 8).Draw(t, "endpoints"))
		toucan := NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)})
		naive := NewNaive()
		routers := []Router{toucan, naive}
		model := make(map[string]*modelReport)
		listed := es
		outcomes := false
		for _, r := range routers {
			r.SetEndpoints(now, "s", es)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				listed = es[rapid.IntRange(0, len(es)-1).Draw(t, "from"):]
				for _, r := range routers {
					r.SetEndpoints(now, "s", listed)
				}
				for name := range model {
					if !slices.ContainsFunc(listed, func(e Endpoint) bool { return e.Name == name }) {
						delete(model, name)
					}
				}
			},
			"report": func(t *rapid.T) {
				l := drawLoad(t, listed)
				for _, r := range routers {
					r.Report(now, l)
				}
				if model[l.Endpoint] == nil {
					model[l.Endpoint] = &modelReport{}
				}
				model[l.Endpoint].report(l)
			},
			"pick": func(t *rapid.T) {
				q := Query{Service: "s", PromptTokens: 10, Key: rapid.SampledFrom([]string{"", "k"}).Draw(t, "key")}
				if rapid.Bool().Draw(t, "exclude") {
					q.Exclude = []string{rapid.SampledFrom(es).Draw(t, "excluded").Name}
				}
				var found [2]bool
				for i, r := range routers {
					survey, surveyErr := r.(Surveyor).Survey(now, q)
					e, err := r.Pick(now, q)
					found[i] = err == nil
					assert.DeepEqual(t, surveyErr, err)
					assert.Equal(t, found[i], slices.ContainsFunc(survey, func(a Assessment) bool { return a.Endpoint == e && a.LeftOut == LeftOutNone }))
					if err != nil {
						assertNoEndpoint(t, err)
						continue
					}
					r.RecordSent(now, e.Name, q)
					assert.Assert(t, slices.Contains(listed, e))
					assert.Assert(t, model[e.Name] == nil || !model[e.Name].refuses)
					assert.Assert(t, !slices.Contains(q.Exclude, e.Name))
				}
				if !outcomes {
					assert.Equal(t, found[0], found[1])
				}
			},
			"finish": func(t *rapid.T) {
				o := Outcome(rapid.IntRange(int(Completed), int(Stalled)).Draw(t, "outcome"))
				name := rapid.SampledFrom(es).Draw(t, "endpoint").Name
				for _, r := range routers {
					r.RecordOutcome(now, name, Query{Service: "s"}, o, 10*time.Millisecond)
				}
				outcomes = true
			},
		})
	})
}

func drawLoad(t *rapid.T, listed []Endpoint) Load {
	return Load{
		Endpoint: rapid.SampledFrom(listed).Draw(t, "endpoint").Name,
		BootID:   rapid.Uint64Range(1, 3).Draw(t, "boot"),
		Sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
		Wait:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond,
		StepTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond,
		Running:  rapid.IntRange(0, 50).Draw(t, "running"),
		Leaving:  rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		Healthy:  rapid.IntRange(0, 4).Draw(t, "unhealthy") > 0,
	}
}

func assertNoEndpoint(t assert.TestingT, err error) {
	var none *NoEndpointError
	assert.Assert(t, errors.As(err, &none))
	assert.Assert(t, none.RetryAfter >= minRetryAfter && none.RetryAfter <= maxRetryAfter)
}

// TestEntriesSpreadRequestsOnOneStaleReport checks that 40 entries that all rely on the same old report do not
// overload one endpoint: before the next report, no endpoint gets more than twice its share.
func TestEntriesSpreadRequestsOnOneStaleReport(t *testing.T) {
	now := time.Unix(0, 0)
	counts := make(map[string]int)
	const entries, requests, endpoints = 40, 16, 16
	for entry := range entries {
		r := NewToucan(Config{FailureDomain: string(rune('a' + entry%3)), Rand: rand.NewPCG(uint64(entry), 1)})
		r.SetEndpoints(now, "s", newEndpoints(endpoints))
		for _, e := range newEndpoints(endpoints) {
			r.Report(now, Load{BootID: 1, Sequence: 1, Endpoint: e.Name, Healthy: true, StepTime: 20 * time.Millisecond, TotalBlocks: 1000})
		}
		for range requests {
			q := Query{Service: "s", PromptTokens: 100}
			e, err := r.Pick(now, q)
			assert.NilError(t, err)
			r.RecordSent(now, e.Name, q)
			counts[e.Name]++
		}
	}
	assert.Equal(t, len(counts), endpoints)
	for name, n := range counts {
		assert.Assert(t, n <= 2*entries*requests/endpoints, "%s got %d", name, n)
	}
}

func BenchmarkPick16(b *testing.B) {
	now := time.Unix(0, 0)
	for _, r := range []struct {
		name   string
		router Router
	}{{"naive", NewNaive()}, {"toucan", NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)})}} {
		b.Run(r.name, func(b *testing.B) {
			r.router.SetEndpoints(now, "s", newEndpoints(16))
			for i, e := range newEndpoints(16) {
				cached := make([]uint64, 64)
				for j := range cached {
					cached[j] = uint64(i*1000 + j)
				}
				r.router.Report(now, Load{BootID: 1, Sequence: 1, Endpoint: e.Name, Healthy: true, Running: i, CachedPrefixes: cached, TotalBlocks: 1000})
			}
			q := Query{Service: "s", PromptTokens: 100, PrefixHash: 5003, Exclude: []string{"e7"}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.router.Pick(now, q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestPickDoesNotAllocate checks that Pick allocates no memory.
func TestPickDoesNotAllocate(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)})
	r.SetEndpoints(now, "s", newEndpoints(16))
	q := Query{Service: "s", PromptTokens: 100, PrefixHash: 1, Key: "order"}
	allocations := testing.AllocsPerRun(100, func() { _, _ = r.Pick(now, q) })
	assert.Equal(t, allocations, 0.0)
}
