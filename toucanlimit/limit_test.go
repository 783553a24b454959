package toucanlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// script runs the commands of one testdata file against the limiters of several entries.
type script struct {
	now      time.Time
	w        Workspace
	entries  []*Shared
	releases [][]Release
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{now: time.Unix(0, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var entry, n, tokens int
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "tokens", &tokens)
	switch d.Cmd {
	case "entries":
		s.w = Workspace{Name: "w"}
		d.MaybeScanArgs(t, "concurrent", &s.w.ConcurrentRequests)
		d.MaybeScanArgs(t, "perMinute", &s.w.TokensPerMinute)
		s.entries, s.releases = nil, make([][]Release, n)
		for range n {
			known := n
			if d.HasArg("alone") {
				known = 1
			}
			s.entries = append(s.entries, NewShared(known))
		}
	case "acquire":
		return s.acquire(t, entry, n, tokens)
	case "release":
		for _, release := range s.releases[entry][:n] {
			release(s.now, tokens)
		}
		s.releases[entry] = s.releases[entry][n:]
	case "exchange":
		s.exchange()
	case "advance":
		var by string
		d.ScanArgs(t, "by", &by)
		step, err := time.ParseDuration(by)
		assert.NilError(t, err)
		s.now = s.now.Add(step)
	case "held":
		return fmt.Sprint(len(s.entries[entry].workspaces))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// acquire calls Acquire n times and prints the number of admitted requests and the first refusal.
func (s *script) acquire(t *testing.T, entry, n, tokens int) string {
	admitted := 0
	refusal := ""
	for range n {
		release, err := s.entries[entry].Acquire(s.now, s.w, tokens)
		if err == nil {
			admitted++
			s.releases[entry] = append(s.releases[entry], release)
			continue
		}
		var limited *Error
		assert.Assert(t, errors.Is(err, ErrLimited) && errors.As(err, &limited) && limited.RetryAfter > 0)
		if refusal == "" {
			refusal = "\n" + err.Error()
		}
	}
	return fmt.Sprintf("admitted %d%s", admitted, refusal)
}

func (s *script) exchange() {
	for i, from := range s.entries {
		uses := from.Report(s.now)
		for j, to := range s.entries {
			if i != j {
				to.ObserveReport(s.now, fmt.Sprint(i), uses)
			}
		}
	}
}

// TestAdmittedTotalStaysBounded checks that, for any traffic and any loss of reports between entries, all entries
// together admit at most BurstFactor times each limit, plus one request per entry and one burst window of tokens.
func TestAdmittedTotalStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		w := Workspace{
			Name:               "w",
			ConcurrentRequests: rapid.IntRange(1, 30).Draw(t, "concurrent"),
			TokensPerMinute:    rapid.IntRange(100, 100_000).Draw(t, "perMinute"),
		}
		s := &script{now: time.Unix(0, 0), w: w}
		for range n {
			s.entries = append(s.entries, NewShared(n))
		}
		start := s.now
		running, tokens := 0, 0
		var releases []func()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				// At most the capacity of any entry's bucket, so that the estimate is charged in full.
				size := rapid.IntRange(0, w.TokensPerMinute/6/n).Draw(t, "tokens")
				entry := s.entries[rapid.IntRange(0, n-1).Draw(t, "entry")]
				checked := entry.Check(s.now, w, size)
				release, err := entry.Acquire(s.now, w, size)
				assert.DeepEqual(t, checked, err)
				if err != nil {
					assert.Assert(t, errors.Is(err, ErrLimited))
					return
				}
				running++
				tokens += size
				releases = append(releases, func() { release(s.now, size) })
			},
			"release": func(*rapid.T) {
				if len(releases) == 0 {
					return
				}
				releases[0]()
				releases[0]()
				releases = releases[1:]
				running--
			},
			"exchange": func(*rapid.T) { s.exchange() },
			"advance": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				assert.Assert(t, running <= BurstFactor*w.ConcurrentRequests+n)
				minutes := s.now.Sub(start).Minutes() + burstWindow.Minutes()
				assert.Assert(t, float64(tokens) <= BurstFactor*float64(w.TokensPerMinute)*minutes+1)
			},
		})
	})
}

// BenchmarkAcquire runs with 1,700 active workspaces and three peers that report their use of each.
func BenchmarkAcquire(b *testing.B) {
	const workspaces = 1700
	now := time.Unix(0, 0)
	s := NewShared(4)
	uses := make([]WorkspaceUse, 0, workspaces)
	names := make([]string, 0, workspaces)
	for i := range workspaces {
		names = append(names, fmt.Sprintf("team%d/workspace%d", i%100, i))
		uses = append(uses, WorkspaceUse{Workspace: names[i], Running: 1, TokensPerMinute: 1000})
	}
	for i := range 3 {
		s.ObserveReport(now, fmt.Sprint(i), UseReport{List: uses, Complete: true})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		w := Workspace{Name: names[i%workspaces], ConcurrentRequests: 100, TokensPerMinute: 1_000_000}
		i++
		release, err := s.Acquire(now, w, 100)
		if err != nil {
			b.Fatal(err)
		}
		release(now, 0)
	}
}
