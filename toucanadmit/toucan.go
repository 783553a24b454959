package toucanadmit

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"toucanport/toucanfair"
	"toucanport/toucanlength"
	"toucanport/toucanmeter"
	"toucanport/toucansettings"
	"toucanport/toucanstep"
)

// Levels of the fair queue; briefs are served ahead of plans.
const (
	levelBrief = 0
	levelPlan  = 1
)

const (
	// maxRunningBeforeReport limits the running requests until the engine's first report.
	maxRunningBeforeReport = 8
	// briefsPerPlan is how many briefs can start in a row while a plan that fits waits.
	briefsPerPlan = 8
	// maxBypassingBriefs is how many briefs can start ahead of a plan that does not fit. After that, all briefs wait
	// for the plan.
	maxBypassingBriefs = 64
	// burstTokens is the output credit that a workspace of weight 1 can accumulate while it gets less than its share.
	burstTokens = 8192
	// demandRefreshTokens is how many tokens a request generates before its memory demand is computed again.
	demandRefreshTokens = 16
	// throughputWindow is the averaging window of the token throughput.
	throughputWindow = 2 * time.Second
	// prefillAheadSteps is how many steps' worth of prompt computation may be in the engine at once. One prompt can
	// take up to two steps, so more than two are needed to measure the engine's full prefill rate.
	prefillAheadSteps = 4
	// stepSpanDivisor divides the duration of a step to get the time span in which all tokens of that step arrive.
	stepSpanDivisor = 3
	// defaultBlockTokens is assumed until the engine's first report.
	defaultBlockTokens = 16
	// outputGain is the weight of the newest output in the moving average of output lengths.
	outputGain = 0.02
)

// toucan admits a request when the engine's memory is forecast to hold it and the inter-token bound is kept. It
// serves workspaces in weighted fair order and refuses requests whose predicted wait is too long.
type toucan struct {
	cfg Config
	// z is the standard normal quantile of cfg.Quantile; unused if cfg.Quantile is 1.
	z       float64
	lengths *toucanlength.Estimator
	queue   *toucanfair.Queue
	// jobs holds every queued and running request by ID.
	jobs map[string]*job
	// now is the time of the latest Offer, Next or Load call.
	now time.Time
	// forecast is the memory forecast of the running jobs.
	forecast forecast
	step     *toucanstep.Model
	margin   margin
	report   EngineReport
	// usedHistory records the estimated memory use of the running jobs over time, in tokens.
	usedHistory toucanmeter.History
	// unaccounted is the memory use that the engine reported beyond the estimate for the running jobs, in tokens.
	unaccounted float64
	throughput  toucanmeter.Rate
	// meanOutput is a moving average of output lengths in tokens.
	meanOutput float64
	// prefilling counts the running jobs that have no first token yet; prefillTokens is the sum of their uncached
	// prompts.
	prefilling    int
	prefillTokens int
	prefillRate   toucanmeter.BusyRate
	stepDetector  toucanstep.Detector
	// promptQuantile tracks a quantile of the uncached prompt lengths of started requests, in tokens.
	promptQuantile quantileTracker
	// promptStepShare is a moving average of the share of steps that computed a prompt.
	promptStepShare float64
	// queuedPrefill is the sum of the uncached prompt tokens of queued jobs.
	queuedPrefill int
	running       int
	briefHeadroom headroom
	shares        shares
	bias          [toucanfair.Levels]waitBias
	// plansStarted counts the plans started so far; it serves as the priority of the next plan.
	plansStarted int
	// consecutiveBriefs counts the briefs started since the last plan while plans waited. bypassingBriefs counts
	// those of them that started after it was the plans' turn.
	consecutiveBriefs int
	bypassingBriefs   int
	// blocked reports whether the last call of Next left requests queued for lack of memory or batch slots.
	blocked bool
}

// job is a queued or running request.
type job struct {
	request Request
	item    toucanfair.Item
	key     toucanlength.Key
	running bool
	// prioritized is true for a brief whose workspace did not exceed its share when the brief arrived.
	prioritized bool
	// predictedWait is the wait predicted on arrival, before the correction for past prediction errors.
	predictedWait time.Duration
	// started is when the job was sent to the engine; zero while it is queued.
	started   time.Time
	generated int
	// demand is the running job's contribution to the forecast.
	demand demand
	// observedTokens is the number of generated tokens already reported to the length estimator.
	observedTokens int
}

// Length priors of the classes: a brief answer has tens of tokens, a document about a thousand.
var (
	briefPrior = toucanlength.Prior{MedianTokens: 40, Sigma: 1.2}
	planPrior  = toucanlength.Prior{MedianTokens: 1000, Sigma: 1.2}
)

