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

// answerSink is a sink that also writes the end or the error of an answer.
type answerSink interface {
	sink
	end(end *toucanwire.End) error
	fail(err error) error
}

func newSink(c *echo.Context, r toucanapi.Request) answerSink {
	if r.Stream {
		return &streamSink{c: c, r: r, control: http.NewResponseController(c.Response())}
	}
	return &bufferedSink{c: c, r: r}
}

// streamSink writes a streamed answer. It sends the status with the first token, so that a refusal before the first
// token gets its own status.
type streamSink struct {
	c       *echo.Context
	r       toucanapi.Request
	control *http.ResponseController
	id      string
	events  *toucanapi.EventEncoder
	buf     []byte
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

func (s *streamSink) begin(id string) error {
	s.id = id
	return nil
}

func (s *streamSink) answerStarted() bool { return s.events != nil }

func (s *streamSink) open() error {
	if s.events != nil {
		return nil
	}
	events, err := toucanapi.NewEventEncoder(s.id, s.r.Model, s.r.Chat, s.r.IncludeUsage, time.Now())
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
	s.extendWriteDeadline(time.Now())
	_, err := s.c.Response().Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	return nil
}

// extendWriteDeadline sets the write deadline again once a quarter of writeTimeout has passed since it was last set.
func (s *streamSink) extendWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineSetAt) < writeTimeout/4 {
		return
	}
	s.deadlineSetAt = now
	setWriteDeadline(s.c)
}

func (s *streamSink) end(end *toucanwire.End) error {
	if err := s.open(); err != nil {
		return err
	}
	usage := toucanapi.NewUsage(int(end.PromptTokens), int(end.CompletionTokens))
	s.buf = s.events.AppendEnd(s.buf, end.FinishReason, usage)
	return s.flush()
}

// fail writes an error event if the stream has started. Otherwise it returns err, which is answered with its own
// status.
func (s *streamSink) fail(err error) error {
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

// measuredSink records metrics of the answer that it passes on.
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

func (s *measuredSink) fail(err error) error {
	s.generation.End(time.Now(), false)
	return s.answerSink.fail(err)
}

// bufferedSink collects the tokens of an answer that is not streamed.
type bufferedSink struct {
	c    *echo.Context
	r    toucanapi.Request
	id   string
	text strings.Builder
}

func (s *bufferedSink) begin(id string) error {
	s.id = id
	s.c.Response().Header().Set(headerGenerationID, id)
	s.text.Reset()
	return nil
}

// answerStarted implements sink. Nothing is sent before the end.
func (s *bufferedSink) answerStarted() bool { return false }

func (s *bufferedSink) tokens(_ int, text []string) error {
	for _, t := range text {
		s.text.WriteString(t)
	}
	return nil
}

func (s *bufferedSink) end(end *toucanwire.End) error {
	usage := toucanapi.NewUsage(int(end.PromptTokens), int(end.CompletionTokens))
	body, err := toucanapi.EncodeCompletion(s.id, s.r.Model, s.r.Chat, time.Now(), s.text.String(), end.FinishReason, usage)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	setWriteDeadline(s.c)
	return s.c.JSONBlob(http.StatusOK, body)
}

func (s *bufferedSink) fail(err error) error { return err }
