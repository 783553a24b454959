package toucanway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawEnd(t *rapid.T, name string) End {
	return End{Key: rapid.Uint64().Draw(t, name), FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, name+" domain")}
}

func drawCopy(t *rapid.T) Copy {
	c := Copy{From: drawEnd(t, "from"), Waiting: rapid.IntRange(-1, 9).Draw(t, "waiting"), Draining: rapid.Bool().Draw(t, "draining")}
	if !c.Draining {
		return c
	}
	c.Sources = []End{c.From}
	for i := range rapid.IntRange(0, 4).Draw(t, "others") {
		other := drawEnd(t, fmt.Sprint("source ", i))
		if !slices.ContainsFunc(c.Sources, func(s End) bool { return s.Key == other.Key }) {
			c.Sources = append(c.Sources, other)
		}
	}
	return c
}

// TestWayCostsWhatWaits compares near and far targets: the domain of a target changes the cost by what the longer copy keeps waiting, and a
// near target costs the same however many wait.
func TestWayCostsWhatWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCopy(t)
		c.Sources = nil
		near := End{Key: rapid.Uint64().Draw(t, "target"), FailureDomain: c.From.FailureDomain}
		far := End{Key: near.Key, FailureDomain: "far"}
		more := c
		more.Waiting++
		assert.Equal(t, c.Cost(near), more.Cost(near))
		assert.Assert(t, c.Cost(near) >= 0 && c.Cost(near) < spreadCost)
		assert.Assert(t, c.Cost(far) >= c.Cost(near)+farCopyCost)
		assert.Assert(t, more.Cost(far) >= c.Cost(far))
		urgent := c
		urgent.Draining = true
		assert.Assert(t, urgent.Cost(far) >= c.Cost(far))
		assert.Equal(t, urgent.Cost(near), c.Cost(near))
	})
}

// TestOwnerIsAgreed compares Owner with a search of all sources by hand, in any order of them; and the end of one source gives only its
// targets to others.
func TestOwnerIsAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := drawEnd(t, "target")
		c := drawCopy(t)
		owner, ok := Owner(target, c.Sources)
		assert.Equal(t, ok, len(c.Sources) > 0)
		if !ok {
			return
		}
		assert.DeepEqual(t, owner, plainOwner(target, c.Sources))
		shuffled := rapid.Permutation(c.Sources).Draw(t, "order")
		again, _ := Owner(target, shuffled)
		assert.DeepEqual(t, again, owner)
		gone := rapid.IntRange(0, len(c.Sources)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(c.Sources), gone, gone+1)
		after, ok := Owner(target, rest)
		if ok && c.Sources[gone] != owner {
			assert.DeepEqual(t, after, owner)
		}
	})
}

// plainOwner is Owner written plainly: the sources of the target's domain, or else all, and the highest weight among them.
func plainOwner(target End, sources []End) End {
	near := slices.DeleteFunc(slices.Clone(sources), func(s End) bool { return s.FailureDomain != target.FailureDomain })
	if len(near) == 0 {
		near = sources
	}
	return slices.MaxFunc(near, func(x, y End) int {
		if (x.Key^target.Key)*targetMix < (y.Key^target.Key)*targetMix {
			return -1
		}
		return 1
	})
}

const (
	// nearMs and farMs are the times of a copy within a domain and to another one.
	nearMs, farMs = 200, 400
	// noticeMs is the notice after which streams that are still at the source are cut.
	noticeMs = 1000
)

// cut returns how many of a number of streams are still at their source at the end of its notice, if they leave it one after the other,
// each to the target of least cost by choose. load is the cost of each target; a target takes one copy.
func cut(streams int, load []float64, far []bool, choose func(i, waiting int) float64) int {
	used := make([]bool, len(load))
	at, left := 0, streams
	for left > 0 {
		best, bestCost := -1, math.Inf(1)
		for i := range load {
			if c := load[i] + choose(i, left-1); !used[i] && c < bestCost {
				best, bestCost = i, c
			}
		}
		if best < 0 {
			break
		}
		took := nearMs
		if far[best] {
			took = farMs
		}
		if at += took; at > noticeMs {
			break
		}
		used[best] = true
		left--
	}
	return left
}

// fewestCut is cut for the best of all choices, by a search of all orders.
func fewestCut(streams int, far []bool, at int) int {
	best := streams
	for i, f := range far {
		took := nearMs
		if f {
			took = farMs
		}
		if streams == 0 || at+took > noticeMs {
			continue
		}
		rest := slices.Delete(slices.Clone(far), i, i+1)
		best = min(best, fewestCut(streams-1, rest, at+took))
	}
	return best
}

// peak is a load of two domains whose waves differ: targets of the source's domain are at their peak, those of the other one idle.
type peak struct {
	streams int
	load    []float64
	far     []bool
}

// drawPeak makes a peak of six targets from a source of numbers from 0 to 1.
func drawPeak(streams int, number func(i int) float64) peak {
	p := peak{streams: streams}
	for i := range 6 {
		isFar, load := i%2 == 1, 0.4+0.5*number(i)
		if isFar {
			load = 0.3 * number(i)
		}
		p.load, p.far = append(p.load, load), append(p.far, isFar)
	}
	return p
}

// cut returns how many streams are cut if the cost of the way ignores the notice and the streams that wait, and if it doesn't.
func (p peak) cut() (unaware, aware int) {
	cost := func(i int, c Copy) float64 {
		to := End{Key: uint64(i), FailureDomain: "a"}
		if p.far[i] {
			to.FailureDomain = "b"
		}
		c.From = End{Key: 1, FailureDomain: "a"}
		return c.Cost(to)
	}
	unaware = cut(p.streams, p.load, p.far, func(i, _ int) float64 { return cost(i, Copy{}) })
	aware = cut(p.streams, p.load, p.far, func(i, waiting int) float64 { return cost(i, Copy{Waiting: waiting, Draining: true}) })
	return unaware, aware
}

// TestNoPeakIsServedWorse plays random peaks: the cost of the way cuts no further stream, and as few as the best of all choices.
func TestNoPeakIsServedWorse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPeak(rapid.IntRange(1, 5).Draw(t, "streams"), func(i int) float64 {
			return rapid.Float64Range(0, 1).Draw(t, fmt.Sprint("load ", i))
		})
		unaware, aware := p.cut()
		assert.Assert(t, aware <= unaware, "%d cut, without the cost %d", aware, unaware)
		assert.Equal(t, aware, fewestCut(p.streams, p.far, 0))
	})
}

// TestStreamsLeaveADomainAtItsPeak plays a thousand peaks, each with streams that leave an endpoint which drains. The other endpoints of
// its domain are busy, and those of another one idle. With the notice and those that wait in the cost of the way, at most half as many
// streams are cut.
func TestStreamsLeaveADomainAtItsPeak(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	without, with := 0, 0
	for range 1000 {
		p := drawPeak(2+rng.IntN(4), func(int) float64 { return rng.Float64() })
		unaware, aware := p.cut()
		without, with = without+unaware, with+aware
	}
	t.Logf("streams cut: %d without, %d with the cost of the way", without, with)
	assert.Assert(t, 2*with <= without, "%d cut, %d without", with, without)
}
