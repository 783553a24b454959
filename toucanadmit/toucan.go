package toucanadmit

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"toucanport/toucanfair"
	"toucanport/toucanlength"
	"toucanport/toucansettings"
)

// Levels of the fair queue.
const (
	levelBrief = 0
	levelPlan  = 1
)

const (
	// coldRunning bounds the running requests before the engine's first report.
	coldRunning = 8
	// briefsPerPlan is how many briefs may start in a row while a plan that fits waits.
	briefsPerPlan = 8
	// maxBypassed is how many briefs may start past a plan that does not fit; then all wait for the plan.
	maxBypassed = 64
	// burstTokens is the output that a workspace of weight 1 may have saved up while it got less than its share.
	burstTokens = 8192
	// refreshTokens is how many tokens a request generates before its demand is computed anew.
	refreshTokens = 16
	// throughputWindow is the time over which generated tokens are counted.
	throughputWindow = 2 * time.Second
	// prefillAheadSteps is how many steps of prompt computation are handed to the engine in advance. A prompt alone
	// takes up to two, so that more are needed to find out what the engine can do.
	prefillAheadSteps = 4
	// stepSpanParts is the part of a step, as its inverse, in which all of its tokens arrive.
	stepSpanParts = 3
	// defaultBlockTokens stands in until the engine's first report.
	defaultBlockTokens = 16
	// outputGain is the weight of the newest output in the mean output.
	outputGain = 0.02
)

// toucan admits what is forecast to fit into the engine's memory and to keep the bound between tokens, in a weighted
// fair order, and refuses what would wait too long.
type toucan struct {
	cfg     Config
	z       float64
	lengths *toucanlength.Estimator
	queue   *toucanfair.Queue
	// jobs holds every queued and running request by id.
	jobs map[string]*job
	// now is the time of the latest call that asked for a decision.
	now time.Time
	// sum is the forecast of the running jobs.
	sum    forecast
	step   *stepModel
	margin margin
	report EngineReport
	// used is the history of the tokens that the running jobs held.
	used history
	// unaccounted is what the engine reported beyond the running jobs' own use, in tokens.
	unaccounted float64
	throughput  meter
	// meanOutput is the recent mean length of outputs, in tokens.
	meanOutput float64
	// prefilling counts running jobs without a first token, prefillTokens their uncached prompts.
	prefilling    int
	prefillTokens int
	prefillRate   busyRate
	watch         stepWatch
	// prompts follows the uncached prompts of starts, in tokens.
	prompts tracker
	// promptShare is the recent share of steps that computed a prompt.
	promptShare float64
	// queuedPrefill is the sum of the uncached prompts of queued jobs.
	queuedPrefill int
	running       int
	briefs        reserve
	shares        shares
	bias          [toucanfair.Levels]waitBias
	// ordinal numbers the started plans.
	ordinal int
	// briefTurns counts briefs started since a plan was, while plans waited; bypassed those started since the
	// plans' turn came.
	briefTurns int
	bypassed   int
	// blocked says that the last call of Next left requests queued for want of memory or batch room.
	blocked bool
}

// job is one request that the policy holds.
type job struct {
	request Request
	item    toucanfair.Item
	key     toucanlength.Key
	running bool
	// favoured is true for a brief of a workspace that held no more than its share when it came.
	favoured bool
	// predicted is the wait that was expected when the job came, before the correction for past errors.
	predicted time.Duration
	// started is when the job was handed to the engine; zero while queued.
	started   time.Time
	generated int
	// demand is what the forecast holds for a running job.
	demand demand
	// accounted is how many of the generated tokens the length estimates know of.
	accounted int
}

// Priors of the classes: a quick answer has tens of tokens, a document some thousand.
var (
	briefPrior = toucanlength.Prior{MedianTokens: 40, Sigma: 1.2}
	planPrior  = toucanlength.Prior{MedianTokens: 1000, Sigma: 1.2}
)

// NewToucan returns the policy that admits by a forecast of the engine's memory.
func NewToucan(cfg Config) Policy {
	cfg = cfg.withDefaults()
	t := &toucan{
		cfg: cfg,
		lengths: toucanlength.New(
			toucanlength.WithPrior(string(ClassBrief), briefPrior),
			toucanlength.WithPrior(string(ClassPlan), planPrior),
		),
		queue:      toucanfair.New(toucanfair.WithBurst(burstTokens)),
		jobs:       make(map[string]*job),
		step:       newStepModel(),
		prompts:    tracker{quantile: minPromptQuantile},
		throughput: meter{window: throughputWindow},
		briefs:     newReserve(),
		shares:     newShares(),
		bias:       [toucanfair.Levels]waitBias{{factor: 1}, {factor: 1}},
		meanOutput: toucanlength.DefaultPrior.MedianTokens,
	}
	if cfg.Quantile < 1 {
		t.z = distuv.UnitNormal.Quantile(cfg.Quantile)
	}
	return t
}

