// Package toucanload generates open-loop load on an entry. Requests start at their scheduled times whether or not
// earlier ones have ended, and latencies count from the scheduled times.
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
	// histogramMax is the highest duration that the histograms record, in microseconds. Longer durations are recorded as
	// histogramMax.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the precision of the histograms in significant decimal digits.
	histogramDigits = 3
	maxErrorBytes   = 64 << 10
)

// Config configures a load.
type Config struct {
	// Target is the base URL of an entry.
	Target string
	Key    string
	// Model is the model of every request. If empty, Run uses the first model of the workspace.
	Model string
	// Rate is the mean number of requests per second. The times between requests are exponentially distributed.
	Rate     float64
	Duration time.Duration
	// MaxTokens is the max_tokens of every request; zero leaves the length to the engine.
	MaxTokens int
	// Drain is how long after Duration requests can continue before they are aborted.
	Drain     time.Duration
	Seed      uint64
	Transport http.RoundTripper
}

// Report summarizes the results and latencies of a load, as seen by its callers.
type Report struct {
	Requests  int       `json:"requests"`
	Completed int       `json:"completed"`
	Refusals  []Refusal `json:"refusals"`
	// Broken counts requests whose connection failed and streams that were incomplete, out of order, or whose usage
	// has a wrong token count.
	Broken int `json:"broken"`
	// Unfinished counts requests that were aborted because the drain time was over or the context was cancelled.
	Unfinished int     `json:"unfinished"`
	FirstError string  `json:"firstError,omitempty"`
	Tokens     int     `json:"tokens"`
	FirstToken Latency `json:"firstToken"`
	InterToken Latency `json:"interToken"`
	// Stall is the distribution of the longest wait for a token in each completed stream.
	Stall Latency `json:"stall"`
}

// Refusal counts the refusals with the same status, code and ran value.
type Refusal struct {
	Status int    `json:"status"`
	Code   string `json:"code"`
	Ran    string `json:"ran"`
	Count  int    `json:"count"`
}

// Latency holds the percentiles and the maximum of a distribution, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// recorder collects the results of requests. It is safe for concurrent use.
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
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // clamped to the range, so it cannot fail
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// Run generates the load on the target. It returns when every request has ended. Requests are aborted when ctx is
// done or cfg.Drain after the end of cfg.Duration.
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
		wg.Go(func() { runRequest(ctx, client, cfg, i, at, rec) })
	}
	wg.Wait()
	return rec.finish(), nil
}

// arrivals returns the scheduled start time of each request.
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
		return "", errors.Wrap(err, "list models of the workspace")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("list models of the workspace: %s; check --target and --key", resp.Status)
	}
	var list modelList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return "", errors.Wrap(err, "decode list of models")
	}
	if len(list.Data) == 0 {
		return "", errors.New("the workspace has no model; set one with --model")
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

// finish returns the report of all recorded results.
func (r *recorder) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FirstToken = newLatency(r.firstToken)
	r.report.InterToken = newLatency(r.interToken)
	r.report.Stall = newLatency(r.stall)
	return r.report
}

func (r *recorder) recordRefusal(status int, e toucanapi.Error) {
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

func (r *recorder) recordUnfinished() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Unfinished++
}

func (r *recorder) recordBroken(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Broken++
	if r.report.FirstError == "" {
		r.report.FirstError = err.Error()
	}
}

func (r *recorder) recordCompleted(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Completed++
	r.report.Tokens += s.tokens
	record(r.stall, s.longestGap)
}

func (r *recorder) recordGap(first bool, d time.Duration) {
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
