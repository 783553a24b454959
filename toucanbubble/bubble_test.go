package toucanbubble

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimersOfABubble guards against a crash of the race detector while many timers of a bubble are due at the same moment.
func TestTimersOfABubble(t *testing.T) {
	const bubbles, goroutines, rounds = 10, 100, 100
	for range bubbles {
		Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for range goroutines {
				wg.Go(func() {
					for range rounds {
						receiveDue()
					}
				})
			}
			wg.Wait()
		})
	}
}

// receiveDue receives from two timers that are due already.
func receiveDue() {
	a, b := time.NewTimer(time.Millisecond), time.NewTimer(time.Millisecond)
	time.Sleep(time.Millisecond)
	for range 2 {
		select {
		case <-a.C:
		case <-b.C:
		}
	}
}

// TestProcessors checks that the process has one processor under the race detector while a bubble is open, and all of them after that.
func TestProcessors(t *testing.T) {
	all := runtime.GOMAXPROCS(0)
	want := all
	if raceEnabled {
		want = 1
	}
	t.Run("bubbles", func(t *testing.T) {
		for range 4 {
			t.Run("bubble", func(t *testing.T) {
				t.Parallel()
				Test(t, func(t *testing.T) { assert.Equal(t, runtime.GOMAXPROCS(0), want) })
			})
		}
	})
	assert.Equal(t, runtime.GOMAXPROCS(0), all)
}
