package toucanengine

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func readAll(text string) ([]Batch, error) {
	s := newStream(io.NopCloser(strings.NewReader(text)), func() {})
	var batches []Batch
	for {
		b, err := s.Next()
		if err != nil {
			return batches, err
		}
		batches = append(batches, b)
	}
}

func TestStreamReadsTokensAndEnd(t *testing.T) {
	batches, err := readAll("id: 0\ndata: {\"choices\":[{\"tokens\":[\"a\",\"\\u00e9\"],\"finish_reason\":null}]}\n\n" +
		"id: 2\ndata: {\"choices\":[{\"tokens\":[],\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7}}\n\ndata: [DONE]\n\n")
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.DeepEqual(t, batches, []Batch{{Text: []string{"a", "é"}}, {FirstIndex: 2, Finish: "stop", PromptTokens: 7}})
}

// FuzzStream checks that the reader fails only with ErrInterrupted for any bytes from an engine, and that it returns
// io.EOF only for a stream that contains the final event.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"",
		"id: 0\ndata: {\"choices\":[{\"tokens\":[\"a\"]}]}\n\ndata: [DONE]\n\n",
		"id: x\ndata: {}\n\n",
		"id: 0\ndata: {\"choices\":[{\"tokens\":[\"a\"\n\n",
		"data: [DONE]\n\n",
		"event: error\ndata: x\n\n",
		"id: 0\ndata: {\"choices\":[{\"tokens\":[\"a\"]}]}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := readAll(text)
		complete := errors.Is(err, io.EOF)
		if complete && !strings.Contains(text, doneData) {
			t.Fatalf("%q was accepted as a complete stream", text)
		}
		if !complete && !errors.Is(err, ErrInterrupted) {
			t.Fatal(err)
		}
	})
}
