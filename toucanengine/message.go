package toucanengine

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Request describes a generation to run.
type Request struct {
	// ID identifies the generation and is never empty. The engine runs at most one generation with an ID.
	ID string
	// Prompt is the prompt's text, or the JSON array of the chat messages when Chat is true.
	Prompt []byte
	Chat   bool
	// PromptTokens is the sender's estimate. It is not sent; the engine counts the tokens itself.
	PromptTokens int
	// MaxTokens limits the output; 0 means the engine's own limit.
	MaxTokens int
	// Priority decides which generation is preempted when memory runs out: the one with the lowest priority.
	Priority int
	// Parameters is the JSON object of the caller's request; it can be empty. The fields of Request override its values.
	Parameters []byte
	// PrefixHash identifies the prompt's prefix in cache events.
	PrefixHash uint64
}

// encode returns the request as JSON: the caller's parameters, overridden by the request's other fields.
func (r Request) encode() ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(r.Parameters) > 0 {
		if err := json.Unmarshal(r.Parameters, &fields); err != nil {
			return nil, errors.Wrapf(ErrNotSent, "parameters are not a JSON object: %v", err)
		}
	}
	set := func(name string, v any) error {
		b, err := json.Marshal(v)
		fields[name] = b
		return errors.Wrapf(err, "encode %s", name)
	}
	values := map[string]any{
		"request_id":  r.ID,
		"stream":      true,
		"priority":    r.Priority,
		"prefix_hash": r.PrefixHash,
	}
	if r.MaxTokens > 0 {
		values["max_tokens"] = r.MaxTokens
	}
	if r.Chat {
		values["messages"] = json.RawMessage(r.Prompt)
	} else {
		values["prompt"] = string(r.Prompt)
	}
	for name, v := range values {
		if err := set(name, v); err != nil {
			return nil, err
		}
	}
	b, err := json.Marshal(fields)
	return b, errors.Wrap(err, "encode request")
}

// Values of Batch.Finish.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Batch holds consecutive tokens of one generation.
type Batch struct {
	// FirstIndex is the index of Text[0] in the generation, counted from 0.
	FirstIndex int
	Text       []string
	// Finish is empty until the last batch: FinishStop or FinishLength.
	Finish string
	// PromptTokens is the engine's count of the prompt's tokens; set only in the last batch.
	PromptTokens int
}

// Report is an engine's load at the time At.
type Report struct {
	At time.Time `json:"at"`
	// BootID changes when the engine restarts.
	BootID      uint64 `json:"bootId"`
	UsedBlocks  int    `json:"usedBlocks"`
	TotalBlocks int    `json:"totalBlocks"`
	// BlockTokens is the size of one memory block in tokens.
	BlockTokens int `json:"blockTokens"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	// StepTime is the duration of the last decoding step.
	StepTime time.Duration `json:"stepTimeNanos"`
	// Preemptions is the number of preemptions since the engine started.
	Preemptions uint64 `json:"preemptions"`
	// Leaving is true once the engine has been notified that its instance will be reclaimed.
	Leaving bool `json:"leaving"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from the engine's cache.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefixHash"`
	// Stored is true when the prefix was added, false when it was evicted.
	Stored bool `json:"stored"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders to an engine.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetRole     OrderKind = "setRole"
)

// Order is a command that changes what an engine serves.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Argument string    `json:"argument"`
	// Fence is the sender's fencing number. An engine that checks it refuses an order whose number is below the highest
	// received so far.
	Fence uint64 `json:"fence"`
}
