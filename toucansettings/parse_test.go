package toucansettings_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucandocument"
	"toucanport/toucansettings"
)

func genTeam(t *rapid.T) toucansettings.Team {
	team := toucansettings.Team{Name: "laval"}
	services := rapid.IntRange(1, 4).Draw(t, "services")
	for i := range services {
		s := genService(t, fmt.Sprintf("s%d", i))
		team.Services = append(team.Services, s)
		team.Endpoints = append(team.Endpoints, toucansettings.Endpoint{
			Name: fmt.Sprintf("e%d", i), Team: "laval", Service: s.Name,
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			FailureDomain: "qc-east-a",
			ChecksFencing: rapid.Bool().Draw(t, "checks"),
			Draining:      rapid.Bool().Draw(t, "draining"),
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		team.Workspaces = append(team.Workspaces, toucansettings.Workspace{
			Name: fmt.Sprintf("w%d", i), Team: "laval",
			KeyHashes:       []string{toucansettings.HashKey(fmt.Sprint(i))},
			Weight:          rapid.Float64Range(0.001, 1000).Draw(t, "weight"),
			Services:        []string{"s0"},
			TokensPerMinute: rapid.IntRange(0, 1<<30).Draw(t, "tokens"),
		})
	}
	return team
}

func genService(t *rapid.T, name string) toucansettings.Service {
	s := toucansettings.Service{
		Name: name, Team: "laval", Kind: toucansettings.KindPlain,
		Weigh:      rapid.SampledFrom([]toucansettings.LatencyPriority{toucansettings.PrioritizeStallTime, toucansettings.PrioritizeInterTokenLatency}).Draw(t, "weigh"),
		Policy:     toucansettings.PolicyToucan,
		FirstToken: time.Duration(rapid.IntRange(1, 60000).Draw(t, "first")) * time.Millisecond,
		InterToken: time.Duration(rapid.IntRange(1, 60000).Draw(t, "inter")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "generation") {
		s.Kind, s.Model = toucansettings.KindGeneration, "m"
	}
	return s
}

func TestEncodedTeamRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := genTeam(t)
		data, err := toucansettings.EncodeTeam(team)
		assert.NilError(t, err)
		back, err := toucansettings.ParseTeam("laval.toml", "laval", data)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, team, cmpAddrPort)
	})
}

func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		_, err := toucansettings.ParseTeam("f", "t", data)
		if err != nil {
			assert.ErrorIs(t, err, toucandocument.ErrInvalid)
		}
	})
}
