package toucanpreview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueryIsReadAsItWasWritten checks that the parameters of a URL carry a query whole, and that others are refused.
func TestQueryIsReadAsItWasWritten(t *testing.T) {
	q := Query{Host: "h.example", Path: "/a b/?x", Workspace: "w&v", Model: "m/1", Prompt: 2200, MaxOutput: 40, LengthHint: 12, Patience: 6 * time.Second}
	got, err := ParseQuery(q.Values())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, q)
	for name, text := range map[string]string{"prompt": "-1", "output": "x", "hint": "9999999999", "host": ""} {
		v := q.Values()
		v.Set(name, text)
		_, err := ParseQuery(v)
		assert.ErrorIs(t, err, ErrQuery, "%s", name)
	}
}
