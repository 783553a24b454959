// Package toucandeploy parses deployment files, which define the services of a team with their numbers of
// endpoints, its failure domains and its workspaces. The dev command starts fake endpoints from them.
package toucandeploy

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucandocument"
	"toucanport/toucansettings"
)

// Allowed ranges of the numbers in a deployment file.
const (
	maxEndpoints = 64
	maxWeight    = 1000
	minWeight    = 0.001
)

// Latency targets of every service of a deployment.
const (
	firstToken = 1200 * time.Millisecond
	interToken = 68 * time.Millisecond
)

// Service defines one service of a deployment and its number of endpoints.
type Service struct {
	Name      string
	Kind      toucansettings.Kind
	Endpoints int
	// Weigh is the latency measure that the service gives priority to.
	Weigh toucansettings.LatencyPriority
}

// Workspace is one workspace of a deployment. It can call every service.
type Workspace struct {
	Name string
	// Weight is the workspace's weight in fair sharing and its relative share of the generated traffic.
	Weight float64
}

// Deployment defines the services and workspaces of one team.
type Deployment struct {
	Team string
	// FailureDomains is never empty. Endpoints are assigned to the domains round-robin.
	FailureDomains []string
	Services       []Service
	Workspaces     []Workspace
}

// Load reads and validates a deployment file.
func Load(file string) (Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Deployment{}, errors.Wrap(err, "reading the deployment file")
	}
	return Parse(file, data)
}

// Parse parses and validates the content of a deployment file. Errors contain the name file.
func Parse(file string, data []byte) (Deployment, error) {
	t, problems := toucandocument.Parse(file, data)
	if err := problems.Err(); err != nil {
		return Deployment{}, err
	}
	d := Deployment{Team: t.Name("team"), FailureDomains: t.Strings("failureDomains")}
	if len(d.FailureDomains) == 0 {
		t.AddProblem("failureDomains", d.FailureDomains, "at least one failure domain")
	}
	for _, n := range t.Group("services") {
		d.Services = append(d.Services, readService(n))
	}
	if w := t.Table("workspaces"); w != nil {
		d.Workspaces = readWorkspaces(w)
	}
	t.ReportUnknownKeys()
	return d, problems.Err()
}

func readService(n toucandocument.Named) Service {
	t := n.Table
	defer t.ReportUnknownKeys()
	plain, generation := string(toucansettings.KindPlain), string(toucansettings.KindGeneration)
	latency, stall := string(toucansettings.PrioritizeInterTokenLatency), string(toucansettings.PrioritizeStallTime)
	return Service{
		Name:      n.Name,
		Kind:      toucansettings.Kind(t.OneOf("kind", generation, generation, plain)),
		Endpoints: t.Int("endpoints", 1, 1, maxEndpoints),
		Weigh:     toucansettings.LatencyPriority(t.OneOf("weigh", latency, latency, stall)),
	}
}

func readWorkspaces(t *toucandocument.Table) []Workspace {
	defer t.ReportUnknownKeys()
	var ws []Workspace
	for _, name := range t.Keys() {
		ws = append(ws, Workspace{Name: name, Weight: t.Float(name, 1, minWeight, maxWeight)})
	}
	return ws
}

// EndpointAddress returns the address of the endpoint with the given index, from 0, of a service.
type EndpointAddress func(service Service, index int) netip.AddrPort

// Settings returns the team's settings. Endpoint addresses come from address and workspace keys from DeriveKey.
func (d Deployment) Settings(policy toucansettings.Policy, seed uint64, address EndpointAddress) toucansettings.Team {
	team := toucansettings.Team{Name: d.Team, Revision: 1}
	var names []string
	for _, s := range d.Services {
		names = append(names, s.Name)
		team.Services = append(team.Services, d.service(s, policy))
		team.Endpoints = append(team.Endpoints, d.endpoints(s, address)...)
	}
	for _, w := range d.Workspaces {
		team.Workspaces = append(team.Workspaces, toucansettings.Workspace{
			Name:      w.Name,
			Team:      d.Team,
			KeyHashes: []string{toucansettings.HashKey(DeriveKey(seed, d.Team, w.Name))},
			Weight:    w.Weight,
			Services:  names,
		})
	}
	return team
}

func (d Deployment) service(s Service, policy toucansettings.Policy) toucansettings.Service {
	out := toucansettings.Service{
		Name:       s.Name,
		Team:       d.Team,
		Kind:       s.Kind,
		Weigh:      s.Weigh,
		Policy:     policy,
		FirstToken: firstToken,
		InterToken: interToken,
	}
	if s.Kind == toucansettings.KindGeneration {
		out.Model = s.Name
	}
	return out
}

func (d Deployment) endpoints(s Service, address EndpointAddress) []toucansettings.Endpoint {
	var es []toucansettings.Endpoint
	for i := range s.Endpoints {
		es = append(es, toucansettings.Endpoint{
			Name:          fmt.Sprintf("%s%d", s.Name, i+1),
			Team:          d.Team,
			Service:       s.Name,
			Address:       address(s, i),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		})
	}
	return es
}

// DeriveKey returns the key of a workspace in a deployment of fakes. The other credentials of the dev command are
// derived in the same way. The result depends only on the arguments, so it is not secret.
func DeriveKey(seed uint64, team, workspace string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%s", seed, team, workspace))
	return "tk-" + base64.RawURLEncoding.EncodeToString(sum[:])
}
