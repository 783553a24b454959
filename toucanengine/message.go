package toucanengine

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Request is one generation to run.
type Request struct {
	// ID names the generation; the engine never runs two of the same ID. Never empty.
	ID string
	// Prompt is the prompt's text, or the JSON array of the chat messages when Chat is true.
	Prompt []byte
	Chat   bool
	// PromptTokens is the sender's estimate; engines count for themselves.
	PromptTokens int
	// MaxTokens bounds the output; zero leaves the bound to the engine.
	MaxTokens int
	// Priority decides who keeps memory when it runs out: the lowest is preempted first.
	Priority int
	// Parameters is the JSON object of the caller's sampling parameters; may be empty.
	Parameters []byte
	// PrefixHash names the prompt's prefix in cache events.
	PrefixHash uint64
}

// encode returns the request as JSON: the caller's parameters overlaid with the fields set here.
func (r Request) encode() ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(r.Parameters) > 0 {
		if err := json.Unmarshal(r.Parameters, &fields); err != nil {
			return nil, errors.Wrapf(ErrNotSent, "parameters are no JSON object: %v", err)
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

// Finish reasons of a generation.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Batch is consecutive tokens of one generation.
type Batch struct {
	// FirstIndex is the index of Text[0], counted from 0 over the whole generation.
	FirstIndex int
	Text       []string
	// Finish is empty until the last batch: FinishStop or FinishLength.
	Finish string
	// PromptTokens is the engine's count, present in the last batch.
	PromptTokens int
}

// Report is an engine's account of its load at one moment.
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
	// Preemptions counts since the boot.
	Preemptions uint64 `json:"preemptions"`
	// Leaving is true after the engine was told that it will be reclaimed.
	Leaving bool `json:"leaving"`
}

// CacheEvent says that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefixHash"`
	// Stored is false when the prefix was evicted.
	Stored bool `json:"stored"`
}

// OrderKind says what an order asks of the engine.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetRole     OrderKind = "setRole"
)

// Order changes what an engine serves.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Argument string    `json:"argument"`
	// Fence is the giver's fencing number; engines that check it refuse one below the highest seen.
	Fence uint64 `json:"fence"`
}