func (t *toucan) Offer(now time.Time, r Request) error {
	t.now = now
	j := t.newJob(r)
	t.shares.offered(now, r.Workspace, j.item.Weight)
	j.favoured = j.item.Level == levelBrief && !t.overShare(j)
	if j.favoured {
		t.briefs.offer(now)
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
		j := t.pick()
		if j == nil {
			break
		}
		starts = append(starts, t.start(now, j))
	}
	t.used.add(now, t.sum.sum.mean[0])
	return starts
}

// pick returns the queued job to start now, nil when none may.
func (t *toucan) pick() *job {
	first, second := t.order()
	if first == nil {
		return nil
	}
	if j := t.startable(first); j != nil || second == nil {
		return j
	}
	if t.overShare(second) && !t.overShare(first) {
		return nil
	}
	if first.item.Level == levelPlan && t.bypassed >= maxBypassed {
		return nil
	}
	return t.startable(second)
}

// order returns the heads of the two levels, the one whose turn it is first. Briefs go first for some turns, but
// those of a workspace that holds more than its share leave the turn to others' plans.
func (t *toucan) order() (first, second *job) {
	brief, plan := t.head(levelBrief), t.head(levelPlan)
	switch {
	case plan == nil:
		return brief, nil
	case brief == nil:
		return plan, nil
	case t.briefTurns >= briefsPerPlan:
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

// startable returns j when it may start now, and otherwise nil.
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
	t.shares.started(j.request.Workspace, j.item.Cost)
	t.prefillRate.start(now, t.prefilling)
	t.prefilling++
	t.prefillTokens += j.request.uncached()
	t.prompts.add(float64(j.request.uncached()))
	j.demand = t.demand(j)
	t.sum.add(&j.demand)
	t.bias[j.item.Level].learn(j.predicted, now.Sub(j.request.Arrived))
	if j.item.Level == levelPlan {
		t.briefTurns, t.bypassed = 0, 0
		t.ordinal++
		return Start{ID: j.item.ID, Priority: t.ordinal}
	}
	if j.favoured {
		t.briefs.started(j.request.PromptTokens)
	}
	if planWaits {
		if t.briefTurns >= briefsPerPlan {
			t.bypassed++
		}
		t.briefTurns++
	}
	return Start{ID: j.item.ID}
}

// demand computes what j is expected to hold from now on.
func (t *toucan) demand(j *job) demand {
	h := holding{
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

// fits says whether the engine's memory is forecast to hold j beside what runs. A request alone always may run.
func (t *toucan) fits(j *job) bool {
	if t.running == 0 {
		return true
	}
	total := t.totalTokens()
	if total == 0 {
		return t.running < coldRunning
	}
	return t.shortfall(j) <= 0
}

// shortfall returns how many tokens of memory are missing for j.
func (t *toucan) shortfall(j *job) float64 {
	d := t.demand(j)
	total := t.totalTokens() * (1 - t.margin.share)
	over := t.overShare(j)
	if !j.favoured {
		total -= t.briefs.memory(t.now, total, reserveFor(over))
	}
	if over {
		total *= 1 - overShareRoom
	}
	return t.peak(&d) - total
}

// hasSlot says whether the batch has room for j.
func (t *toucan) hasSlot(j *job) bool {
	bound := t.batchBound()
	if j.favoured && t.briefs.running < bound*3/4 {
		return t.running < bound+int(favouredSlots*float64(bound))
	}
	over := t.overShare(j)
	if !j.favoured {
		bound -= t.briefs.slots(t.now, bound, reserveFor(over))
	}
	if over {
		bound -= int(overShareRoom * float64(bound))
	}
	return t.running == 0 || t.running < bound
}

func reserveFor(over bool) float64 {
	if over {
		return reserveShareOver
	}
	return reserveShare
}

func (t *toucan) overShare(j *job) bool {
	return t.shares.over(j.request.Workspace, j.item.Cost)
}

// peak returns the most tokens that the running jobs and extra will hold, at the configured quantile.
func (t *toucan) peak(extra *demand) float64 {
	if t.cfg.Quantile < 1 {
		return t.sum.peak(t.z, extra, t.unaccounted)
	}
	longest := t.sum.sum.longest + max(0, t.unaccounted)
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

// favouredSlots is the part of the batch by which favoured briefs may pass its bound while others fill most
// of it, since they are soon done.
const favouredSlots = 0.15

// batchShare is the part of the bound between tokens that a step with a long prompt is planned for.
const batchShare = 0.97

// How many of an engine's steps may pass the bound between tokens for a long prompt: an answer of some tens of tokens
// keeps the bound with one such step among them, but not with two.
const (
	longStepsInterToken = 0.015
	longStepsStall      = 0.025
)

// The quantile of prompts that a step leaves time for stays within these.
const (
	minPromptQuantile = 0.5
	maxPromptQuantile = 0.99
)

// promptShareGain is the weight of the newest step in the share of steps with a prompt.
const promptShareGain = 0.01

// batchBound returns how many requests may run at once: a step that computes a long prompt keeps the bound.
func (t *toucan) batchBound() int {
	bound := time.Duration(batchShare * float64(t.cfg.InterToken))
	return t.step.sequencesWithin(bound, int(t.prompts.value))
}

// prefillAllows says whether j's prompt may be computed beside those already being computed. One always may.
func (t *toucan) prefillAllows(j *job) bool {
	if t.prefilling == 0 {
		return true
	}
	bound := time.Duration(batchShare * float64(t.cfg.InterToken))
	allowed := float64(t.step.prefillWithin(bound, t.running+1))
	if rate := t.prefillRate.perSecond(); rate > 0 {
		ahead := prefillAheadSteps * t.step.predict(t.running+1, 0)
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
	t.watchStep(now, j, generated, first)
	if first {
		t.prefilled(j)
		t.prefillRate.done(now, j.request.uncached())
	}
	t.throughput.add(now, float64(generated-j.generated))
	j.generated = generated
	if generated-j.accounted >= refreshTokens {
		t.reforecast(j)
	}
}

// watchStep learns from the steps that tokens tell of.
func (t *toucan) watchStep(now time.Time, j *job, generated int, first bool) {
	span := t.step.predict(t.running, 0) / stepSpanParts
	step, ok := t.watch.token(now, span, generated-j.generated, first, j.request.uncached())
	if ok {
		t.step.observe(step.sequences, step.prefillTokens, step.took)
		t.countPrompts(step.prefillTokens > 0)
	}
}

// countPrompts sets the quantile of prompts to leave time for: the more steps compute one, the rarer a long one must
// be among them.
func (t *toucan) countPrompts(prompt bool) {
	x := 0.0
	if prompt {
		x = 1
	}
	t.promptShare += promptShareGain * (x - t.promptShare)
	allowed := longStepsInterToken
	if t.cfg.Weigh == toucansettings.WeighStallTime {
		allowed = longStepsStall
	}
	t.prompts.quantile = min(max(1-allowed/max(t.promptShare, allowed), minPromptQuantile), maxPromptQuantile)
}

func (t *toucan) prefilled(j *job) {
	t.prefilling--
	t.prefillTokens -= j.request.uncached()
}

func (t *toucan) reforecast(j *job) {
	t.lengths.Observe(j.key, j.accounted, j.generated, false)
	j.accounted = j.generated
	t.sum.remove(&j.demand)
	j.demand = t.demand(j)
	t.sum.add(&j.demand)
}

func (t *toucan) Done(now time.Time, id string, generated int, complete bool) {
	j, ok := t.jobs[id]
	if !ok {
		return
	}
	if !j.running {
		t.drop(j)
		return
	}
	t.Progress(now, id, generated)
	if j.generated == 0 {
		t.prefilled(j)
	}
	delete(t.jobs, id)
	t.running--
	t.shares.ended(j.request.Workspace, j.item.Cost)
	t.sum.remove(&j.demand)
	if j.favoured {
		t.briefs.ended(j.request.PromptTokens, j.generated, now.Sub(j.started))
	}
	t.queue.Settle(j.item, float64(max(j.generated, 1)))
	t.learn(j, complete)
}

func (t *toucan) learn(j *job, complete bool) {
	if j.generated == 0 {
		return
	}
	bounded := j.request.MaxTokens > 0 && j.generated >= j.request.MaxTokens
	t.lengths.Observe(j.key, j.accounted, j.generated, complete && !bounded)
	t.meanOutput += outputGain * (float64(j.generated) - t.meanOutput)
}

// drop forgets a queued job.
func (t *toucan) drop(j *job) {
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
		UsedBlocks:     int(max(0, t.sum.sum.mean[0]+t.unaccounted)) / blockTokens,
		TotalBlocks:    t.report.TotalBlocks,
		ForecastBlocks: int(max(0, t.peak(nil))) / blockTokens,
		StepTime:       t.step.predict(t.running, 0),
		Wait:           t.bias[levelPlan].correct(t.wait(now, t.newJob(Request{Class: ClassPlan}))),
	}
}
