package toucanfault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucancaller"
	"toucanport/toucanrig"
	"toucanport/toucansettings"
)

const (
	faultEntries = 2
	// caseGenerations and caseOrders are the requests of each of the two waves.
	caseGenerations = 8
	caseOrders      = 4
	// secondWave begins after every fault of the table.
	secondWave = 6 * time.Second
	// answerBound is the longest that a caller waits for its final answer.
	answerBound = time.Minute
	// resumeWindow is for how long a sidecar keeps what nobody reads, and settleTime covers it.
	resumeWindow = 8 * time.Second
	settleTime   = 12 * time.Second
	// callerRetryDelay is the pause before a caller resumes a broken stream.
	callerRetryDelay = 200 * time.Millisecond
)

// caseOutputs are the lengths of the generations of a wave; the first entry gets the long ones.
var caseOutputs = [caseGenerations]int{40, 4, 100, 12, 70, 25, 30, 1}

// Case is one fault case.
type Case struct {
	// Whole requires that every generation gets its complete answer.
	Whole  bool
	Faults []Fault
}

// ParseCase reads "whole" or "truthful" and the faults, separated by blanks.
func ParseCase(line string) (Case, error) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return Case{}, errors.Wrapf(ErrCase, "%q names no expectation and fault", line)
	}
	c := Case{Whole: fields[0] == "whole"}
	if !c.Whole && fields[0] != "truthful" {
		return Case{}, errors.Wrapf(ErrCase, "expectation %q is not known", fields[0])
	}
	for _, field := range fields[1:] {
		f, err := parseFault(field)
		if err != nil {
			return Case{}, err
		}
		c.Faults = append(c.Faults, f)
	}
	return c, nil
}

// RandomCase draws one to three faults at any moment of the first wave.
func RandomCase(seed uint64) Case {
	rng := rand.New(rand.NewPCG(seed, seed))
	kinds := faultKinds()
	var c Case
	for range 1 + rng.IntN(3) {
		k := kinds[rng.IntN(len(kinds))]
		length := k.length
		if length > 0 {
			length = time.Duration(rng.Int64N(int64(2 * k.length)))
		}
		at := time.Duration(rng.Int64N(int64(4 * time.Second)))
		c.Faults = append(c.Faults, Fault{kind: k, length: length.Round(time.Millisecond), at: at.Round(time.Millisecond)})
	}
	return c
}

// String returns the case as ParseCase reads it.
func (c Case) String() string {
	words := []string{"truthful"}
	if c.Whole {
		words[0] = "whole"
	}
	for _, f := range c.Faults {
		words = append(words, f.String())
	}
	return strings.Join(words, " ")
}

// end returns when the last fault is over.
func (c Case) end() time.Duration {
	var end time.Duration
	for _, f := range c.Faults {
		end = max(end, f.at+f.length)
	}
	return end
}

// has tells whether one of the case's faults has one of the names.
func (c Case) has(names ...string) bool {
	for _, f := range c.Faults {
		for _, name := range names {
			if f.kind.name == name {
				return true
			}
		}
	}
	return false
}

// faultDeployment is the deployment of every fault case.
func faultDeployment() toucanrig.Deployment {
	engine := toucanrig.MeasuredEngine()
	engine.StepBase = 20 * time.Millisecond
	return toucanrig.Deployment{
		Name:           "faults",
		FailureDomains: []string{"a", "b", "c"},
		Weigh:          toucansettings.PrioritizeStallTime,
		Services:       []toucanrig.Service{{Name: "plans", Engines: 3}, {Name: "orders", Engines: 2, Plain: true}},
		Engine:         engine,
	}
}

// outcome is what one caller asked for and got.
type outcome struct {
	label     string
	entry     int
	workspace int
	output    int
	answer    toucancaller.Answer
	// resumed counts the requests after the first.
	resumed int
	// left is when the caller went away; zero if it stayed.
	left time.Time
}

// caseRun is one case while it runs.
type caseRun struct {
	c       Case
	rig     *toucanrig.Rig
	begin   time.Time
	askers  sync.WaitGroup
	mu      sync.Mutex
	results []*outcome
	orders  []*orderOutcome
	// present holds what ends the generations in progress.
	present map[*outcome]context.CancelFunc
	// leftAt is when the endpoints were first marked as leaving, by fault name.
	leftAt map[string]time.Time
}

