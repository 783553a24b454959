package toucanlength

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestBucketsCoverEveryLength(t *testing.T) {
	for n := 0; n <= MaxLength; n++ {
		b := bucketOf(n)
		assert.Assert(t, bucketStart(b) <= n && n < bucketStart(b+1), "length %d in bucket %d", n, b)
	}
	assert.Equal(t, bucketStart(bucketCount), MaxLength+1)
}

func TestSurvivalNeverRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		k := Key{Workspace: "w", Class: "plan"}
		lengths := rapid.SliceOfN(rapid.IntRange(0, 2*MaxLength), 0, 50).Draw(t, "lengths")
		for i, n := range lengths {
			e.Observe(k, 0, n, i%3 != 0)
		}
		c := e.Curve(k)
		a := rapid.IntRange(0, MaxLength).Draw(t, "a")
		b := rapid.IntRange(a, MaxLength).Draw(t, "b")
		if c.Survival(b) > c.Survival(a) {
			t.Fatalf("survival(%d)=%v rises over survival(%d)=%v", b, c.Survival(b), a, c.Survival(a))
		}
		bound := rapid.IntRange(1, MaxLength).Draw(t, "bound")
		if rest := c.Remaining(a, bound); rest < 0 || rest > float64(max(0, bound-a))+1e-6 {
			t.Fatalf("%v tokens remain after %d of at most %d", rest, a, bound)
		}
	})
}

func TestRemainingIsConditional(t *testing.T) {
	e := New()
	k := Key{Workspace: "w", Class: "plan"}
	for range 100 {
		e.Observe(k, 0, 20, true)
		e.Observe(k, 0, 4000, true)
	}
	c := e.Curve(k)
	assert.Assert(t, c.Remaining(0, 0) < 2600)
	assert.Assert(t, c.Remaining(100, 0) > 3000)
	assert.Assert(t, c.Remaining(100, 200) <= 100)
}

func TestColdWorkspaceFallsBackToService(t *testing.T) {
	e := New()
	for i := range 500 {
		e.Observe(Key{Workspace: fmt.Sprint(i % 10), Class: "plan"}, 0, 1000, true)
	}
	rest := e.Curve(Key{Workspace: "new", Class: "plan"}).Remaining(0, 0)
	assert.Assert(t, math.Abs(rest-1000) < 200, "%v", rest)
	other := e.Curve(Key{Workspace: "new", Class: "brief"}).Remaining(0, 0)
	prior := DefaultPrior.MedianTokens * math.Exp(DefaultPrior.Sigma*DefaultPrior.Sigma/2)
	assert.Assert(t, math.Abs(other-prior) < prior/10, "%v, prior's mean is %v", other, prior)
}

func TestEstimateFollowsChangedLengths(t *testing.T) {
	e := New()
	k := Key{Workspace: "w", Class: "plan"}
	for range 1000 {
		e.Observe(k, 0, 100, true)
	}
	for range 600 {
		e.Observe(k, 0, 3000, true)
	}
	assert.Assert(t, e.Curve(k).Remaining(0, 0) > 2000)
}

func TestCutOutputsDoNotShortenEstimate(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	lengths := distuv.LogNormal{Mu: math.Log(500), Sigma: 1, Src: rnd}
	whole, cut := New(), New()
	k := Key{Workspace: "w", Class: "plan"}
	for range 2000 {
		n := int(lengths.Rand())
		whole.Observe(k, 0, n, true)
		if limit := rnd.IntN(4000); n > limit {
			cut.Observe(k, 0, limit, false)
		} else {
			cut.Observe(k, 0, n, true)
		}
	}
	want, got := whole.Curve(k).Remaining(0, 0), cut.Curve(k).Remaining(0, 0)
	assert.Assert(t, got > 0.7*want && got < 1.4*want, "got %v, want about %v", got, want)
}

// TestRunningOutputsRaiseSurvival guards against estimates from ended outputs only: while half of the outputs still
// run, the ended half are the short ones.
func TestRunningOutputsRaiseSurvival(t *testing.T) {
	e := New()
	k := Key{Workspace: "w", Class: "plan"}
	for range 200 {
		e.Observe(k, 0, 100, true)
		e.Observe(k, 0, 1000, false)
	}
	c := e.Curve(k)
	assert.Assert(t, c.Survival(900) > 0.45, "%v", c.Survival(900))
}

func TestKeysAreBounded(t *testing.T) {
	e := New(WithCapacity(100))
	for i := range 1700 {
		e.Observe(Key{Workspace: fmt.Sprint(i), Class: "brief"}, 0, 10, true)
	}
	assert.Equal(t, e.Keys(), 100)
}

func BenchmarkObserveAndCurve(b *testing.B) {
	e := New()
	keys := make([]Key, 3400)
	for i := range keys {
		keys[i] = Key{Workspace: fmt.Sprint(i / 2), Class: []string{"brief", "plan"}[i%2]}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := keys[i%len(keys)]
		e.Observe(k, 0, i%3000, true)
		e.Curve(k)
	}
}
