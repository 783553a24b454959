package toucanentry

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanapi"
	"toucanport/toucanmetric"
	"toucanport/toucanwire"
)

// answerSink is a sink that can also say the last thing.
type answerSink interface {
	sink
	end(end *toucanwire.End) error
	failed(err error) error
}

func newSink(c *echo.Context, r toucanapi.Request) answerSink {
	if r.Stream {
		return &streamSink{c: c, r: r, control: http.NewResponseController(c.Response())}
	}
	return &wholeSink{c: c, r: r}
}

// streamSink writes a streamed answer. The status is sent with the first token, so that a refusal before it
// can still have a status of its own.
type streamSink struct {
	c       *echo.Context
	r       toucanapi.Request
	control *http.ResponseController
	id      string
	events  *toucanapi.Events
	buf     []byte
	// limited is when the write deadline was last moved.
	limited time.Time
}

func (s *streamSink) begin(id string) error {
	s.id = id
	return nil
}

func (s *streamSink) handedOver() bool { return s.events != nil }

func (s *streamSink) open() error {
	if s.events != nil {
		return nil
	}
	events, err := toucanapi.NewEvents(s.id, s.r.Model, s.r.Chat, s.r.IncludeUsage, time.Now())
	if err != nil {
		return errors.Wrap(err, "prepare events")
	}
	s.events = events
	w := s.c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(headerGenerationID, s.id)
	w.WriteHeader(http.StatusOK)
	s.buf = events.AppendRole(s.buf[:0])
	return nil
}

func (s *streamSink) tokens(first int, text []string) error {
	if err := s.open(); err != nil {
		return err
	}
	for i, t := range text {
		s.buf = s.events.AppendToken(s.buf, first+i, t)
	}
	return s.flush()
}

func (s *streamSink) flush() error {
	s.limitWrite(time.Now())
	_, err := s.c.Response().Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return errors.Wrap(errSinkBroken, err.Error())
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(errSinkBroken, err.Error())
	}
	return nil
}

// limitWrite moves the write deadline, though not with every token.
func (s *streamSink) limitWrite(now time.Time) {
	if now.Sub(s.limited) < writeTimeout/4 {
		return
	}
	s.limited = now
	limitWrite(s.c)
}

func (s *streamSink) end(end *toucanwire.End) error {
	if err := s.open(); err != nil {
		return err
	}
	usage := toucanapi.NewUsage(int(end.PromptTokens), int(end.CompletionTokens))
	s.buf = s.events.AppendEnd(s.buf, end.FinishReason, usage)
	return s.flush()
}

// failed answers with a status of its own, or ends a stream that has begun with an error event.
func (s *streamSink) failed(err error) error {
	if s.events == nil {
		return err
	}
	var f *failure
	if !errors.As(err, &f) {
		return err
	}
	s.buf = toucanapi.AppendError(s.buf[:0], f.body)
	return s.flush()
}

// measuredSink records the progress of the answer that it hands on.
type measuredSink struct {
	answerSink
	generation *toucanmetric.Generation
}

func (s *measuredSink) tokens(first int, text []string) error {
	err := s.answerSink.tokens(first, text)
	s.generation.Tokens(time.Now(), len(text))
	return err
}

func (s *measuredSink) end(end *toucanwire.End) error {
	err := s.answerSink.end(end)
	s.generation.End(time.Now(), err == nil)
	return err
}

func (s *measuredSink) failed(err error) error {
	s.generation.End(time.Now(), false)
	return s.answerSink.failed(err)
}

// wholeSink collects an answer that is sent in one piece.
type wholeSink struct {
	c    *echo.Context
	r    toucanapi.Request
	id   string
	text strings.Builder
}

func (s *wholeSink) begin(id string) error {
	s.id = id
	s.c.Response().Header().Set(headerGenerationID, id)
	s.text.Reset()
	return nil
}

// handedOver implements sink: the caller gets nothing before the end.
func (s *wholeSink) handedOver() bool { return false }

func (s *wholeSink) tokens(_ int, text []string) error {
	for _, t := range text {
		s.text.WriteString(t)
	}
	return nil
}

func (s *wholeSink) end(end *toucanwire.End) error {
	usage := toucanapi.NewUsage(int(end.PromptTokens), int(end.CompletionTokens))
	body, err := toucanapi.Whole(s.id, s.r.Model, s.r.Chat, time.Now(), s.text.String(), end.FinishReason, usage)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	limitWrite(s.c)
	return s.c.JSONBlob(http.StatusOK, body)
}

func (s *wholeSink) failed(err error) error { return err }
