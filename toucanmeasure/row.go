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
	// goodGapQuantile of an answer's gaps must keep InterTokenBound.
	goodGapQuantile = 0.95
)

// Row is the result of one measurement, printed as one JSON line.
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
	// Fairness is Jain's index over workspaces of the share of each one's requests that were good; 1 is even.
	Fairness float64            `json:"fairness"`
	Classes  map[string]Figures `json:"classes"`
}

// Figures are counts and quantiles over a set of requests.
type Figures struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Refused counts answers that said that the request did not run.
	Refused int `json:"refused"`
	// Failed counts final answers that said that the request ran partly or perhaps.
	Failed int `json:"failed"`
	// Lost counts requests without a final answer, and answers with wrong tokens.
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

// tally collects Figures.
type tally struct {
	counts                    Figures
	ttft, itl, stall, refused *hdrhistogram.Histogram
}

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMicros, histogramDigits) }
	return &tally{ttft: h(), itl: h(), stall: h(), refused: h()}
}

// record counts d in microseconds; longer times than the histogram holds count as its maximum.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros)) // the value is within the bounds
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func (t *tally) add(a toucancaller.Answer) {
	t.counts.Requests++
	switch {
	case a.Garbled || a.Err != nil:
		t.counts.Lost++
	case a.Done:
		t.counts.Completed++
	case a.Error.Ran == toucanwire.RanNo:
		t.counts.Refused++
		record(t.refused, a.Duration)
		return
	default:
		t.counts.Failed++
	}
	if isGood(a) {
		t.counts.Good++
	}
	if a.Tokens > 0 {
		record(t.ttft, a.FirstToken)
	}
	record(t.stall, a.LongestWait)
	for _, g := range a.Gaps {
		record(t.itl, g)
	}
}

// isGood tells whether an answer is complete and kept both bounds.
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

func (t *tally) figures() Figures {
	f := t.counts
	f.TTFTP50Ms, f.TTFTP95Ms = quantile(t.ttft, 50), quantile(t.ttft, 95)
	f.ITLP50Ms, f.ITLP95Ms, f.ITLP99Ms = quantile(t.itl, 50), quantile(t.itl, 95), quantile(t.itl, 99)
	f.StallP50Ms, f.StallP95Ms, f.StallP99Ms = quantile(t.stall, 50), quantile(t.stall, 95), quantile(t.stall, 99)
	f.RefusedP50Ms = quantile(t.refused, 50)
	return f
}

// totals collects the answers of one measurement.
type totals struct {
	measurement Measurement
	mu          sync.Mutex
	all         *tally
	classes     map[string]*tally
	workspaces  map[int]*goodShare
}

type goodShare struct{ good, requests int }

func newTotals(m Measurement) *totals {
	return &totals{
		measurement: m,
		all:         newTally(),
		classes:     map[string]*tally{toucanrig.ClassBrief: newTally(), toucanrig.ClassPlan: newTally()},
		workspaces:  make(map[int]*goodShare),
	}
}

func (t *totals) add(a Arrival, answer toucancaller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.add(answer)
	t.classes[a.Class].add(answer)
	w, ok := t.workspaces[a.Workspace]
	if !ok {
		w = &goodShare{}
		t.workspaces[a.Workspace] = w
	}
	w.requests++
	if isGood(answer) {
		w.good++
	}
}

// fairness is Jain's index: the square of the sum over the count times the sum of squares.
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
