package toucanmeasure

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanport/toucancaller"
	"toucanport/toucanrig"
	"toucanport/toucanwire"
)

const (
	histogramMaxMicros = int64(2 * time.Hour / time.Microsecond)
	histogramDigits    = 3
	// goodGapQuantile is the quantile of the gaps between an answer's tokens that must be within InterTokenBound.
	goodGapQuantile = 0.95
)

// Row is the result of a measurement, which is written as a JSON line.
type Row struct {
	Policy     string  `json:"policy"`
	Deployment string  `json:"deployment"`
	Load       float64 `json:"load"`
	Seed       uint64  `json:"seed"`
	Fault      string  `json:"fault,omitempty"`
	DurationS  float64 `json:"durationSec"`
	Figures
	Preemptions        int     `json:"preemptions"`
	GoodputPerSec      float64 `json:"goodputPerSec"`
	AttemptsPerRequest float64 `json:"attemptsPerRequest"`
	MemoryUtilization  float64 `json:"memoryUtilization"`
	// Fairness is Jain's fairness index over the fractions of good requests of the workspaces; 1 if all are equal.
	Fairness float64            `json:"fairness"`
	Classes  map[string]Figures `json:"classes"`
}

// Figures holds counts and latency quantiles of a set of requests: TTFT is the time to the first token, ITL the time between
// tokens, and Stall the longest time without a token, including the waits for the first token and for the end.
type Figures struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Refused counts error answers that report that the request did not run.
	Refused int `json:"refused"`
	// Failed counts error answers that report that the request ran partly, or that it is unknown whether it ran.
	Failed int `json:"failed"`
	// Lost counts requests without a final answer and answers with wrong tokens.
	Lost         int     `json:"lost"`
	Good         int     `json:"good"`
	TTFTP50Ms    float64 `json:"ttftP50Ms"`
	TTFTP95Ms    float64 `json:"ttftP95Ms"`
	ITLP50Ms     float64 `json:"itlP50Ms"`
	ITLP95Ms     float64 `json:"itlP95Ms"`
	ITLP99Ms     float64 `json:"itlP99Ms"`
	StallP50Ms   float64 `json:"stallP50Ms"`
	StallP95Ms   float64 `json:"stallP95Ms"`
	StallP99Ms   float64 `json:"stallP99Ms"`
	RefusedP50Ms float64 `json:"refusedP50Ms"`
}

// figureCounter computes Figures from answers.
type figureCounter struct {
	counts                    Figures
	ttft, itl, stall, refused *hdrhistogram.Histogram
}

func newFigureCounter() *figureCounter {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMicros, histogramDigits) }
	return &figureCounter{ttft: h(), itl: h(), stall: h(), refused: h()}
}

// recordDuration adds d to a histogram in microseconds. A duration above the histogram's maximum counts as the maximum.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros)) // the value is within the histogram's bounds
}

func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func (c *figureCounter) add(a toucancaller.Answer) {
	c.counts.Requests++
	switch {
	case a.Garbled || a.Err != nil:
		c.counts.Lost++
	case a.Done:
		c.counts.Completed++
	case a.Error.Ran == toucanwire.RanNo:
		c.counts.Refused++
		recordDuration(c.refused, a.Duration)
		return
	default:
		c.counts.Failed++
	}
	if isGood(a) {
		c.counts.Good++
	}
	if a.Tokens > 0 {
		recordDuration(c.ttft, a.FirstToken)
	}
	recordDuration(c.stall, a.LongestWait)
	for _, g := range a.Gaps {
		recordDuration(c.itl, g)
	}
}

// isGood reports whether an answer is complete and within FirstTokenBound and InterTokenBound.
func isGood(a toucancaller.Answer) bool {
	if !a.Done || a.Garbled || a.FirstToken > toucanrig.FirstTokenBound {
		return false
	}
	if len(a.Gaps) == 0 {
		return true
	}
	gaps := slices.Clone(a.Gaps)
	slices.Sort(gaps)
	rank := int(math.Ceil(goodGapQuantile*float64(len(gaps)))) - 1
	return gaps[rank] <= toucanrig.InterTokenBound
}

func (c *figureCounter) figures() Figures {
	f := c.counts
	f.TTFTP50Ms, f.TTFTP95Ms = quantileMillis(c.ttft, 50), quantileMillis(c.ttft, 95)
	f.ITLP50Ms, f.ITLP95Ms, f.ITLP99Ms = quantileMillis(c.itl, 50), quantileMillis(c.itl, 95), quantileMillis(c.itl, 99)
	f.StallP50Ms, f.StallP95Ms, f.StallP99Ms = quantileMillis(c.stall, 50), quantileMillis(c.stall, 95), quantileMillis(c.stall, 99)
	f.RefusedP50Ms = quantileMillis(c.refused, 50)
	return f
}

// totals collects the answers of a measurement. add and row are safe for concurrent use.
type totals struct {
	measurement Measurement
	mu          sync.Mutex
	all         *figureCounter
	classes     map[string]*figureCounter
	workspaces  map[int]*goodCount
}

type goodCount struct{ good, requests int }

func newTotals(m Measurement) *totals {
	return &totals{
		measurement: m,
		all:         newFigureCounter(),
		classes:     map[string]*figureCounter{toucanrig.ClassBrief: newFigureCounter(), toucanrig.ClassPlan: newFigureCounter()},
		workspaces:  make(map[int]*goodCount),
	}
}

func (t *totals) add(a Arrival, answer toucancaller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.add(answer)
	t.classes[a.Class].add(answer)
	w, ok := t.workspaces[a.Workspace]
	if !ok {
		w = &goodCount{}
		t.workspaces[a.Workspace] = w
	}
	w.requests++
	if isGood(answer) {
		w.good++
	}
}

// fairness returns Jain's fairness index: the squared sum divided by the count times the sum of squares.
func (t *totals) fairness() float64 {
	var sum, squares float64
	for _, w := range t.workspaces {
		x := float64(w.good) / float64(w.requests)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(t.workspaces)) * squares)
}

func (t *totals) row(rig *toucanrig.Rig, memory float64) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.measurement
	row := Row{
		Policy:             string(m.Policy),
		Deployment:         m.Deployment.Name,
		Load:               m.Load,
		Seed:               m.Seed,
		Fault:              m.Fault,
		DurationS:          m.Duration.Seconds(),
		Figures:            t.all.figures(),
		Preemptions:        rig.Ledger.Preemptions(),
		AttemptsPerRequest: float64(rig.Attempts.Count()) / float64(max(t.all.counts.Requests, 1)),
		MemoryUtilization:  memory,
		Fairness:           t.fairness(),
		Classes:            make(map[string]Figures),
	}
	row.GoodputPerSec = float64(row.Good) / m.Duration.Seconds()
	for name, class := range t.classes {
		row.Classes[name] = class.figures()
	}
	return row
}
