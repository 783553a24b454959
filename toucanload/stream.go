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

// errBroken is matched by every way in which a streamed answer can be wrong.
var errBroken = errors.New("the streamed answer is broken")

// stream follows one streamed answer and checks that it is whole.
type stream struct {
	rec *recorder
	// last is when the caller last saw progress.
	last    time.Time
	longest time.Duration
	tokens  int
	usage   *toucanapi.Usage
	// finished is true after the finish reason, done after the end of the stream.
	finished bool
	done     bool
}

// chunk is the part of an event that is read.
type chunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *toucanapi.Usage `json:"usage"`
}

func request(ctx context.Context, client *http.Client, cfg Config, index int, at time.Time, rec *recorder) {
	resp, err := send(ctx, client, cfg, http.MethodPost, "/v1/completions", strings.NewReader(requestBody(cfg, index)))
	if err != nil {
		rec.ended(ctx, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		rec.refused(resp.StatusCode, readError(resp.Body))
		return
	}
	s := &stream{rec: rec, last: at}
	refusal, err := s.read(resp.Body)
	switch {
	case err != nil:
		rec.ended(ctx, err)
	case refusal != nil:
		rec.refused(resp.StatusCode, *refusal)
	default:
		rec.completed(s)
	}
}

// ended records a request without its end: the load gave it up, or the answer was broken.
func (r *recorder) ended(ctx context.Context, err error) {
	if ctx.Err() != nil {
		r.unfinished()
		return
	}
	r.broken(err)
}

func readError(r io.Reader) toucanapi.Error {
	var body toucanapi.ErrorBody
	if err := json.NewDecoder(io.LimitReader(r, maxErrorBytes)).Decode(&body); err != nil {
		return toucanapi.Error{Code: "unreadable"}
	}
	return body.Error
}

// read takes every event. It returns a refusal that came instead of the end.
func (s *stream) read(body io.Reader) (*toucanapi.Error, error) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return nil, errors.Wrap(errBroken, err.Error())
		}
		if ev.Type == "error" {
			refusal := readError(strings.NewReader(ev.Data))
			return &refusal, nil
		}
		if err := s.take(ev); err != nil {
			return nil, err
		}
	}
	return nil, s.check()
}

func (s *stream) take(ev sse.Event) error {
	if ev.Data == "[DONE]" {
		s.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
		return errors.Wrapf(errBroken, "event is no JSON: %v", err)
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
	return s.takeToken(ev.LastEventID)
}

func (s *stream) takeToken(eventID string) error {
	_, text, _ := strings.Cut(eventID, ":")
	index, err := strconv.Atoi(text)
	if err != nil || index != s.tokens {
		return errors.Wrapf(errBroken, "event id %q came when token %d was next", eventID, s.tokens)
	}
	now := time.Now()
	gap := now.Sub(s.last)
	s.rec.gap(s.tokens == 0, gap)
	s.longest = max(s.longest, gap)
	s.last = now
	s.tokens++
	return nil
}

func (s *stream) check() error {
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
