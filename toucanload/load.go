// Package toucanload puts open-loop load on an entry: requests start at their intended times whether or not
// earlier ones have ended, and latency counts from those times.
package toucanload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat/distuv"

	"toucanport/toucanapi"
)

const (
	// histogramMax bounds what is told apart, in microseconds.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the precision of the histograms in decimal digits.
	histogramDigits = 3
	maxErrorBytes   = 64 << 10
)

// Config says what load to put on what.
type Config struct {
	// Target is the base URL of an entry.
	Target string
	Key    string
	// Model is asked for in each request; the first of the workspace's models when empty.
	Model string
	// Rate is requests a second, with exponentially distributed gaps.
	Rate     float64
	Duration time.Duration
	// MaxTokens is asked for in each request; zero leaves the length to the engine.
	MaxTokens int
	// Drain is how long requests may go on after the last one was started.
	Drain     time.Duration
	Seed      uint64
	Transport http.RoundTripper
}

// Report is what callers experienced.
type Report struct {
	Requests  int       `json:"requests"`
	Completed int       `json:"completed"`
	Refusals  []Refusal `json:"refusals"`
	// Broken counts streams that ended without their end, out of order, or with a wrong count.
	Broken int `json:"broken"`
	// Unfinished counts requests that the load gave up when its drain had passed.
	Unfinished int     `json:"unfinished"`
	FirstError string  `json:"firstError,omitempty"`
	Tokens     int     `json:"tokens"`
	FirstToken Latency `json:"firstToken"`
	InterToken Latency `json:"interToken"`
	Stall      Latency `json:"stall"`
}

// Refusal counts one code of refusals.
type Refusal struct {
	Status int    `json:"status"`
	Code   string `json:"code"`
	Ran    string `json:"ran"`
	Count  int    `json:"count"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// recorder gathers what requests see. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	report     Report
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	stall      *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newRecorder() *recorder {
	return &recorder{firstToken: newHistogram(), interToken: newHistogram(), stall: newHistogram()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // always within the bounds
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// Run puts the load on the target and returns when every request has ended or ctx is done.
func Run(ctx context.Context, cfg Config) (Report, error) {
	client := &http.Client{Transport: cfg.Transport}
	if cfg.Model == "" {
		model, err := firstModel(ctx, client, cfg)
		if err != nil {
			return Report{}, err
		}
		cfg.Model = model
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+cfg.Drain)
	defer cancel()
	rec := newRecorder()
	var wg sync.WaitGroup
	for i, at := range arrivals(cfg, time.Now()) {
		if !sleepUntil(ctx, at) {
			break
		}
		wg.Go(func() { request(ctx, client, cfg, i, at, rec) })
	}
	wg.Wait()
	return rec.finish(), nil
}

// arrivals returns the intended start of each request.
func arrivals(cfg Config, start time.Time) []time.Time {
	gap := distuv.Exponential{Rate: cfg.Rate, Src: rand.NewPCG(cfg.Seed, cfg.Seed)}
	var at []time.Time
	for t := gap.Rand(); t < cfg.Duration.Seconds(); t += gap.Rand() {
		at = append(at, start.Add(time.Duration(t*float64(time.Second))))
	}
	return at
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

func firstModel(ctx context.Context, client *http.Client, cfg Config) (string, error) {
	resp, err := send(ctx, client, cfg, http.MethodGet, "/v1/models", nil)
	if err != nil {
		return "", errors.Wrap(err, "asking for the models")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("asking for the models: %s; check --target and --key", resp.Status)
	}
	var list modelList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return "", errors.Wrap(err, "reading the models")
	}
	if len(list.Data) == 0 {
		return "", errors.New("the workspace has no model; name one with --model")
	}
	return list.Data[0].ID, nil
}

func send(ctx context.Context, client *http.Client, cfg Config, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, cfg.Target+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+cfg.Key)
	return client.Do(req)
}

// finish returns the report of everything recorded.
func (r *recorder) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FirstToken = latency(r.firstToken)
	r.report.InterToken = latency(r.interToken)
	r.report.Stall = latency(r.stall)
	return r.report
}

func (r *recorder) refused(status int, e toucanapi.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	for i := range r.report.Refusals {
		known := &r.report.Refusals[i]
		if known.Status == status && known.Code == e.Code && known.Ran == e.Ran {
			known.Count++
			return
		}
	}
	r.report.Refusals = append(r.report.Refusals, Refusal{Status: status, Code: e.Code, Ran: e.Ran, Count: 1})
}

func (r *recorder) unfinished() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Unfinished++
}

func (r *recorder) broken(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Broken++
	if r.report.FirstError == "" {
		r.report.FirstError = err.Error()
	}
}

func (r *recorder) completed(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Completed++
	r.report.Tokens += s.tokens
	record(r.stall, s.longest)
}

func (r *recorder) gap(first bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		record(r.firstToken, d)
		return
	}
	record(r.interToken, d)
}

func requestBody(cfg Config, index int) string {
	bound := ""
	if cfg.MaxTokens > 0 {
		bound = fmt.Sprintf(`,"max_tokens":%d`, cfg.MaxTokens)
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,"stream_options":{"include_usage":true}%s,"prompt":"request %d of load %d"}`,
		cfg.Model, bound, index, cfg.Seed)
}
