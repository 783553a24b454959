package toucanroute

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"

	"toucanport/toucansettings"
)

// script runs the commands of one testdata file against a router.
type script struct {
	t   *testing.T
	now time.Time
	r   Router
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t, now: time.Unix(0, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	switch d.Cmd {
	case "naive":
		s.r = NewNaive()
	case "toucan":
		s.r = NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)})
	case "endpoints":
		s.endpoints(d)
	case "advance":
		s.now = s.now.Add(s.duration(d, "by"))
	case "report":
		s.report(d)
	case "pick":
		return s.pick(d)
	case "perService":
		s.r = NewPerService(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)})
	case "policy":
		var name string
		d.ScanArgs(t, "is", &name)
		s.r.(*PerService).SetPolicy("s", toucansettings.Policy(name))
	case "firstToken":
		var endpoint string
		d.ScanArgs(t, "endpoint", &endpoint)
		s.r.RecordFirstToken(s.now, endpoint, s.duration(d, "firstToken"))
	case "finished":
		s.finished(d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// endpoints parses lines of the form "name failureDomain".
func (s *script) endpoints(d *datadriven.TestData) {
	var es []Endpoint
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		es = append(es, Endpoint{Name: f[0], Service: "s", FailureDomain: f[1], Address: netip.MustParseAddrPort("10.0.0.1:1")})
	}
	s.r.SetEndpoints(s.now, "s", es)
}

// report parses lines of the form "name key=value ...". Endpoints are healthy by default.
func (s *script) report(d *datadriven.TestData) {
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		l := Load{Endpoint: f[0], BootID: 1, Healthy: true, TotalBlocks: 1000}
		for _, arg := range f[1:] {
			key, value, _ := strings.Cut(arg, "=")
			s.field(&l, key, value)
		}
		s.r.Report(s.now, l)
	}
}

func (s *script) field(l *Load, key, value string) {
	switch key {
	case "boot":
		_, _ = fmt.Sscan(value, &l.BootID)
	case "seq":
		_, _ = fmt.Sscan(value, &l.Sequence)
	case "running":
		_, _ = fmt.Sscan(value, &l.Running)
	case "queued":
		_, _ = fmt.Sscan(value, &l.Queued)
	case "forecast":
		_, _ = fmt.Sscan(value, &l.ForecastBlocks)
	case "leaving":
		l.Leaving = true
	case "unhealthy":
		l.Healthy = false
	case "wait":
		l.Wait, _ = time.ParseDuration(value)
	case "step":
		l.StepTime, _ = time.ParseDuration(value)
	case "cached":
		var h uint64
		_, _ = fmt.Sscan(value, &h)
		l.CachedPrefixes = append(l.CachedPrefixes, h)
	default:
		s.t.Fatalf("unknown field %q", key)
	}
}

// pick chooses an endpoint n times and prints how often each was chosen. It also sends the requests unless "dry" is
// given.
func (s *script) pick(d *datadriven.TestData) string {
	n := 1
	d.MaybeScanArgs(s.t, "n", &n)
	counts := make(map[string]int)
	for range n {
		q := s.query(d)
		e, err := s.r.Pick(s.now, q)
		if err != nil {
			var none *NoEndpointError
			if !errors.As(err, &none) || !errors.Is(err, ErrNoEndpoint) {
				s.t.Fatalf("unexpected error %v", err)
			}
			counts[fmt.Sprintf("none (retry after %s)", none.RetryAfter)]++
			continue
		}
		counts[e.Name]++
		if !d.HasArg("dry") {
			s.r.RecordSent(s.now, e.Name, q)
		}
	}
	var lines []string
	for name, count := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", name, count))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func (s *script) query(d *datadriven.TestData) Query {
	q := Query{Service: "s", PromptTokens: 100, MaxTokens: 100}
	d.MaybeScanArgs(s.t, "prefix", &q.PrefixHash)
	d.MaybeScanArgs(s.t, "prompt", &q.PromptTokens)
	d.MaybeScanArgs(s.t, "max", &q.MaxTokens)
	d.MaybeScanArgs(s.t, "key", &q.Key)
	d.MaybeScanArgs(s.t, "service", &q.Service)
	if d.HasArg("exclude") {
		var names string
		d.ScanArgs(s.t, "exclude", &names)
		q.Exclude = strings.Split(names, "+")
	}
	return q
}

func (s *script) finished(d *datadriven.TestData) {
	var endpoint, outcome string
	n := 1
	d.ScanArgs(s.t, "endpoint", &endpoint)
	d.ScanArgs(s.t, "outcome", &outcome)
	d.MaybeScanArgs(s.t, "n", &n)
	o := Outcome(slices.Index(outcomeNames[:], outcome))
	for range n {
		s.r.RecordOutcome(s.now, endpoint, s.query(d), o, s.duration(d, "firstToken"))
	}
}

func (s *script) duration(d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(s.t, key, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}
