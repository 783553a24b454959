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
	// secondWaveStart is later than the start of every fault of faults.txt and RandomCase.
	secondWaveStart = 6 * time.Second
	// answerTimeout is how long a caller waits for its final answer.
	answerTimeout = time.Minute
	// resumeWindow is how long a sidecar keeps a generation that no caller reads. settleTime is longer, so that all such
	// generations have ended before checkIdle runs.
	resumeWindow = 8 * time.Second
	settleTime   = 12 * time.Second
	// callerRetryDelay is the pause before a caller resumes a broken stream.
	callerRetryDelay = 200 * time.Millisecond
)

// caseOutputs are the lengths in tokens of the generations of a wave. The first entry, which most faults affect, receives
// the long ones.
var caseOutputs = [caseGenerations]int{40, 4, 100, 12, 70, 25, 30, 1}

// Case is a fault case: its faults and the answers that callers must receive despite them.
type Case struct {
	// RequireComplete requires that every generation returns its complete answer. Otherwise an error answer is accepted if
	// its ran field is correct.
	RequireComplete bool
	Faults          []Fault
}

// ParseCase parses a line of faults.txt: "whole" or "truthful", then the faults, separated by spaces.
func ParseCase(line string) (Case, error) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return Case{}, errors.Wrapf(ErrInvalidCase, "%q has no expectation or no fault", line)
	}
	c := Case{RequireComplete: fields[0] == "whole"}
	if !c.RequireComplete && fields[0] != "truthful" {
		return Case{}, errors.Wrapf(ErrInvalidCase, "unknown expectation %q", fields[0])
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

// RandomCase returns a case of one to three random faults that start within the first four seconds.
func RandomCase(seed uint64) Case {
	rng := rand.New(rand.NewPCG(seed, seed))
	kinds := faultKinds()
	var c Case
	for range 1 + rng.IntN(3) {
		k := kinds[rng.IntN(len(kinds))]
		duration := k.duration
		if duration > 0 {
			duration = time.Duration(rng.Int64N(int64(2 * k.duration)))
		}
		at := time.Duration(rng.Int64N(int64(4 * time.Second)))
		c.Faults = append(c.Faults, Fault{kind: k, duration: duration.Round(time.Millisecond), at: at.Round(time.Millisecond)})
	}
	return c
}

// String returns the case in the form that ParseCase accepts.
func (c Case) String() string {
	words := []string{"truthful"}
	if c.RequireComplete {
		words[0] = "whole"
	}
	for _, f := range c.Faults {
		words = append(words, f.String())
	}
	return strings.Join(words, " ")
}

// end returns when the last fault ends, counted from the start of the case.
func (c Case) end() time.Duration {
	var end time.Duration
	for _, f := range c.Faults {
		end = max(end, f.at+f.duration)
	}
	return end
}

// has reports whether a fault of the case has one of the names.
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

// faultDeployment returns the deployment of every fault case.
func faultDeployment() toucanrig.Deployment {
	engine := toucanrig.MeasurementEngine()
	engine.StepBase = 20 * time.Millisecond
	return toucanrig.Deployment{
		Name:           "faults",
		FailureDomains: []string{"a", "b", "c"},
		Weigh:          toucansettings.PrioritizeStallTime,
		Services:       []toucanrig.Service{{Name: "plans", Engines: 3}, {Name: "orders", Engines: 2, Plain: true}},
		Engine:         engine,
	}
}

// outcome is a request for a generation and the answer that its caller received.
type outcome struct {
	label     string
	entry     int
	workspace int
	output    int
	answer    toucancaller.Answer
	// resumed counts the requests that resumed the stream.
	resumed int
	// canceledAt is when the caller canceled the request; zero if it did not.
	canceledAt time.Time
}

// caseRun is the state of a running case.
type caseRun struct {
	spec      Case
	rig       *toucanrig.Rig
	startedAt time.Time
	callers   sync.WaitGroup
	mu        sync.Mutex
	results   []*outcome
	orders    []*orderOutcome
	// inProgress holds the cancel functions of requests for generations without a final answer.
	inProgress map[*outcome]context.CancelFunc
	// drainingSince is when the first endpoints began to drain, by the name of the fault: leave or drain.
	drainingSince map[string]time.Time
}

// Run runs the case in a new rig and returns the violations that it found. It sets the deployment, the number of entries
// and the resume window of cfg. It must be called inside a bubble of testing/synctest.
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
		spec:          c,
		rig:           rig,
		startedAt:     time.Now(),
		inProgress:    make(map[*outcome]context.CancelFunc),
		drainingSince: make(map[string]time.Time),
	}
	for _, f := range c.Faults {
		time.AfterFunc(f.at, func() { run.rig.RunExclusive(func() { f.kind.start(run, f.duration) }) })
	}
	run.sendWave(0)
	time.Sleep(time.Until(run.startedAt.Add(secondWaveStart)))
	run.sendWave(1)
	run.callers.Wait()
	foreign := run.resumeFromOtherWorkspace()
	time.Sleep(time.Until(run.startedAt.Add(c.end())))
	time.Sleep(settleTime)
	return append(run.check(), foreign...), nil
}

// sendWave sends wave number 0 or 1: generations and orders at a fixed interval. Generations of wave 1 are a
// third as long.
func (c *caseRun) sendWave(number int) {
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
		c.callers.Go(func() { c.requestGeneration(o) })
		if i < caseOrders {
			c.startOrder(&orderOutcome{label: fmt.Sprintf("w%d-o%d", number, i), entry: i % faultEntries})
			c.startOrder(&orderOutcome{label: fmt.Sprintf("w%d-k%d", number, i), entry: i % faultEntries, keyed: true})
		}
		time.Sleep(between)
	}
}

// requestGeneration requests a generation and, whenever the stream breaks, resumes it through the next entry.
func (c *caseRun) requestGeneration(o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	c.mu.Lock()
	c.inProgress[o] = cancel
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
	delete(c.inProgress, o)
	o.answer = answer
}

// cancelCallers cancels the requests for generations with an even index that are still in progress.
func (c *caseRun) cancelCallers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.results {
		if cancel, ok := c.inProgress[o]; ok && i%2 == 0 {
			o.canceledAt = time.Now()
			cancel()
		}
	}
}

// recordDraining records when the first endpoints began to drain. fault is the name of the fault that caused it.
func (c *caseRun) recordDraining(fault string) {
	if _, ok := c.drainingSince[fault]; !ok {
		c.drainingSince[fault] = time.Now()
	}
}

// resumeFromOtherWorkspace tries to read two generations with the key of another workspace. Every answer but status 404
// without tokens is a violation.
func (c *caseRun) resumeFromOtherWorkspace() []string {
	var violations []string
	for _, o := range c.results[len(c.results)-2:] {
		if o.answer.GenerationID == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		got := c.rig.Resume(ctx, 1, o.workspace+1, toucancaller.Answer{GenerationID: o.answer.GenerationID})
		cancel()
		if got.Tokens > 0 || got.Status != 404 {
			violations = append(violations, fmt.Sprintf("%s: another workspace got status %d and %d tokens", o.label, got.Status, got.Tokens))
		}
	}
	return violations
}
