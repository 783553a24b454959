package toucanmeasure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"toucanport/toucanrig"
)

const (
	maxOutput = 32768
	maxPrompt = 4096
	// prefixBytes is the beginning that all prompts of a workspace share.
	prefixBytes = 1024
	// During a burst, requests come burstFactor times as often as on the mean.
	burstFactor = 2
	burstShare  = 0.1
	burstLength = 1500 * time.Millisecond
)

// Arrival is one request of a measurement.
type Arrival struct {
	// At counts from the start of the measurement.
	At           time.Duration
	Service      string
	Workspace    int
	Class        string
	PromptTokens int
	OutputTokens int
	Label        string
}

// prompt returns text of the arrival's length, which tells the stand-in engine how much to answer.
func (a Arrival) prompt() string {
	head := fmt.Sprintf("%-*s", prefixBytes, "instructions of "+toucanrig.WorkspaceName(a.Workspace))
	text := head + fmt.Sprintf(" outputTokens=%d label=%s ", a.OutputTokens, a.Label)
	if n := 4*a.PromptTokens - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	return text
}

// sampler draws requests of one service.
type sampler struct {
	rng      *rand.Rand
	plans    float64
	brief    distuv.LogNormal
	plan     distuv.LogNormal
	longPlan distuv.Pareto
	prompts  distuv.LogNormal
}

func newSampler(rng *rand.Rand, s toucanrig.Service) *sampler {
	return &sampler{
		rng:      rng,
		plans:    s.PlanShare,
		brief:    distuv.LogNormal{Mu: math.Log(35), Sigma: 0.7, Src: rng},
		plan:     distuv.LogNormal{Mu: math.Log(200), Sigma: 0.9, Src: rng},
		longPlan: distuv.Pareto{Xm: 300, Alpha: 2, Src: rng},
		prompts:  distuv.LogNormal{Mu: math.Log(350), Sigma: 0.5, Src: rng},
	}
}

// longPlanShare is the share of plans whose length has the heavy tail.
const longPlanShare = 0.4

func (s *sampler) draw(a *Arrival) {
	a.PromptTokens = clamp(s.prompts.Rand(), maxPrompt)
	a.Class = toucanrig.ClassBrief
	a.OutputTokens = clamp(s.brief.Rand(), maxOutput)
	if s.rng.Float64() >= s.plans {
		return
	}
	a.Class = toucanrig.ClassPlan
	a.OutputTokens = clamp(s.plan.Rand(), maxOutput)
	if s.rng.Float64() < longPlanShare {
		a.OutputTokens = clamp(s.longPlan.Rand(), maxOutput)
	}
}

func clamp(x float64, limit int) int { return min(max(int(x), 1), limit) }

// Arrivals returns the requests of one measurement in order of time. Load 1 is the deployment's Capacity.
func Arrivals(d toucanrig.Deployment, load float64, seed uint64, duration time.Duration) []Arrival {
	var all []Arrival
	for i, s := range d.Services {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, serviceArrivals(rng, d, s, load*Capacity(d, s), duration)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Label = fmt.Sprintf("r%d", i)
	}
	return all
}

// serviceArrivals draws a Poisson process that bursts switch between two rates; rate is the mean a second.
func serviceArrivals(rng *rand.Rand, d toucanrig.Deployment, s toucanrig.Service, rate float64, duration time.Duration) []Arrival {
	var arrivals []Arrival
	draws := newSampler(rng, s)
	workspaces := distuv.NewCategorical(toucanrig.WorkspaceShares, rng)
	calm := rate * (1 - burstShare*burstFactor) / (1 - burstShare)
	calmLength := time.Duration(float64(burstLength) * (1 - burstShare) / burstShare)
	bursting := false
	var at, switchAt time.Duration
	for {
		current, length := calm, calmLength
		if bursting {
			current, length = rate*burstFactor, burstLength
		}
		if switchAt == 0 {
			switchAt = at + exponential(rng, 1/length.Seconds())
		}
		next := at + exponential(rng, current)
		if next >= switchAt {
			at, switchAt, bursting = switchAt, 0, !bursting
			continue
		}
		at = next
		if at >= duration {
			return arrivals
		}
		a := Arrival{At: at, Service: s.Name, Workspace: int(workspaces.Rand())}
		draws.draw(&a)
		arrivals = append(arrivals, a)
	}
}

func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(distuv.Exponential{Rate: rate, Src: rng}.Rand() * float64(time.Second))
}

const (
	capacitySamples = 100_000
	// capacityMemoryShare is the part of an engine's memory that load 1 fills on the mean.
	capacityMemoryShare = 0.85
	// capacityOutput cuts longer outputs in the calculation: 120 s of decoding.
	capacityOutput = 2700
)

// Capacity returns the requests a second that the service's engines can carry: on the mean they fill
// capacityMemoryShare of their memory, or their steps take InterTokenBound, whichever comes first.
func Capacity(d toucanrig.Deployment, s toucanrig.Service) float64 {
	draws := newSampler(rand.New(rand.NewPCG(1, 1)), s)
	var prompts, outputs, held float64
	for range capacitySamples {
		var a Arrival
		draws.draw(&a)
		out := float64(min(a.OutputTokens, capacityOutput))
		prompts += float64(max(a.PromptTokens-prefixBytes/4, 1))
		outputs += out
		held += out * (float64(a.PromptTokens) + out/2)
	}
	memory := float64(d.Engine.Blocks * d.Engine.BlockTokens)
	sequences := capacityMemoryShare * memory / (held / outputs)
	byMemory := engineRate(d, sequences, prompts/capacitySamples, outputs/capacitySamples)
	for stepAt(d, sequences, byMemory, prompts/capacitySamples) > toucanrig.InterTokenBound.Seconds() {
		sequences--
		byMemory = engineRate(d, sequences, prompts/capacitySamples, outputs/capacitySamples)
	}
	return byMemory * float64(s.Engines)
}

// engineRate returns the requests a second that keep one engine at n sequences.
func engineRate(d toucanrig.Deployment, n, promptTokens, outputTokens float64) float64 {
	decode := d.Engine.StepBase.Seconds() + n*d.Engine.StepPerSequence.Seconds()
	// Of each second, the share rate*prefill goes to prompts, and the rest to decoding steps.
	prefill := promptTokens * d.Engine.StepPerPrefillToken.Seconds()
	return n / (outputTokens*decode + n*prefill)
}

// stepAt returns the mean step in seconds of an engine with n sequences and rate requests a second.
func stepAt(d toucanrig.Deployment, n, rate, promptTokens float64) float64 {
	decode := d.Engine.StepBase.Seconds() + n*d.Engine.StepPerSequence.Seconds()
	return decode / (1 - rate*promptTokens*d.Engine.StepPerPrefillToken.Seconds())
}