// NewToucan returns the policy that admits requests by a forecast of the engine's memory use.
func NewToucan(cfg Config) Policy {
	cfg = cfg.withDefaults()
	t := &toucan{
		cfg: cfg,
		lengths: toucanlength.New(
			toucanlength.WithPrior(string(ClassBrief), briefPrior),
			toucanlength.WithPrior(string(ClassPlan), planPrior),
		),
		queue:          toucanfair.New(toucanfair.WithBurst(burstTokens)),
		jobs:           make(map[string]*job),
		step:           toucanstep.NewModel(),
		promptQuantile: quantileTracker{quantile: minPromptQuantile},
		throughput:     toucanmeter.Rate{Window: throughputWindow},
		briefHeadroom:  newHeadroom(),
		shares:         newShares(),
		bias:           [toucanfair.Levels]waitBias{{factor: 1}, {factor: 1}},
		meanOutput:     toucanlength.DefaultPrior.MedianTokens,
	}
	if cfg.Quantile < 1 {
		t.z = distuv.UnitNormal.Quantile(cfg.Quantile)
	}
	return t
}

func (t *toucan) Offer(now time.Time, r Request) error {
	t.now = now
	j := t.newJob(r)
	t.shares.recordOffer(now, r.Workspace, j.item.Weight)
	j.prioritized = j.item.Level == levelBrief && !t.overShare(j)
	if j.prioritized {
		t.briefHeadroom.recordOffer(now)
	}
	if err := t.refuse(now, j); err != nil {
		return err
	}
	t.jobs[r.ID] = j
	t.queue.Push(j.item)
	t.queuedPrefill += r.uncached()
	return nil
}

func (t *toucan) newJob(r Request) *job {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	j := &job{request: r, key: toucanlength.Key{Workspace: r.Workspace, Class: string(r.Class)}}
	j.item = toucanfair.Item{
		ID:        r.ID,
		Workspace: r.Workspace,
		Level:     r.level(),
		Weight:    r.Weight,
		Cost:      max(1, t.lengths.Curve(j.key).Remaining(0, r.MaxTokens)),
	}
	return j
}

func (r Request) uncached() int { return max(0, r.PromptTokens-r.CachedTokens) }

func (r Request) level() int {
	if r.Class == ClassPlan {
		return levelPlan
	}
	return levelBrief
}

func (t *toucan) Next(now time.Time) []Start {
	t.now = now
	t.blocked = false
	var starts []Start
	for {
		j := t.nextStartable()
		if j == nil {
			break
		}
		starts = append(starts, t.start(now, j))
	}
	t.usedHistory.Add(now, t.forecast.total.mean[0])
	return starts
}

// nextStartable returns the next queued job to start, or nil if none can start now.
func (t *toucan) nextStartable() *job {
	first, second := t.sortHeads()
	if first == nil {
		return nil
	}
	if j := t.startable(first); j != nil || second == nil {
		return j
	}
	if t.overShare(second) && !t.overShare(first) {
		return nil
	}
	if first.item.Level == levelPlan && t.bypassingBriefs >= maxBypassingBriefs {
		return nil
	}
	return t.startable(second)
}

// sortHeads returns the head jobs of the two levels, the one whose turn it is first. Briefs go first for up to
// briefsPerPlan turns. A brief whose workspace exceeds its share yields to a plan whose workspace does not.
func (t *toucan) sortHeads() (first, second *job) {
	brief, plan := t.head(levelBrief), t.head(levelPlan)
	switch {
	case plan == nil:
		return brief, nil
	case brief == nil:
		return plan, nil
	case t.consecutiveBriefs >= briefsPerPlan:
		return plan, brief
	case t.overShare(brief) && !t.overShare(plan):
		return plan, brief
	}
	return brief, plan
}

func (t *toucan) head(level int) *job {
	it, ok := t.queue.Head(level)
	if !ok {
		return nil
	}
	return t.jobs[it.ID]
}

// startable returns j if it can start now, nil otherwise.
func (t *toucan) startable(j *job) *job {
	if j == nil || !t.prefillAllows(j) {
		return nil
	}
	if !t.hasSlot(j) || !t.fits(j) {
		t.blocked = true
		return nil
	}
	return j
}

func (t *toucan) start(now time.Time, j *job) Start {
	_, planWaits := t.queue.Head(levelPlan)
	t.queue.Pop(j.item.ID)
	t.queuedPrefill -= j.request.uncached()
	j.running = true
	j.started = now
	t.running++
	t.shares.recordStart(j.request.Workspace, j.item.Cost)
	t.prefillRate.RecordStart(now, t.prefilling)
	t.prefilling++
	t.prefillTokens += j.request.uncached()
	t.promptQuantile.add(float64(j.request.uncached()))
	j.demand = t.demand(j)
	t.forecast.add(&j.demand)
	t.bias[j.item.Level].observe(j.predictedWait, now.Sub(j.request.Arrived))
	if j.item.Level == levelPlan {
		t.consecutiveBriefs, t.bypassingBriefs = 0, 0
		t.plansStarted++
		return Start{ID: j.item.ID, Priority: t.plansStarted}
	}
	if j.prioritized {
		t.briefHeadroom.recordStart(j.request.PromptTokens)
	}
	if planWaits {
		if t.consecutiveBriefs >= briefsPerPlan {
			t.bypassingBriefs++
		}
		t.consecutiveBriefs++
	}
	return Start{ID: j.item.ID}
}

