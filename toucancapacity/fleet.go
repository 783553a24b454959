// Package toucancapacity builds the settings documents of fleets of any size. Its benchmarks measure the costs per endpoint,
// workspace, change, heartbeat and link from which docs/CAPACITY.md is computed.
package toucancapacity

import (
	"fmt"
	"net/netip"
	"time"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// Size is the number of teams, services, workspaces, endpoints and entries of a fleet.
type Size struct {
	Teams, Services, Workspaces, Endpoints, Entries int
}

// Design is the fleet size that the system is designed for. Its services, workspaces and endpoints belong to 20 teams.
var Design = Size{Teams: 20, Services: 18, Workspaces: 1700, Endpoints: 3400, Entries: 420}

const (
	firstToken = 1200 * time.Millisecond
	interToken = 68 * time.Millisecond
	innerPort  = 7000
)

// teams returns the teams of a fleet. Each service belongs to one team, and every team has at least one service, even if
// s.Services is less than s.Teams.
func (s Size) teams() []toucansettings.Team {
	teams := make([]toucansettings.Team, s.Teams)
	for i := range teams {
		teams[i].Name = fmt.Sprintf("team%d", i)
	}
	for i := range max(s.Services, s.Teams) {
		team := &teams[i%s.Teams]
		team.Services = append(team.Services, service(team.Name, fmt.Sprintf("service%d", i)))
	}
	for i := range s.Workspaces {
		team := &teams[i%s.Teams]
		team.Workspaces = append(team.Workspaces, workspace(team, i))
	}
	for i := range s.Endpoints {
		team := &teams[i%s.Teams]
		team.Endpoints = append(team.Endpoints, endpoint(team, i, i/s.Teams))
	}
	return teams
}

func service(team, name string) toucansettings.Service {
	return toucansettings.Service{
		Name:       name,
		Team:       team,
		Kind:       toucansettings.KindGeneration,
		Model:      name,
		Weigh:      toucansettings.PrioritizeStallTime,
		Policy:     toucansettings.PolicyToucan,
		FirstToken: firstToken,
		InterToken: interToken,
	}
}

func workspace(team *toucansettings.Team, i int) toucansettings.Workspace {
	name := fmt.Sprintf("workspace%d", i)
	return toucansettings.Workspace{
		Name:               name,
		Team:               team.Name,
		KeyHashes:          []string{toucansettings.HashKey(name), toucansettings.HashKey(name + "b")},
		Weight:             1,
		Services:           []string{team.Services[0].Name},
		ConcurrentRequests: 100,
		TokensPerMinute:    100000,
	}
}

func endpoint(team *toucansettings.Team, i, indexInTeam int) toucansettings.Endpoint {
	return toucansettings.Endpoint{
		Name:          fmt.Sprintf("endpoint%d", i),
		Team:          team.Name,
		Service:       team.Services[indexInTeam%len(team.Services)].Name,
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), innerPort),
		FailureDomain: fmt.Sprintf("domain%d", i%11),
	}
}

// Documents returns the teams' documents at revision 1.
func (s Size) Documents() ([]toucanrevision.Document, error) {
	var out []toucanrevision.Document
	for _, team := range s.teams() {
		body, err := toucansettings.EncodeTeam(team)
		if err != nil {
			return nil, err
		}
		path := toucansettings.TeamPath(team.Name)
		declared, err := toucanrevision.ParseDeclaration(team.Name, path, body)
		if err != nil {
			return nil, err
		}
		edits, err := toucanrevision.Diff(toucanrevision.NewDocument(path), declared)
		if err != nil {
			return nil, err
		}
		d, err := toucanrevision.NewDocument(path).WithChange(toucanrevision.Change{ID: "first", Author: "operator"}, edits)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}
