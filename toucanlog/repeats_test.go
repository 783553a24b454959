package toucanlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// splitLines returns the lines in b.
func splitLines(b *bytes.Buffer) []string { return strings.Split(strings.TrimSpace(b.String()), "\n") }

func omitTimeAndLevel(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && (a.Key == slog.TimeKey || a.Key == slog.LevelKey) {
		return slog.Attr{}
	}
	return a
}

func newTestLimiter() (*RepeatLimiter, *bytes.Buffer) {
	var b bytes.Buffer
	return NewRepeatLimiter(slog.NewJSONHandler(&b, &slog.HandlerOptions{ReplaceAttr: omitTimeAndLevel})), &b
}

func TestRepeatsAreSummarised(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		h, b := newTestLimiter()
		log := slog.New(h).With("instance", "i")
		for n := range repeatsPerSecond + 30 {
			log.Info("often", "n", n)
		}
		log.Info("rare")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		log.Info("often", "n", 1000)
		got := splitLines(b)
		assert.Equal(t, len(got), repeatsPerSecond+3)
		assert.Equal(t, got[0], `{"msg":"often","instance":"i","n":0}`)
		assert.Equal(t, got[repeatsPerSecond], `{"msg":"rare","instance":"i"}`)
		assert.Equal(t, got[repeatsPerSecond+1], `{"msg":"often","instance":"i","n":79,"linesSummarised":30}`)
		assert.Equal(t, got[repeatsPerSecond+2], `{"msg":"often","instance":"i","n":1000}`)
	})
}

func TestClosedHandlerWritesEveryLine(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		h, b := newTestLimiter()
		log := slog.New(h)
		for n := range repeatsPerSecond + 2 {
			log.Info("often", "n", n)
		}
		h.Close()
		log.Info("often", "n", "after")
		got := splitLines(b)
		assert.Equal(t, got[len(got)-2], `{"msg":"often","n":51,"linesSummarised":2}`)
		assert.Equal(t, got[len(got)-1], `{"msg":"often","n":"after"}`)
	})
}