// demand computes the memory that j is expected to hold from now on.
func (t *toucan) demand(j *job) demand {
	h := demandInput{
		promptTokens: j.request.PromptTokens,
		generated:    j.generated,
		maxTokens:    j.request.MaxTokens,
		curve:        t.lengths.Curve(j.key),
	}
	if h.maxTokens <= 0 {
		h.maxTokens = toucanlength.MaxLength
	}
	return h.demand(t.blockTokens())
}

// fits reports whether the engine's memory is forecast to hold j in addition to the running requests. If nothing
// runs, any request fits.
func (t *toucan) fits(j *job) bool {
	if t.running == 0 {
		return true
	}
	total := t.totalTokens()
	if total == 0 {
		return t.running < maxRunningBeforeReport
	}
	return t.shortfall(j) <= 0
}

// shortfall returns how many tokens of memory are missing to admit j; zero or less means that it fits.
func (t *toucan) shortfall(j *job) float64 {
	d := t.demand(j)
	total := t.totalTokens() * (1 - t.margin.share)
	over := t.overShare(j)
	if !j.prioritized {
		total -= t.briefHeadroom.memory(t.now, total, maxHeadroomShare(over))
	}
	if over {
		total *= 1 - overShareHeadroom
	}
	return t.peak(&d) - total
}

// hasSlot reports whether the batch has a free slot for j.
func (t *toucan) hasSlot(j *job) bool {
	bound := t.batchBound()
	if j.prioritized && t.briefHeadroom.running < bound*3/4 {
		return t.running < bound+int(prioritizedExtraSlots*float64(bound))
	}
	over := t.overShare(j)
	if !j.prioritized {
		bound -= t.briefHeadroom.slots(t.now, bound, maxHeadroomShare(over))
	}
	if over {
		bound -= int(overShareHeadroom * float64(bound))
	}
	return t.running == 0 || t.running < bound
}

func maxHeadroomShare(over bool) float64 {
	if over {
		return maxHeadroomOverShare
	}
	return maxHeadroom
}

func (t *toucan) overShare(j *job) bool {
	return t.shares.exceedsShare(j.request.Workspace, j.item.Cost)
}

// peak returns the forecast peak memory use of the running jobs and extra, in tokens, at the configured quantile.
// extra can be nil.
func (t *toucan) peak(extra *demand) float64 {
	if t.cfg.Quantile < 1 {
		return t.forecast.peak(t.z, extra, t.unaccounted)
	}
	longest := t.forecast.total.longest + max(0, t.unaccounted)
	if extra != nil {
		longest += extra.longest
	}
	return longest
}

func (t *toucan) blockTokens() int {
	if t.report.BlockTokens == 0 {
		return defaultBlockTokens
	}
	return t.report.BlockTokens
}

func (t *toucan) totalTokens() float64 {
	return float64(t.report.TotalBlocks * t.blockTokens())
}

// prioritizedExtraSlots is the share of the batch bound by which prioritized briefs may exceed it while other
// requests fill most of the batch. Briefs end soon, so the excess is short.
const prioritizedExtraSlots = 0.15

// stepBoundShare is the share of the inter-token bound that the planned duration of a step with a long prompt may
// take.
const stepBoundShare = 0.97

// Shares of the engine's steps that may exceed the inter-token bound because of a long prompt. An answer of some tens
// of tokens meets the bound with one such step, but not with two.
const (
	longStepsInterToken = 0.015
	longStepsStall      = 0.025
)

// Limits of the prompt length quantile that batchBound leaves step time for.
const (
	minPromptQuantile = 0.5
	maxPromptQuantile = 0.99
)

// promptStepShareGain is the weight of the newest step in promptStepShare.
const promptStepShareGain = 0.01

// batchBound returns how many requests can run at once such that a step that also computes a long prompt keeps the
// inter-token bound.
func (t *toucan) batchBound() int {
	bound := time.Duration(stepBoundShare * float64(t.cfg.InterToken))
	return t.step.SequencesWithin(bound, int(t.promptQuantile.value))
}

