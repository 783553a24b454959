package toucansettings

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"

	"toucanport/toucandocument"
)

const (
	defaultFirstToken = 1200 * time.Millisecond
	defaultInterToken = 68 * time.Millisecond

	minLatencyBound = time.Millisecond
	maxLatencyBound = time.Minute

	minWeight = 0.001
	maxWeight = 1000
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ParseTeam parses one team's document: the tables services, workspaces and endpoints by name. The error is a
// toucandocument.Problems with all problems, which name file.
func ParseTeam(file, name string, data []byte) (Team, error) {
	t, problems := toucandocument.Parse(file, data)
	if err := problems.Err(); err != nil {
		return Team{}, err
	}
	team := ReadTeam(t, name)
	t.ReportUnknownKeys()
	if err := problems.Err(); err != nil {
		return Team{}, err
	}
	return team, nil
}

// ReadTeam decodes a team's tables in t and records their problems there. The caller calls t.ReportUnknownKeys
// afterwards.
func ReadTeam(t *toucandocument.Table, name string) Team {
	team := Team{Name: name}
	for _, n := range t.Group("services") {
		team.Services = append(team.Services, readService(n, name))
	}
	for _, n := range t.Group("workspaces") {
		team.Workspaces = append(team.Workspaces, readWorkspace(n, name))
	}
	for _, n := range t.Group("endpoints") {
		team.Endpoints = append(team.Endpoints, readEndpoint(n, name))
	}
	checkReferences(t, team)
	return team
}

func readService(n toucandocument.Named, team string) Service {
	t := n.Table
	defer t.ReportUnknownKeys()
	s := Service{
		Name:       n.Name,
		Team:       team,
		Kind:       Kind(t.OneOf("kind", "", string(KindGeneration), string(KindPlain))),
		Model:      t.String("model", false),
		Version:    t.String("version", false),
		Adapters:   t.Strings("adapters"),
		Weigh:      LatencyPriority(t.OneOf("weigh", string(PrioritizeStallTime), string(PrioritizeStallTime), string(PrioritizeInterTokenLatency))),
		Policy:     Policy(t.OneOf("policy", string(PolicyToucan), string(PolicyNaive), string(PolicyToucan))),
		FirstToken: t.Duration("firstToken", defaultFirstToken, minLatencyBound, maxLatencyBound),
		InterToken: t.Duration("interToken", defaultInterToken, minLatencyBound, maxLatencyBound),
	}
	if s.Kind == KindGeneration && s.Model == "" {
		t.AddProblem("model", nil, "the model's name; a generation service needs one")
	}
	if s.Kind == KindPlain && (s.Version != "" || len(s.Adapters) > 0) {
		t.AddProblem("version", s.Version, "no version and no adapters for a plain service")
	}
	if s.Kind == KindPlain && s.Model != "" {
		t.AddProblem("model", s.Model, "no model for a plain service")
	}
	return s
}

func readWorkspace(n toucandocument.Named, team string) Workspace {
	t := n.Table
	defer t.ReportUnknownKeys()
	w := Workspace{
		Name:               n.Name,
		Team:               team,
		KeyHashes:          t.Strings("keyHashes"),
		Weight:             t.Float("weight", 1, minWeight, maxWeight),
		Services:           t.Strings("services"),
		ConcurrentRequests: t.Int("concurrentRequests", 0, 0, math.MaxInt32),
		TokensPerMinute:    t.Int("tokensPerMinute", 0, 0, math.MaxInt32),
	}
	checkHashes(t, "keyHashes", w.KeyHashes)
	return w
}

func checkHashes(t *toucandocument.Table, key string, hashes []string) {
	for _, h := range hashes {
		if !hashPattern.MatchString(h) {
			t.AddProblem(key, h, "hex SHA-256 digests of 64 characters, never keys themselves")
		}
	}
}

func checkCount(t *toucandocument.Table, group string, n, bound int) {
	if n > bound {
		t.AddProblem(group, n, fmt.Sprintf("at most %d in one team, by the fleet's bounds", bound))
	}
}

func readEndpoint(n toucandocument.Named, team string) Endpoint {
	t := n.Table
	defer t.ReportUnknownKeys()
	return Endpoint{
		Name:          n.Name,
		Team:          team,
		Service:       t.String("service", true),
		Address:       t.Address("address", true),
		FailureDomain: t.Name("failureDomain"),
		ChecksFencing: t.Bool("checksFencing"),
		Role:          t.String("role", false),
		Draining:      t.Bool("draining"),
	}
}

// checkReferences records problems that involve several tables: references to services that the team does not
// have, services without an endpoint, and duplicate addresses and keys.
func checkReferences(t *toucandocument.Table, team Team) {
	names := make([]string, len(team.Services))
	for i, s := range team.Services {
		names[i] = s.Name
	}
	served := checkEndpointReferences(t, team, names)
	for _, name := range names {
		if !served[name] {
			t.AddProblem("services."+name, nil, "at least one endpoint for each service")
		}
	}
	checkWorkspaceReferences(t, team, names)
}

func checkEndpointReferences(t *toucandocument.Table, team Team, names []string) map[string]bool {
	served := make(map[string]bool, len(names))
	addresses := make(map[string]string, len(team.Endpoints))
	for _, e := range team.Endpoints {
		path := "endpoints." + e.Name
		served[e.Service] = true
		checkServiceName(t, path+".service", e.Service, names)
		address := e.Address.String()
		if other, ok := addresses[address]; ok && e.Address.IsValid() {
			t.AddProblem(path+".address", address, "an address of its own; endpoints."+other+" has this one")
		}
		addresses[address] = e.Name
	}
	return served
}

func checkWorkspaceReferences(t *toucandocument.Table, team Team, names []string) {
	owners := make(map[string]string)
	for _, w := range team.Workspaces {
		path := "workspaces." + w.Name
		if len(w.Services) == 0 {
			t.AddProblem(path+".services", nil, "the names of one or more of the team's services")
		}
		for _, s := range w.Services {
			checkServiceName(t, path+".services", s, names)
		}
		for _, h := range w.KeyHashes {
			if other, ok := owners[h]; ok {
				t.AddProblem(path+".keyHashes", h, "a key of its own; workspaces."+other+" has this one")
			}
			owners[h] = w.Name
		}
	}
}

func checkServiceName(t *toucandocument.Table, path, name string, names []string) {
	if name == "" || slices.Contains(names, name) {
		return
	}
	allowed := "the name of one of the team's services"
	if nearest := toucandocument.Nearest(name, names); nearest != "" {
		allowed += "; did you mean \"" + nearest + "\"?"
	}
	t.AddProblem(path, name, allowed)
}
