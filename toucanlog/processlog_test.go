package toucanlog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

func TestLogNamesEachRequestThatAStopEnds(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const requests = 3 * linesPerSecond
		var b bytes.Buffer
		l := NewProcessLog(&b)
		defer l.Close()
		for range 2 * linesPerSecond {
			l.Logger().Info(MsgRequestAnswered)
		}
		l.BeginStop()
		for range requests {
			l.Logger().Warn(MsgStreamCut)
		}
		synctest.Wait() // The process can be killed here.
		assert.Equal(t, strings.Count(b.String(), MsgStreamCut), requests)
		assert.Equal(t, l.Dropped(), uint64(0))
	})
}
