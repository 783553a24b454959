package toucanengine

import (
	"context"
	"io"
	"iter"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"
)

// doneData is the data of the event at the end of a complete stream.
const doneData = "[DONE]"

// Stream reads the tokens of one generation as the engine produces them.
type Stream interface {
	// Next waits for the next batch of tokens. It returns io.EOF after the last batch, and ErrInterrupted when the
	// stream ended or became invalid before that.
	Next() (Batch, error)
	// Close closes the connection, which unblocks a waiting Next. The engine continues the generation.
	Close() error
}

type eventStream struct {
	body   io.Closer
	cancel context.CancelFunc
	// mu serializes calls of next and stop, which are not safe for concurrent use, and guards done.
	mu   sync.Mutex
	next func() (sse.Event, error, bool)
	stop func()
	done bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *eventStream {
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(body, nil)))
	return &eventStream{body: body, cancel: cancel, next: next, stop: stop}
}

// Next implements Stream.
func (s *eventStream) Next() (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return Batch{}, io.EOF
	}
	ev, err, ok := s.next()
	if err != nil {
		return Batch{}, errors.Wrap(ErrInterrupted, err.Error())
	}
	if !ok {
		return Batch{}, errors.Wrap(ErrInterrupted, "connection closed")
	}
	if ev.Data == doneData {
		s.done = true
		return Batch{}, io.EOF
	}
	return parseBatch(ev)
}

func parseBatch(ev sse.Event) (Batch, error) {
	first, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrInterrupted, "event id %q is not a token index", ev.LastEventID)
	}
	if !gjson.Valid(ev.Data) {
		return Batch{}, errors.Wrap(ErrInterrupted, "event is not JSON")
	}
	fields := gjson.GetMany(ev.Data, "choices.0.tokens", "choices.0.finish_reason", "usage.prompt_tokens")
	tokens, finish, prompt := fields[0], fields[1], fields[2]
	if !tokens.IsArray() {
		return Batch{}, errors.Wrap(ErrInterrupted, "event holds no tokens")
	}
	b := Batch{FirstIndex: first, Finish: finish.String(), PromptTokens: int(prompt.Int())}
	tokens.ForEach(func(_, token gjson.Result) bool {
		b.Text = append(b.Text, token.String())
		return true
	})
	return b, nil
}

// Close implements Stream.
func (s *eventStream) Close() error {
	s.cancel()
	err := s.body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.stop()
	return err
}
