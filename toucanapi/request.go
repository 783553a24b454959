// Package toucanapi parses callers' generation requests and encodes the answers: OpenAI-compatible completions and JSON
// errors.
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

// BadRequestError is returned for a request that is invalid. Field is empty if the error concerns no single field.
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

// ErrBodyTooLarge is returned for a body over its size limit, which is MaxBodyBytes for a generation request.
var ErrBodyTooLarge = errors.New("request body is too large")

const (
	// MaxBodyBytes is the maximum size of a generation request's body.
	MaxBodyBytes = 4 << 20
	// maxTokensLimit is the highest accepted value of max_tokens and max_completion_tokens.
	maxTokensLimit = 1 << 20
	// bytesPerToken is the number of prompt bytes per token in the estimate that is used until the engine has counted.
	bytesPerToken = 4
	// prefixBytes is the maximum length of the prompt prefix that is hashed.
	prefixBytes = 1024
)

// Message is a message of a chat request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// StreamOptions is the stream_options object of a request.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// body holds the fields of a request that the entry reads. Request.Parameters holds the complete
// body for the engine.
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

// Request is a validated generation request.
type Request struct {
	Model        string
	Chat         bool
	Stream       bool
	IncludeUsage bool
	// Prompt is the prompt's text, or the JSON array of the messages when Chat is true.
	Prompt []byte
	// PromptTokens is an estimate from the prompt's length, at least 1.
	PromptTokens int
	// MaxTokens is the caller's limit of the output; 0 when the request has none.
	MaxTokens int
	// PrefixHash is the hash of the prompt's first 1024 bytes, or of the whole prompt if it is shorter; 0 for an empty
	// prompt.
	PrefixHash uint64
	// Parameters is the request's complete JSON body, on which the request to the engine is based.
	Parameters []byte
}

// ParseChat parses the body of a chat completion request. It returns a *BadRequestError if the request is invalid.
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

// ParseCompletion parses the body of a text completion request. It returns a *BadRequestError if the request is
// invalid.
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

// BearerKey returns the key in the value of an Authorization header with the Bearer scheme.
func BearerKey(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return key, true
}
