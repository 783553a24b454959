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
	maxOutputTokens = 32768
	maxPromptTokens = 4096
	// sharedPrefixBytes is the length of the prefix that all prompts of a workspace have in common.
	sharedPrefixBytes = 1024
	// During a burst, requests arrive at burstFactor times the mean rate. Bursts take burstShare of the time and last
	// burstLength on average.
	burstFactor = 2
	burstShare  = 0.1
	burstLength = 1500 * time.Millisecond
)

// Arrival is a request of a measurement and its time.
type Arrival struct {
	// At is the time since the start of the measurement.
	At           time.Duration
	Service      string
	Workspace    int
	Class        string
	PromptTokens int
	OutputTokens int
	Label        string
}

// prompt returns a text of PromptTokens tokens of four bytes each. It begins with a head that sets the output length for the
// fake engine, and is longer if the head alone exceeds that size.
func (a Arrival) prompt() string {
	head := fmt.Sprintf("%-*s", sharedPrefixBytes, "instructions of "+toucanrig.WorkspaceName(a.Workspace))
	text := head + fmt.Sprintf(" outputTokens=%d label=%s ", a.OutputTokens, a.Label)
	if n := 4*a.PromptTokens - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	return text
}

// sampler draws the classes and lengths of requests of one service.
type sampler struct {
	rng       *rand.Rand
	planShare float64
	brief     distuv.LogNormal
	plan      distuv.LogNormal
	longPlan  distuv.Pareto
	prompts   distuv.LogNormal
}

func newSampler(rng *rand.Rand, s toucanrig.Service) *sampler {
	return &sampler{
		rng:       rng,
		planShare: s.PlanShare,
		brief:     distuv.LogNormal{Mu: math.Log(35), Sigma: 0.7, Src: rng},
		plan:      distuv.LogNormal{Mu: math.Log(200), Sigma: 0.9, Src: rng},
		longPlan:  distuv.Pareto{Xm: 300, Alpha: 2, Src: rng},
		prompts:   distuv.LogNormal{Mu: math.Log(350), Sigma: 0.5, Src: rng},
	}
}

// longPlanShare is the fraction of ClassPlan requests whose output length has a heavy-tailed (Pareto) distribution.
const longPlanShare = 0.4

func (s *sampler) draw(a *Arrival) {
	a.PromptTokens = clamp(s.prompts.Rand(), maxPromptTokens)
	a.Class = toucanrig.ClassBrief
	a.OutputTokens = clamp(s.brief.Rand(), maxOutputTokens)
	if s.rng.Float64() >= s.planShare {
		return
	}
	a.Class = toucanrig.ClassPlan
	a.OutputTokens = clamp(s.plan.Rand(), maxOutputTokens)
	if s.rng.Float64() < longPlanShare {
		a.OutputTokens = clamp(s.longPlan.Rand(), maxOutputTokens)
	}
}

func clamp(x float64, limit int) int { return min(max(int(x), 1), limit) }

// Arrivals returns the requests of a measurement in order of time; equal arguments give equal requests. load is a multiple
// of the Capacity of each service.
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

// serviceArrivals draws the arrivals of a Poisson process that switches between a calm and a burst rate, at random times.
// rate is the mean in requests per second.
func serviceArrivals(rng *rand.Rand, d toucanrig.Deployment, s toucanrig.Service, rate float64, duration time.Duration) []Arrival {
	var arrivals []Arrival
	requests := newSampler(rng, s)
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
			switchAt = at + exponentialInterval(rng, 1/length.Seconds())
		}
		next := at + exponentialInterval(rng, current)
		if next >= switchAt {
			at, switchAt, bursting = switchAt, 0, !bursting
			continue
		}
		at = next
		if at >= duration {
			return arrivals
		}
		a := Arrival{At: at, Service: s.Name, Workspace: int(workspaces.Rand())}
		requests.draw(&a)
		arrivals = append(arrivals, a)
	}
}

func exponentialInterval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(distuv.Exponential{Rate: rate, Src: rng}.Rand() * float64(time.Second))
}

const (
	capacitySamples = 100_000
	// targetMemoryShare is the mean fraction of an engine's memory that is in use at load 1.
	targetMemoryShare = 0.85
	// capacityMaxOutputTokens is the limit to which Capacity truncates outputs: 120 s of decoding.
	capacityMaxOutputTokens = 2700
)

// Capacity returns the requests per second that the service's engines can process: the rate at which they use
// targetMemoryShare of their memory on average, or the rate at which their mean step takes InterTokenBound if that is lower.
func Capacity(d toucanrig.Deployment, s toucanrig.Service) float64 {
	requests := newSampler(rand.New(rand.NewPCG(1, 1)), s)
	var prompts, outputs, tokenSteps float64
	for range capacitySamples {
		var a Arrival
		requests.draw(&a)
		out := float64(min(a.OutputTokens, capacityMaxOutputTokens))
		prompts += float64(max(a.PromptTokens-sharedPrefixBytes/4, 1))
		outputs += out
		tokenSteps += out * (float64(a.PromptTokens) + out/2)
	}
	memory := float64(d.Engine.Blocks * d.Engine.BlockTokens)
	sequences := targetMemoryShare * memory / (tokenSteps / outputs)
	rate := engineRate(d, sequences, prompts/capacitySamples, outputs/capacitySamples)
	for meanStepSeconds(d, sequences, rate, prompts/capacitySamples) > toucanrig.InterTokenBound.Seconds() {
		sequences--
		rate = engineRate(d, sequences, prompts/capacitySamples, outputs/capacitySamples)
	}
	return rate * float64(s.Engines)
}

// engineRate returns the requests per second at which one engine runs n sequences on average.
func engineRate(d toucanrig.Deployment, n, promptTokens, outputTokens float64) float64 {
	decode := d.Engine.StepBase.Seconds() + n*d.Engine.StepPerSequence.Seconds()
	// The engine spends the fraction rate*prefill of its time on prompts, and the rest on decoding steps.
	prefill := promptTokens * d.Engine.StepPerPrefillToken.Seconds()
	return n / (outputTokens*decode + n*prefill)
}

// meanStepSeconds returns the mean duration of a step of an engine that runs n sequences and receives rate requests per
// second.
func meanStepSeconds(d toucanrig.Deployment, n, rate, promptTokens float64) float64 {
	decode := d.Engine.StepBase.Seconds() + n*d.Engine.StepPerSequence.Seconds()
	return decode / (1 - rate*promptTokens*d.Engine.StepPerPrefillToken.Seconds())
}
