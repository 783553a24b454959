package toucanload

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"toucanport/toucanapi"
)

// errBroken is wrapped by every error about a streamed answer that is incomplete or wrong.
var errBroken = errors.New("the streamed answer is broken")

// stream reads a streamed answer, measures the times between its tokens, and checks that it is complete.
type stream struct {
	rec *recorder
	// lastProgress is the time of the last token, or the request's scheduled start before the first one.
	lastProgress time.Time
	longestGap   time.Duration
	tokens       int
	usage        *toucanapi.Usage
	// finished is true after the finish reason was received, done after [DONE].
	finished bool
	done     bool
}

// chunk holds the fields of a streamed event that are read.
type chunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *toucanapi.Usage `json:"usage"`
}

func runRequest(ctx context.Context, client *http.Client, cfg Config, index int, at time.Time, rec *recorder) {
	resp, err := send(ctx, client, cfg, http.MethodPost, "/v1/completions", strings.NewReader(requestBody(cfg, index)))
	if err != nil {
		rec.recordFailure(ctx, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		rec.recordRefusal(resp.StatusCode, readError(resp.Body))
		return
	}
	s := &stream{rec: rec, lastProgress: at}
	refusal, err := s.read(resp.Body)
	switch {
	case err != nil:
		rec.recordFailure(ctx, err)
	case refusal != nil:
		rec.recordRefusal(resp.StatusCode, *refusal)
	default:
		rec.recordCompleted(s)
	}
}

// recordFailure records a request that failed with err: as unfinished if ctx is done, otherwise as broken.
func (r *recorder) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		r.recordUnfinished()
		return
	}
	r.recordBroken(err)
}

func readError(r io.Reader) toucanapi.Error {
	var body toucanapi.ErrorBody
	if err := json.NewDecoder(io.LimitReader(r, maxErrorBytes)).Decode(&body); err != nil {
		return toucanapi.Error{Code: "unreadable"}
	}
	return body.Error
}

// read reads the stream to its end. If the stream ends with an error event, it returns that as a refusal.
func (s *stream) read(body io.Reader) (*toucanapi.Error, error) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return nil, errors.Wrap(errBroken, err.Error())
		}
		if ev.Type == "error" {
			refusal := readError(strings.NewReader(ev.Data))
			return &refusal, nil
		}
		if err := s.handleEvent(ev); err != nil {
			return nil, err
		}
	}
	return nil, s.checkComplete()
}

func (s *stream) handleEvent(ev sse.Event) error {
	if ev.Data == "[DONE]" {
		s.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
		return errors.Wrapf(errBroken, "event is not JSON: %v", err)
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if c.Choices[0].FinishReason != "" {
		s.finished = true
		return nil
	}
	return s.handleToken(ev.LastEventID)
}

func (s *stream) handleToken(eventID string) error {
	_, text, _ := strings.Cut(eventID, ":")
	index, err := strconv.Atoi(text)
	if err != nil || index != s.tokens {
		return errors.Wrapf(errBroken, "event id %q came when token %d was next", eventID, s.tokens)
	}
	now := time.Now()
	gap := now.Sub(s.lastProgress)
	s.rec.recordGap(s.tokens == 0, gap)
	s.longestGap = max(s.longestGap, gap)
	s.lastProgress = now
	s.tokens++
	return nil
}

func (s *stream) checkComplete() error {
	switch {
	case !s.done:
		return errors.Wrapf(errBroken, "ended after %d tokens without [DONE]", s.tokens)
	case !s.finished:
		return errors.Wrap(errBroken, "no finish_reason")
	case s.usage == nil:
		return errors.Wrap(errBroken, "no usage")
	case s.usage.CompletionTokens != s.tokens:
		return errors.Wrapf(errBroken, "usage says %d tokens, %d came", s.usage.CompletionTokens, s.tokens)
	}
	return nil
}
