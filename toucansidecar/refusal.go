package toucansidecar

import (
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanadmit"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Values of `ran` in a refusal: whether the request ran.
const (
	ranNo      = toucanwire.RanNo
	ranUnknown = toucanwire.RanUnknown
	ranPartly  = toucanwire.RanPartly
)

// Refusal codes.
const (
	codeOverloaded        = toucanwire.CodeOverloaded
	codeLeaving           = toucanwire.CodeLeaving
	codeReclaimed         = toucanwire.CodeReclaimed
	codeDeadline          = toucanwire.CodeDeadline
	codeCancelled         = toucanwire.CodeCancelled
	codeEngineLost        = toucanwire.CodeEngineLost
	codeUnknownGeneration = toucanwire.CodeUnknownGeneration
	codeGenerationClosed  = toucanwire.CodeGenerationClosed
	codeTokensDropped     = toucanwire.CodeTokensDropped
	codeEndpointFailed    = toucanwire.CodeEndpointFailed
	codeSuperseded        = toucanwire.CodeSuperseded
	codeRejected          = toucanwire.CodeRejected
	codeStoreUnavailable  = toucanwire.CodeStoreUnavailable
)

func refusal(code, ran, message string) *toucanwire.Refusal {
	return toucanwire.NewRefusal(code, ran, message)
}

func overloadRefusal(err error) *toucanwire.Refusal {
	r := refusal(codeOverloaded, ranNo, "the endpoint is overloaded")
	var refused *toucanadmit.RefusalError
	if errors.As(err, &refused) {
		r.RetryAfterMillis = uint32(refused.RetryAfter / time.Millisecond)
	}
	return r
}

// endRefusal returns the refusal for a generation that failed after the given number of tokens.
func endRefusal(end toucanstream.End, tokens int) *toucanwire.Refusal {
	ran := ranUnknown
	switch {
	case end.Failure == codeDeadline, end.Failure == codeRejected, end.Failure == codeLeaving,
		end.Failure == codeOverloaded:
		ran = ranNo
	case tokens > 0:
		ran = ranPartly
	}
	r := refusal(end.Failure, ran, end.Message)
	r.RetryAfterMillis = uint32(end.RetryAfter / time.Millisecond)
	r.Retryable = end.Failure != codeCancelled && end.Failure != codeRejected
	return r
}

func (s *Sidecar) refuse(stream *toucanwire.Stream, r *toucanwire.Refusal) {
	_ = s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_Refusal{Refusal: r}, Load: s.loadReport()})
}

// sendTimeout limits how long a write to a link can block before the reader is disconnected. The generation is kept.
const sendTimeout = 5 * time.Minute

func (s *Sidecar) send(stream *toucanwire.Stream, e *toucanwire.Event) error {
	stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	return stream.Send(e)
}
