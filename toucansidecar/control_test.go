package toucansidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucansettings"
	"toucanport/toucanwire"
)

// TestReportsOnAnswersAreSpacedByLinks sends an answer every millisecond for one second and counts those that include a
// load report.
func TestReportsOnAnswersAreSpacedByLinks(t *testing.T) {
	for links, bound := range map[int]int{1: 41, 9: 5} {
		toucanbubble.Test(t, func(t *testing.T) {
			s := New(Config{Kind: toucansettings.KindPlain})
			for range links {
				s.links[&toucanwire.Link{}] = struct{}{}
			}
			reports := 0
			for range 1000 {
				if s.answerReport() != nil {
					reports++
				}
				time.Sleep(time.Millisecond)
			}
			assert.Assert(t, reports > 0 && reports <= bound, "%d reports with %d links, bound %d", reports, links, bound)
		})
	}
}