// Run runs the case in a rig made with cfg, whose deployment it sets, and returns what was violated. It must
// be called inside a bubble of testing/synctest.
func (c Case) Run(cfg toucanrig.Config) ([]string, error) {
	cfg.Deployment = faultDeployment()
	cfg.Entries = faultEntries
	cfg.ResumeWindow = resumeWindow
	if cfg.Policy == "" {
		cfg.Policy = toucansettings.PolicyToucan
	}
	rig, err := toucanrig.New(cfg)
	if err != nil {
		return nil, err
	}
	defer rig.Stop()
	run := &caseRun{
		c:       c,
		rig:     rig,
		begin:   time.Now(),
		present: make(map[*outcome]context.CancelFunc),
		leftAt:  make(map[string]time.Time),
	}
	for _, f := range c.Faults {
		time.AfterFunc(f.at, func() { run.rig.Operation(func() { f.kind.begin(run, f.length) }) })
	}
	run.wave(0)
	time.Sleep(time.Until(run.begin.Add(secondWave)))
	run.wave(1)
	run.askers.Wait()
	foreign := run.askForeign()
	time.Sleep(time.Until(run.begin.Add(c.end())))
	time.Sleep(settleTime)
	return append(run.check(), foreign...), nil
}

// wave sends one wave of requests.
func (c *caseRun) wave(number int) {
	const between = 80 * time.Millisecond
	for i, output := range caseOutputs {
		o := &outcome{
			label:     fmt.Sprintf("w%d-g%d", number, i),
			entry:     i % faultEntries,
			workspace: i % 3,
			output:    max(output/(1+2*number), 1),
		}
		c.mu.Lock()
		c.results = append(c.results, o)
		c.mu.Unlock()
		c.askers.Go(func() { c.askGeneration(o) })
		if i < caseOrders {
			c.askOrder(&orderOutcome{label: fmt.Sprintf("w%d-o%d", number, i), entry: i % faultEntries})
			c.askOrder(&orderOutcome{label: fmt.Sprintf("w%d-k%d", number, i), entry: i % faultEntries, keyed: true})
		}
		time.Sleep(between)
	}
}

// askGeneration asks for a generation and resumes it through the other entries while the stream breaks.
func (c *caseRun) askGeneration(o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), answerBound)
	defer cancel()
	c.mu.Lock()
	c.present[o] = cancel
	c.mu.Unlock()
	class := toucanrig.ClassPlan
	if o.output < 50 {
		class = toucanrig.ClassBrief
	}
	prompt := fmt.Sprintf("outputTokens=%d label=%s", o.output, o.label)
	answer := c.rig.Complete(ctx, toucancaller.Completion{Entry: o.entry, Workspace: o.workspace, Service: "plans", Class: class, Prompt: prompt})
	for answer.Err != nil && answer.GenerationID != "" && ctx.Err() == nil {
		time.Sleep(callerRetryDelay)
		o.resumed++
		answer = answer.Join(c.rig.Resume(ctx, (o.entry+o.resumed)%faultEntries, o.workspace, answer))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.present, o)
	o.answer = answer
}

// goAway makes every other caller of a generation in progress leave.
func (c *caseRun) goAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.results {
		if cancel, ok := c.present[o]; ok && i%2 == 0 {
			o.left = time.Now()
			cancel()
		}
	}
}

// left notes that the first endpoints were marked as leaving.
func (c *caseRun) left(by string) {
	if _, ok := c.leftAt[by]; !ok {
		c.leftAt[by] = time.Now()
	}
}

// askForeign reads generations with the key of another workspace.
func (c *caseRun) askForeign() []string {
	var violations []string
	for _, o := range c.results[len(c.results)-2:] {
		if o.answer.GenerationID == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), answerBound)
		got := c.rig.Resume(ctx, 1, o.workspace+1, toucancaller.Answer{GenerationID: o.answer.GenerationID})
		cancel()
		if got.Tokens > 0 || got.Status != 404 {
			violations = append(violations, fmt.Sprintf("%s: another workspace got status %d and %d tokens", o.label, got.Status, got.Tokens))
		}
	}
	return violations
}
