package toucanstep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStepModelPredictsObservedSteps(t *testing.T) {
	m := NewModel()
	for i := range 2000 {
		n, prefill := i%150, (i*37)%600
		took := 18*time.Millisecond + time.Duration(n)*250*time.Microsecond + time.Duration(prefill)*25*time.Microsecond
		m.Observe(n, prefill, took)
	}
	got := m.Predict(100, 400)
	want := 18*time.Millisecond + 25*time.Millisecond + 10*time.Millisecond
	assert.Assert(t, got > want*95/100 && got < want*105/100, "predicted %v, took %v", got, want)
	batch := m.SequencesWithin(68*time.Millisecond, 0)
	assert.Assert(t, batch > 180 && batch < 220, "%d", batch)
}
