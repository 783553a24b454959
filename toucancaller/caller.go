// Package toucancaller is a caller that reads streamed answers and orders as clients do, checks the token texts of
// the stand-in engines, and notes how long it waited.
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

// maxErrorBytes bounds the body of an error that a caller reads.
const maxErrorBytes = 64 << 10

// Caller sends requests to entries.
type Caller struct {
	transport http.RoundTripper
	// entries are the entries' addresses.
	entries []string
	// key returns the key of a workspace.
	key func(workspace int) string
}

// New returns a caller that reaches the entries at the given addresses through rt.
func New(rt http.RoundTripper, entries []string, key func(workspace int) string) *Caller {
	return &Caller{transport: rt, entries: entries, key: key}
}

// Ask is one streamed completion that a caller wants.
type Ask struct {
	// Entry is the index of the entry that the platform's balancer chose.
	Entry     int
	Workspace int
	Service   string
	Class     string
	Prompt    string
}

// Answer is what the caller got.
type Answer struct {
	Status       int
	GenerationID string
	// Done is true when the stream ended with [DONE].
	Done bool
	// Error is the JSON error of a refusal or of the event that ended the stream; nil without one.
	Error *toucanapi.Error
	// Broken is the error of a connection that ended without a final answer; nil when there was one.
	Broken error
	// Garbled is true when a token was missing, repeated, out of order or of another generation.
	Garbled bool
	// Tokens counts the tokens received, and IDHash tells whose they are.
	Tokens int
	IDHash uint32
	// FirstToken is the time from the request to its first token; zero without one.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// LongestWait is the longest time without progress.
	LongestWait time.Duration
	// Took is the time from the request to the end of its answer.
	Took time.Duration
	// LastEventID is the id of the last token's event.
	LastEventID string
}

// completionBody is the caller's request.
type completionBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
}

// completionChunk is what a caller reads of an event.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Ask sends a completion and reads its answer to the end.
func (c *Caller) Ask(ctx context.Context, a Ask) Answer {
	body, err := json.Marshal(completionBody{Model: a.Service, Stream: true, Prompt: a.Prompt})
	if err != nil {
		return Answer{Broken: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(a.Entry, "/v1/completions"), bytes.NewReader(body))
	if err != nil {
		return Answer{Broken: err}
	}
	req.Header.Set("Toucan-Class", a.Class)
	return c.receive(req, a.Workspace, 0)
}

// Resume reads a generation on through an entry, behind an event that an earlier answer brought.
func (c *Caller) Resume(ctx context.Context, entry, workspace int, earlier Answer) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(entry, "/v1/generations/"+earlier.GenerationID), nil)
	if err != nil {
		return Answer{Broken: err}
	}
	if earlier.LastEventID != "" {
		req.Header.Set("Last-Event-ID", earlier.LastEventID)
	}
	return c.receive(req, workspace, earlier.Tokens)
}

func (c *Caller) url(entry int, path string) string {
	return "http://" + c.entries[entry] + path
}

// receive sends req and reads an answer whose first token has the index next.
func (c *Caller) receive(req *http.Request, workspace, next int) Answer {
	req.Header.Set("Authorization", "Bearer "+c.key(workspace))
	reader := &answerReader{begin: time.Now(), next: next}
	reader.last = reader.begin
	client := &http.Client{Transport: c.transport}
	resp, err := client.Do(req)
	if err != nil {
		reader.answer.Broken = err
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

type answerReader struct {
	answer      Answer
	begin, last time.Time
	// next is the index that the next token must have.
	next int
}

func (a *answerReader) readError(body io.Reader) {
	b, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		a.answer.Broken = err
		return
	}
	a.parseError(b)
}

func (a *answerReader) parseError(b []byte) {
	var e toucanapi.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil {
		a.answer.Broken = err
		return
	}
	a.answer.Error = &e.Error
}

func (a *answerReader) readEvents(body io.Reader) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			a.answer.Broken = err
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
	if !a.answer.Done && a.answer.Error == nil && a.answer.Broken == nil {
		a.answer.Broken = io.ErrUnexpectedEOF
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
		a.readText(choice.Text)
		a.answer.LastEventID = ev.LastEventID
	}
}

func (a *answerReader) readText(text string) {
	tokens, ok := toucanfake.ParseTokens(text)
	a.answer.Garbled = a.answer.Garbled || !ok
	for _, t := range tokens {
		if a.answer.Tokens == 0 {
			a.answer.IDHash = t.IDHash
		}
		if t.Index != a.next || t.IDHash != a.answer.IDHash {
			a.answer.Garbled = true
		}
		a.next++
		a.answer.Tokens++
		a.progress()
	}
}

func (a *answerReader) progress() {
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
	a.answer.Took = now.Sub(a.begin)
	a.answer.LongestWait = max(a.answer.LongestWait, now.Sub(a.last))
	return a.answer
}

// Join adds the answer to a resumption.
func (a Answer) Join(next Answer) Answer {
	next.Garbled = next.Garbled || a.Garbled || a.Tokens > 0 && next.Tokens > 0 && a.IDHash != next.IDHash
	next.GenerationID = a.GenerationID
	if next.Tokens == 0 {
		next.IDHash, next.LastEventID = a.IDHash, a.LastEventID
	}
	next.Tokens += a.Tokens
	return next
}
