package toucanevent

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// events returns the text of the events from one number to another.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t%d\n\n", i, i)
	}
	return b.String()
}

// TestCallersLastEventIsTheBeginning checks that nothing that the caller has comes twice, that a gap after it is seen, and that an end
// before it is told from the end of the stream.
func TestCallersLastEventIsTheBeginning(t *testing.T) {
	for _, c := range []struct {
		last, sent, whole string
		gap, behind       bool
	}{
		{last: "2", sent: events(3, 5), whole: events(3, 5)},
		{last: "2", sent: events(1, 5), whole: events(3, 5)},
		{last: "2", sent: events(1, 2)},
		{last: "2", sent: ""},
		{last: "2", sent: events(4, 5), gap: true, behind: true},
		{last: "7", sent: events(1, 5), behind: true},
		{last: "0", sent: events(1, 2), whole: events(1, 2)},
		{last: "0", sent: events(0, 2), whole: events(1, 2)},
		{last: "", sent: events(0, 2), whole: events(0, 2)},
		{last: "18446744073709551615", sent: events(1, 2), behind: true},
	} {
		p := New(WithLast(c.last))
		whole, gap := p.Parse([]byte(c.sent))
		assert.Equal(t, string(whole), c.whole, "last %q", c.last)
		assert.Equal(t, gap, c.gap, "last %q", c.last)
		assert.Equal(t, p.IsBehind(), c.behind, "last %q, sent %q", c.last, c.sent)
	}
}

// TestIDs checks which texts are ids of events.
func TestIDs(t *testing.T) {
	for text, want := range map[string]string{
		"0": "0", "17": "17", "007": "7", "18446744073709551615": "18446744073709551615",
		"": "", "-1": "", "+1": "", "1,2": "", " 1": "", "1.0": "", "0x1": "", "1_0": "", "seven": "", "18446744073709551616": "",
		strings.Repeat("9", 1<<20): "",
	} {
		id, err := ParseID(text)
		assert.Equal(t, id, want)
		assert.Equal(t, err == nil, want != "")
	}
}

// TestCallerGetsEachEventOnce plays streams that break at any byte and go on at endpoints that honour the last event, that ignore it, that
// begin too late or that know fewer events. The caller's bytes are always the next events, each once, and a stream that looks whole
// has brought all of them.
func TestCallerGetsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "events")
		has := rapid.IntRange(0, n).Draw(t, "callerHas")
		p := New(WithLast(fmt.Sprint(has)))
		var got strings.Builder
		whole := false
		for try := 0; !whole && try < rapid.IntRange(1, 4).Draw(t, "endpoints"); try++ {
			p.NextEndpoint()
			whole = playEndpoint(t, p, &got, n)
		}
		assert.Assert(t, strings.HasPrefix(events(has+1, n), got.String()), "after %d of %d: %q", has, n, got.String())
		assert.Equal(t, got.String(), events(has+1, has+p.Count()))
		if whole {
			assert.Equal(t, got.String(), events(has+1, n))
		}
	})
}

// playEndpoint feeds the parser the stream of one endpoint and reports whether it looks whole.
func playEndpoint(t *rapid.T, p *Parser, got *strings.Builder, n int) bool {
	var last int
	_, err := fmt.Sscan(p.Last(), &last)
	assert.NilError(t, err)
	from, to := last+1, n
	switch rapid.SampledFrom([]string{"honours", "ignores", "skips", "short"}).Draw(t, "endpoint") {
	case "ignores":
		from = 1
	case "skips":
		from = min(last+2, n+1)
		if from > n {
			return false // It has nothing to send.
		}
	case "short":
		from, to = 1, rapid.IntRange(1, max(last-1, 1)).Draw(t, "knows")
		if last <= 1 {
			return false
		}
	}
	text := events(from, to)
	sent := rapid.IntRange(0, len(text)).Draw(t, "sent")
	for text := text[:sent]; text != ""; {
		size := rapid.IntRange(1, len(text)).Draw(t, "read")
		events, gap := p.Parse([]byte(text[:size]))
		got.Write(events)
		if gap {
			return false
		}
		text = text[size:]
	}
	return sent == len(text) && !p.HasPartial() && !p.IsBehind()
}
