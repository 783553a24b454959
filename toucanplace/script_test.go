package toucanplace

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestScripts runs the scripts in testdata/scripts, which show the endpoint of each placement.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		sc := &script{t: t, now: time.Unix(1000, 0), placer: NewPlacer("d1"), reservations: make(map[string]*Reservation)}
		datadriven.RunTest(t, path, sc.run)
	})
}

type script struct {
	t            *testing.T
	now          time.Time
	placer       *Placer
	list         []Endpoint
	reservations map[string]*Reservation
}

func (sc *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "list":
		return sc.endpoints(d)
	case "place":
		return sc.place(d)
	case "done":
		sc.reservations[d.CmdArgs[0].Key].Done(sc.now, map[string]Outcome{
			"good": OutcomeGood, "failed": OutcomeFailed, "unreachable": OutcomeUnreachable, "neutral": OutcomeNeutral,
		}[d.CmdArgs[1].Key])
	case "promptRead":
		sc.reservations[d.CmdArgs[0].Key].MarkPromptRead()
	case "resize":
		held, tokens := 0, 0
		d.ScanArgs(t, "held", &held)
		d.ScanArgs(t, "tokens", &tokens)
		sc.reservations[d.CmdArgs[0].Key].Resize(held, tokens)
	case "advance":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		assert.NilError(t, err)
		sc.now = sc.now.Add(by)
	case "peer":
		sc.peer(d)
	case "peersReportLeaving":
		keys := make(map[uint64]bool)
		for _, a := range d.CmdArgs {
			keys[sc.named(a.Key).Key()] = true
		}
		sc.placer.SetReportedLeaving(keys)
	case "uses":
		return sc.uses()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// endpoints replaces the list. Each input line is: id domain slots memory [leaving|otherCell|evacuated].
func (sc *script) endpoints(d *datadriven.TestData) string {
	sc.list = nil
	for _, line := range strings.Split(d.Input, "\n") {
		e := Endpoint{Service: "s"}
		rest := ""
		_, _ = fmt.Sscanf(line, "%s %s %d %d %s", &e.ID, &e.FailureDomain, &e.Slots, &e.MemoryTokens, &rest) // The last field is optional.
		e.Leaving, e.OtherCell, e.Evacuated = rest == "leaving", rest == "otherCell", rest == "evacuated"
		sc.list = append(sc.list, e)
	}
	departed := sc.placer.Departed()
	sc.placer.SetEndpoints(sc.list)
	select {
	case <-departed:
		return "an endpoint departs\n"
	default:
		return ""
	}
}

func (sc *script) named(id string) Endpoint {
	for _, e := range sc.list {
		if e.ID == id {
			return e
		}
	}
	sc.t.Fatalf("no endpoint %q", id)
	return Endpoint{}
}

// place makes n placements. For example: place n=2 prompt=10 output=5 [made=3] [copyFrom=a] [backupOf=a] [reserve=100]
// [maxUnread=100].
func (sc *script) place(d *datadriven.TestData) string {
	n, demand, from, of := 1, Demand{}, "", ""
	d.MaybeScanArgs(sc.t, "n", &n)
	d.MaybeScanArgs(sc.t, "prompt", &demand.Prompt)
	d.MaybeScanArgs(sc.t, "output", &demand.Output)
	d.MaybeScanArgs(sc.t, "made", &demand.Made)
	d.MaybeScanArgs(sc.t, "copyFrom", &from)
	d.MaybeScanArgs(sc.t, "backupOf", &of)
	reserve, maxUnread := 0, 0
	d.MaybeScanArgs(sc.t, "reserve", &reserve)
	d.MaybeScanArgs(sc.t, "maxUnread", &maxUnread)
	var got []string
	for range n {
		reservation, err := sc.placeOne(demand, from, of, WithReserve(reserve), WithMaxUnread(maxUnread))
		if err != nil {
			got = append(got, errorName(err))
			continue
		}
		id := fmt.Sprint("c", len(sc.reservations)+1)
		sc.reservations[id] = reservation
		got = append(got, id+" at "+reservation.Endpoint.ID)
	}
	return strings.Join(got, ", ") + "\n"
}

func (sc *script) placeOne(d Demand, from, of string, opts ...PlaceOption) (*Reservation, error) {
	switch {
	case from != "":
		return sc.placer.PlaceCopy(sc.now, sc.named(from), d, func(e Endpoint) bool { return e.ID != from })
	case of != "":
		return sc.placer.Backup(sc.now, sc.named(of), d)
	}
	return sc.placer.Place(sc.now, "s", d, nil, opts...)
}

func errorName(err error) string {
	for _, sentinel := range []error{ErrEvacuated, ErrNoEndpoint, ErrFull, ErrTooLarge} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return "unexpected: " + err.Error()
}

// peer applies a peer's report. Each input line is: id requests tokens unread [held].
func (sc *script) peer(d *datadriven.TestData) {
	uses := make(map[uint64]Use)
	for _, line := range strings.Split(d.Input, "\n") {
		var id string
		var u Use
		n, err := fmt.Sscanf(line, "%s %d %d %d %d", &id, &u.Requests, &u.Tokens, &u.Unread, &u.Held)
		assert.Assert(sc.t, n >= 4, "%v", err)
		uses[sc.named(id).Key()] = u
	}
	sc.placer.Observe(sc.now, d.CmdArgs[0].Key, uses)
}

func (sc *script) uses() string {
	var lines []string
	for key, u := range sc.placer.OwnUse() {
		for _, e := range sc.list {
			if e.Key() == key {
				lines = append(lines, fmt.Sprintf("%s: %d requests, %d tokens, %d unread, %d held", e.ID, u.Requests, u.Tokens, u.Unread, u.Held))
			}
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

// TestAccountsEndAtZero places and ends requests in random order while the list of endpoints changes. It checks that no
// request is placed on a draining endpoint or beyond memoryShare, and that the load is zero at the end.
func TestAccountsEndAtZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		placer := NewPlacer("d1")
		var reservations []*Reservation
		var list []Endpoint
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				list = drawList(t)
				placer.SetEndpoints(list)
			case 1:
				if len(reservations) > 0 {
					i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
					reservations[i].Done(now, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")))
					reservations = append(reservations[:i], reservations[i+1:]...)
				}
			case 2:
				if len(reservations) > 0 {
					reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")].MarkPromptRead()
				}
			default:
				d := Demand{Prompt: rapid.IntRange(0, 600).Draw(t, "prompt"), Output: rapid.IntRange(0, 600).Draw(t, "output")}
				reservation, err := placer.Place(now, "s", d, nil)
				if err == nil {
					assert.Assert(t, !reservation.Endpoint.Leaving && !reservation.Endpoint.Evacuated)
					assert.Assert(t, float64(placer.OwnUse()[reservation.Endpoint.Key()].Tokens) <= memoryShare*float64(reservation.Endpoint.MemoryTokens))
					reservations = append(reservations, reservation)
				}
			}
		}
		placer.SetEndpoints(list)
		for _, reservation := range reservations {
			reservation.Done(now, OutcomeGood)
			reservation.Done(now, OutcomeGood)
		}
		assert.Equal(t, len(placer.OwnUse()), 0)
	})
}

func drawList(t *rapid.T) []Endpoint {
	var list []Endpoint
	for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
		list = append(list, Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Slots: rapid.IntRange(1, 6).Draw(t, "slots"), MemoryTokens: 1000,
			FailureDomain: "d1", Leaving: rapid.Bool().Draw(t, "leaving"),
			Evacuated: rapid.Bool().Draw(t, "evacuated"),
		})
	}
	return list
}

// TestSuspectDurationDoubles checks that the time for which an unreachable endpoint is avoided doubles with each failure in a
// row, up to a bound, and that an answer resets it.
func TestSuspectDurationDoubles(t *testing.T) {
	now := time.Unix(1000, 0)
	var s endpointState
	for _, times := range []time.Duration{1, 2, 4, 8, 8} {
		s.suspect(now)
		assert.Equal(t, s.suspectUntil.Sub(now), times*suspectDuration)
	}
	s.recordOutcome(now, false)
	s.suspect(now)
	assert.Equal(t, s.suspectUntil.Sub(now), suspectDuration)
}
