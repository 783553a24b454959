// Package toucanbubble runs tests in bubbles of testing/synctest, in which time is simulated.
//
// Under the race detector a process with a bubble has one processor. The runtime keeps one race context for all timers of a bubble and does
// not lock it while a timer's function runs. With several processors two threads use it at once, one of them by a receive from the channel of a
// timer that is due, and the race detector itself crashes. Data races are found as well with one processor: the detector looks for accesses that
// nothing orders, and not for those that happen at the same moment.
package toucanbubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, as synctest.Test does.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		bubbles.enter()
		defer bubbles.leave()
	}
	synctest.Test(t, f)
}

var bubbles counter

// counter counts the bubbles of the process. It is safe for concurrent use.
type counter struct {
	mu   sync.Mutex
	open int
	// processors is the number of processors without bubbles.
	processors int
}

func (c *counter) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		c.processors = runtime.GOMAXPROCS(1)
	}
	c.open++
}

func (c *counter) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 {
		runtime.GOMAXPROCS(c.processors)
	}
}
