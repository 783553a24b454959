// Package toucanapi holds the forms of callers' requests and answers: the OpenAI-compatible completions and
// the JSON errors.
package toucanapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// BadRequestError names the field of a request that cannot be served as it is.
type BadRequestError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *BadRequestError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Message)
}

// ErrBodyTooLarge is returned for a body over the bound.
var ErrBodyTooLarge = errors.New("request body is too large")

const (
	// MaxBodyBytes bounds the body of a generation request.
	MaxBodyBytes = 4 << 20
	// maxTokensLimit bounds max_tokens.
	maxTokensLimit = 1 << 20
	// bytesPerToken is how many bytes of prompt count as one token before the engine has counted them.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt its prefix hash covers.
	prefixBytes = 1024
)

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// body is the part of a request that the entry itself reads. Everything goes to the engine unchanged.
type body struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       *StreamOptions  `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	User                string          `json:"user"`
}

// Request is a caller's generation request in the form that the entry works with.
type Request struct {
	Model        string
	Chat         bool
	Stream       bool
	IncludeUsage bool
	// Prompt is the prompt's text, or the JSON of the messages of a chat.
	Prompt []byte
	// PromptTokens is an estimate until the engine has counted.
	PromptTokens int
	// MaxTokens is the caller's bound; zero when it gave none.
	MaxTokens int
	// PrefixHash is equal for prompts with an equal beginning; zero for an empty prompt.
	PrefixHash uint64
	// Parameters is the caller's JSON, for the engine.
	Parameters []byte
}

// ParseChat reads the body of a chat completion.
func ParseChat(r io.Reader) (Request, error) {
	b, raw, err := parseBody(r)
	if err != nil {
		return Request{}, err
	}
	if len(b.Messages) == 0 {
		return Request{}, &BadRequestError{Field: "messages", Message: "must hold at least one message"}
	}
	for i, m := range b.Messages {
		if m.Role == "" {
			return Request{}, &BadRequestError{Field: fmt.Sprintf("messages[%d].role", i), Message: "is missing"}
		}
	}
	prompt, err := json.Marshal(b.Messages)
	if err != nil {
		return Request{}, &BadRequestError{Field: "messages", Message: err.Error()}
	}
	return b.request(prompt, raw, true)
}

// ParseCompletion reads the body of a plain completion.
func ParseCompletion(r io.Reader) (Request, error) {
	b, raw, err := parseBody(r)
	if err != nil {
		return Request{}, err
	}
	var prompt string
	if len(b.Prompt) == 0 {
		return Request{}, &BadRequestError{Field: "prompt", Message: "is missing"}
	}
	if err := json.Unmarshal(b.Prompt, &prompt); err != nil {
		return Request{}, &BadRequestError{Field: "prompt", Message: "must be one string"}
	}
	return b.request([]byte(prompt), raw, false)
}

func parseBody(r io.Reader) (body, []byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return body{}, nil, errors.Wrap(err, "read body")
	}
	if len(raw) > MaxBodyBytes {
		return body{}, nil, ErrBodyTooLarge
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return body{}, nil, jsonError(err)
	}
	return b, raw, nil
}

func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &BadRequestError{Field: typeErr.Field, Message: fmt.Sprintf("must be %s, not %s", typeErr.Type, typeErr.Value)}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &BadRequestError{Field: "body", Message: fmt.Sprintf("is not valid JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)}
	}
	return &BadRequestError{Field: "body", Message: "is not valid JSON: " + err.Error()}
}

func (b body) request(prompt, raw []byte, chat bool) (Request, error) {
	if b.Model == "" {
		return Request{}, &BadRequestError{Field: "model", Message: "is missing"}
	}
	if b.N != nil && *b.N != 1 {
		return Request{}, &BadRequestError{Field: "n", Message: "must be 1"}
	}
	maxTokens, err := b.maxTokens()
	if err != nil {
		return Request{}, err
	}
	return Request{
		Model:        b.Model,
		Chat:         chat,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
		Prompt:       prompt,
		PromptTokens: max(1, len(prompt)/bytesPerToken),
		MaxTokens:    maxTokens,
		PrefixHash:   prefixHash(prompt),
		Parameters:   bytes.Clone(raw),
	}, nil
}

func (b body) maxTokens() (int, error) {
	field, value := "max_tokens", b.MaxTokens
	if b.MaxCompletionTokens != nil {
		field, value = "max_completion_tokens", b.MaxCompletionTokens
	}
	if value == nil {
		return 0, nil
	}
	if *value < 1 || *value > maxTokensLimit {
		return 0, &BadRequestError{Field: field, Message: fmt.Sprintf("must be between 1 and %d", maxTokensLimit)}
	}
	return *value, nil
}

func prefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// BearerKey returns the key of an Authorization header.
func BearerKey(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return key, true
}
