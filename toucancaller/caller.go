// Package toucancaller implements a caller for tests and measurements. It sends completions and orders to entries,
// checks streamed answers against the token texts of the fake engines, and measures latencies.
package toucancaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"toucanport/toucanapi"
	"toucanport/toucanfake"
)

// maxErrorBytes bounds the error bodies that a caller reads.
const maxErrorBytes = 64 << 10

// Caller sends requests to entries. It is safe for concurrent use.
type Caller struct {
	transport http.RoundTripper
	// entries holds the addresses of the entries, as host:port.
	entries []string
	// key returns the API key of a workspace.
	key func(workspace int) string
}

// New returns a caller that reaches the entries at the given addresses through rt.
func New(rt http.RoundTripper, entries []string, key func(workspace int) string) *Caller {
	return &Caller{transport: rt, entries: entries, key: key}
}

// Completion holds the parameters of a streamed completion request.
type Completion struct {
	// Entry is the index of the entry to send to. It simulates the choice that the platform's load balancer makes.
	Entry     int
	Workspace int
	Service   string
	Class     string
	Prompt    string
}

// Answer is the result of a completion or resume request.
type Answer struct {
	Status       int
	GenerationID string
	// Done is true when the stream ended with [DONE].
	Done bool
	// Error is the JSON error of a refusal or of the event that ended the stream; nil without one.
	Error *toucanapi.Error
	// Err is the error with which the answer ended early or could not be read; nil after a final answer.
	Err error
	// Garbled is true if a token was missing, repeated, out of order, unreadable or of another generation.
	Garbled bool
	// Tokens is the number of tokens received. IDHash is the generation's hash, from the text of the first token.
	Tokens int
	IDHash uint32
	// FirstToken is the time from the start of the request to the first token; zero without a token.
	FirstToken time.Duration
	// Gaps holds the times between consecutive tokens.
	Gaps []time.Duration
	// LongestWait is the longest time without a token, including the waits for the first token and for the end.
	LongestWait time.Duration
	// Duration is the time from the start of the request to the end of the answer.
	Duration time.Duration
	// LastEventID is the id of the event that carried the last token.
	LastEventID string
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
}

// completionChunk holds the fields of a streamed event that a caller reads.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Complete sends a completion request and reads its answer to the end.
func (c *Caller) Complete(ctx context.Context, a Completion) Answer {
	body, err := json.Marshal(completionBody{Model: a.Service, Stream: true, Prompt: a.Prompt})
	if err != nil {
		return Answer{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(a.Entry, "/v1/completions"), bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Toucan-Class", a.Class)
	return c.receive(req, a.Workspace, 0)
}

// Resume continues reading the generation of an earlier answer through an entry, from the event after
// earlier.LastEventID on, or from the first event if that is empty.
func (c *Caller) Resume(ctx context.Context, entry, workspace int, earlier Answer) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(entry, "/v1/generations/"+earlier.GenerationID), nil)
	if err != nil {
		return Answer{Err: err}
	}
	if earlier.LastEventID != "" {
		req.Header.Set("Last-Event-ID", earlier.LastEventID)
	}
	return c.receive(req, workspace, earlier.Tokens)
}

func (c *Caller) url(entry int, path string) string {
	return "http://" + c.entries[entry] + path
}

// receive sends req and reads its answer. The first token must have the index next.
func (c *Caller) receive(req *http.Request, workspace, next int) Answer {
	req.Header.Set("Authorization", "Bearer "+c.key(workspace))
	reader := &answerReader{begin: time.Now(), nextIndex: next}
	reader.last = reader.begin
	client := &http.Client{Transport: c.transport}
	resp, err := client.Do(req)
	if err != nil {
		reader.answer.Err = err
		return reader.finish()
	}
	defer resp.Body.Close()
	reader.answer.Status = resp.StatusCode
	reader.answer.GenerationID = resp.Header.Get("Toucan-Generation-Id")
	if resp.StatusCode != http.StatusOK {
		reader.readError(resp.Body)
		return reader.finish()
	}
	reader.readEvents(resp.Body)
	return reader.finish()
}

// answerReader reads an answer, checks its tokens and measures the times between them.
type answerReader struct {
	answer      Answer
	begin, last time.Time
	// nextIndex is the expected index of the next token.
	nextIndex int
}

func (a *answerReader) readError(body io.Reader) {
	b, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		a.answer.Err = err
		return
	}
	a.parseError(b)
}

func (a *answerReader) parseError(b []byte) {
	var e toucanapi.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil {
		a.answer.Err = err
		return
	}
	a.answer.Error = &e.Error
}

func (a *answerReader) readEvents(body io.Reader) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			a.answer.Err = err
			return
		}
		switch {
		case ev.Data == "[DONE]":
			a.answer.Done = true
		case ev.Type == "error":
			a.parseError([]byte(ev.Data))
		default:
			a.readChunk(ev)
		}
	}
	if !a.answer.Done && a.answer.Error == nil && a.answer.Err == nil {
		a.answer.Err = io.ErrUnexpectedEOF
	}
}

func (a *answerReader) readChunk(ev sse.Event) {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
		a.answer.Garbled = true
		return
	}
	for _, choice := range chunk.Choices {
		if choice.Text == "" {
			continue
		}
		a.checkTokens(choice.Text)
		a.answer.LastEventID = ev.LastEventID
	}
}

func (a *answerReader) checkTokens(text string) {
	tokens, ok := toucanfake.ParseTokens(text)
	a.answer.Garbled = a.answer.Garbled || !ok
	for _, t := range tokens {
		if a.answer.Tokens == 0 {
			a.answer.IDHash = t.IDHash
		}
		if t.Index != a.nextIndex || t.IDHash != a.answer.IDHash {
			a.answer.Garbled = true
		}
		a.nextIndex++
		a.answer.Tokens++
		a.recordToken()
	}
}

func (a *answerReader) recordToken() {
	now := time.Now()
	gap := now.Sub(a.last)
	a.last = now
	a.answer.LongestWait = max(a.answer.LongestWait, gap)
	if a.answer.Tokens == 1 {
		a.answer.FirstToken = gap
		return
	}
	a.answer.Gaps = append(a.answer.Gaps, gap)
}

func (a *answerReader) finish() Answer {
	now := time.Now()
	a.answer.Duration = now.Sub(a.begin)
	a.answer.LongestWait = max(a.answer.LongestWait, now.Sub(a.last))
	return a.answer
}

// Join returns the answer to a resume request combined with the answer a before it: its tokens are counted together,
// and it is garbled if either is or if they have tokens of different generations. Its times remain those of next.
func (a Answer) Join(next Answer) Answer {
	next.Garbled = next.Garbled || a.Garbled || a.Tokens > 0 && next.Tokens > 0 && a.IDHash != next.IDHash
	next.GenerationID = a.GenerationID
	if next.Tokens == 0 {
		next.IDHash, next.LastEventID = a.IDHash, a.LastEventID
	}
	next.Tokens += a.Tokens
	return next
}
