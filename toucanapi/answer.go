package toucanapi

import (
	"encoding/json"
	"strconv"
	"time"
)

// Error is the JSON error in answers to callers. Type takes the values of the OpenAI-compatible API.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type"`
	// Ran is whether the request ran: "no", "unknown" or "partly".
	Ran       string `json:"ran"`
	Retryable bool   `json:"retryable"`
	RequestID string `json:"requestId,omitempty"`
}

// ErrorBody is the JSON body that holds an Error.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Usage holds the token counts of a generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// NewUsage returns a Usage with the total of prompt and completion tokens.
func NewUsage(prompt, completion int) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	LogProbs     *struct{}    `json:"logprobs"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// EncodeCompletion returns the JSON body of an answer that is not streamed.
func EncodeCompletion(id, model string, chat bool, created time.Time, text, finish string, u Usage) ([]byte, error) {
	c := completion{ID: id, Object: "text_completion", Created: created.Unix(), Model: model, Usage: u}
	ch := choice{FinishReason: finish}
	if chat {
		c.Object = "chat.completion"
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	return json.Marshal(c)
}

// EventEncoder encodes one streamed answer as server-sent events. Each method appends complete events to a buffer.
type EventEncoder struct {
	chat         bool
	includeUsage bool
	id           string
	// head is the JSON of a chunk up to its choices, without the comma before them.
	head []byte
}

// NewEventEncoder returns the encoder of one answer's events.
func NewEventEncoder(id, model string, chat, includeUsage bool, created time.Time) (*EventEncoder, error) {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	head, err := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{id, object, created.Unix(), model})
	if err != nil {
		return nil, err
	}
	return &EventEncoder{chat: chat, includeUsage: includeUsage, id: id, head: head[:len(head)-1]}, nil
}

// AppendRole appends the first chunk of a chat answer, which holds the role. Text completions have no such chunk.
func (e *EventEncoder) AppendRole(b []byte) []byte {
	if !e.chat {
		return b
	}
	b = e.appendHead(b)
	b = append(b, `{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]`...)
	return e.appendTail(b)
}

// AppendToken appends the event of one token. Its SSE id is ID:INDEX, from which a caller can resume the stream.
func (e *EventEncoder) AppendToken(b []byte, index int, text string) []byte {
	b = append(b, "id: "...)
	b = append(b, e.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, '\n')
	b = e.appendHead(b)
	if e.chat {
		b = append(b, `{"index":0,"delta":{"content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = append(b, `{"index":0,"text":`...)
		b = appendString(b, text)
	}
	b = append(b, `,"logprobs":null,"finish_reason":null}]`...)
	return e.appendTail(b)
}

// AppendEnd appends the chunk with the finish reason, the usage if the caller requested it, and the final event.
func (e *EventEncoder) AppendEnd(b []byte, finish string, u Usage) []byte {
	b = e.appendHead(b)
	if e.chat {
		b = append(b, `{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		b = append(b, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	b = appendString(b, finish)
	b = append(b, "}]"...)
	b = e.appendTail(b)
	if e.includeUsage {
		b = e.appendUsage(b, u)
	}
	return append(b, "data: [DONE]\n\n"...)
}

// AppendError appends the event that ends a stream that cannot be completed.
func AppendError(b []byte, err Error) []byte {
	body, _ := json.Marshal(ErrorBody{Error: err}) // strings and booleans always marshal
	b = append(b, "event: error\ndata: "...)
	b = append(b, body...)
	return append(b, "\n\n"...)
}

func (e *EventEncoder) appendHead(b []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, e.head...)
	return append(b, `,"choices":[`...)
}

func (e *EventEncoder) appendTail(b []byte) []byte {
	if e.includeUsage {
		b = append(b, `,"usage":null`...)
	}
	return append(b, "}\n\n"...)
}

func (e *EventEncoder) appendUsage(b []byte, u Usage) []byte {
	usage, _ := json.Marshal(u) // integers always marshal
	b = e.appendHead(b)
	b = append(b, `],"usage":`...)
	b = append(b, usage...)
	return append(b, "}\n\n"...)
}

// appendString appends text as a JSON string.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < 0x20 || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(text) // strings always marshal
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