// prefillAllows reports whether j's prompt may be computed together with the prompts already being computed. If there
// are none, it may.
func (t *toucan) prefillAllows(j *job) bool {
	if t.prefilling == 0 {
		return true
	}
	bound := time.Duration(stepBoundShare * float64(t.cfg.InterToken))
	allowed := float64(t.step.PrefillWithin(bound, t.running+1))
	if rate := t.prefillRate.PerSecond(); rate > 0 {
		ahead := prefillAheadSteps * t.step.Predict(t.running+1, 0)
		allowed = min(allowed, rate*ahead.Seconds())
	}
	if t.overShare(j) {
		allowed *= overSharePrefill
	}
	return float64(t.prefillTokens+j.request.uncached()) <= allowed
}

func (t *toucan) Progress(now time.Time, id string, generated int) {
	j, ok := t.jobs[id]
	if !ok || !j.running || generated <= j.generated {
		return
	}
	first := j.generated == 0
	t.observeStep(now, j, generated, first)
	if first {
		t.endPrefill(j)
		t.prefillRate.RecordDone(now, j.request.uncached())
	}
	t.throughput.Add(now, float64(generated-j.generated))
	j.generated = generated
	if generated-j.observedTokens >= demandRefreshTokens {
		t.refreshDemand(j)
	}
}

// observeStep updates the step model from the arrival times of tokens.
func (t *toucan) observeStep(now time.Time, j *job, generated int, first bool) {
	span := t.step.Predict(t.running, 0) / stepSpanDivisor
	step, ok := t.stepDetector.ObserveTokens(now, span, generated-j.generated, first, j.request.uncached())
	if ok {
		t.step.Observe(step.Sequences, step.PrefillTokens, step.Took)
		t.updatePromptQuantile(step.PrefillTokens > 0)
	}
}

// updatePromptQuantile sets the prompt length quantile that steps must leave time for. The larger the share of steps
// that compute a prompt, the higher the quantile must be for the same share of long steps.
func (t *toucan) updatePromptQuantile(prompt bool) {
	x := 0.0
	if prompt {
		x = 1
	}
	t.promptStepShare += promptStepShareGain * (x - t.promptStepShare)
	allowed := longStepsInterToken
	if t.cfg.Weigh == toucansettings.PrioritizeStallTime {
		allowed = longStepsStall
	}
	t.promptQuantile.quantile = min(max(1-allowed/max(t.promptStepShare, allowed), minPromptQuantile), maxPromptQuantile)
}

func (t *toucan) endPrefill(j *job) {
	t.prefilling--
	t.prefillTokens -= j.request.uncached()
}

func (t *toucan) refreshDemand(j *job) {
	t.lengths.Observe(j.key, j.observedTokens, j.generated, false)
	j.observedTokens = j.generated
	t.forecast.remove(&j.demand)
	j.demand = t.demand(j)
	t.forecast.add(&j.demand)
}

func (t *toucan) Done(now time.Time, id string, generated int, complete bool) {
	j, ok := t.jobs[id]
	if !ok {
		return
	}
	if !j.running {
		t.removeQueued(j)
		return
	}
	t.Progress(now, id, generated)
	if j.generated == 0 {
		t.endPrefill(j)
	}
	delete(t.jobs, id)
	t.running--
	t.shares.recordEnd(j.request.Workspace, j.item.Cost)
	t.forecast.remove(&j.demand)
	if j.prioritized {
		t.briefHeadroom.recordEnd(j.request.PromptTokens, j.generated, now.Sub(j.started))
	}
	t.queue.Settle(j.item, float64(max(j.generated, 1)))
	t.observeOutput(j, complete)
}

func (t *toucan) observeOutput(j *job, complete bool) {
	if j.generated == 0 {
		return
	}
	bounded := j.request.MaxTokens > 0 && j.generated >= j.request.MaxTokens
	t.lengths.Observe(j.key, j.observedTokens, j.generated, complete && !bounded)
	t.meanOutput += outputGain * (float64(j.generated) - t.meanOutput)
}

// removeQueued removes a queued job from the policy.
func (t *toucan) removeQueued(j *job) {
	delete(t.jobs, j.item.ID)
	t.queue.Remove(j.item.ID)
	t.queuedPrefill -= j.request.uncached()
}

func (t *toucan) Load(now time.Time) Load {
	t.now = now
	queued := 0
	if n := len(t.jobs) - t.running; n > 0 {
		queued = n
	}
	blockTokens := t.blockTokens()
	return Load{
		Running:        t.running,
		Queued:         queued,
		QueuedTokens:   int(t.queue.Cost(levelBrief) + t.queue.Cost(levelPlan)),
		UsedBlocks:     int(max(0, t.forecast.total.mean[0]+t.unaccounted)) / blockTokens,
		TotalBlocks:    t.report.TotalBlocks,
		ForecastBlocks: int(max(0, t.peak(nil))) / blockTokens,
		StepTime:       t.step.Predict(t.running, 0),
		Wait:           t.bias[levelPlan].correct(t.estimateWait(now, t.newJob(Request{Class: ClassPlan}))),
	}
}
