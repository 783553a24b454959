package toucanfault_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfault"
	"toucanport/toucanrig"
)

// script/faults sets these flags and runs only TestRandomFaults.
var (
	cases     = flag.Int("cases", 0, "random fault cases to run; 0 skips them")
	firstSeed = flag.Uint64("firstSeed", 1, "seed of the first random fault case")
)

// runInBubble runs f under a fake clock. Yamux keeps timers in a process-wide sync.Pool, and a timer of one bubble must not
// be used in another; two garbage collections empty the pool.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	toucanbubble.Test(t, f)
}

// readCases returns the lines of a file without blank lines and comments.
func readCases(t *testing.T, name string) []string {
	t.Helper()
	f, err := os.Open(name)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	var lines []string
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		line := strings.TrimSpace(scanner.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

func runCase(t *testing.T, c toucanfault.Case, cfg toucanrig.Config) []string {
	t.Helper()
	var violations []string
	runInBubble(t, func(t *testing.T) {
		var err error
		violations, err = c.Run(cfg)
		assert.NilError(t, err)
	})
	return violations
}

func TestFaultTable(t *testing.T) {
	for _, line := range readCases(t, "testdata/faults.txt") {
		t.Run(line, func(t *testing.T) {
			c, err := toucanfault.ParseCase(line)
			assert.NilError(t, err)
			for _, v := range runCase(t, c, toucanrig.Config{}) {
				t.Error(v)
			}
		})
	}
}

func TestRandomFaults(t *testing.T) {
	if *cases == 0 {
		t.Skip("run by script/faults")
	}
	failed := 0
	for i := range *cases {
		s := *firstSeed + uint64(i)
		c := toucanfault.RandomCase(s)
		violations := runCase(t, c, toucanrig.Config{Seed: s})
		if len(violations) == 0 {
			continue
		}
		failed++
		fmt.Printf("seed %d: %s: %s\n", s, c, strings.Join(violations, "; "))
	}
	fmt.Printf("%d passed, %d failed\n", *cases-failed, failed)
	assert.Equal(t, failed, 0)
}
