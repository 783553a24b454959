// Package list implements the service list command.
package list

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/teamlist"
	"toucanport/toucansettings"
)

// NewCmdList returns the list command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdList(f *factory.Factory, runF func(*teamlist.Options) error) *factory.Command {
	return teamlist.NewCmdList(f, teamlist.List[item]{
		Short:  "list services",
		Header: []string{"TEAM", "SERVICE", "KIND", "MODEL", "POLICY", "WEIGH", "FIRST TOKEN", "INTER TOKEN", "ENDPOINTS"},
		Items:  newItems,
		Row:    item.row,
	}, runF)
}

// item is one service in the output, as a table row or with --json as a JSON object.
type item struct {
	Team       string `json:"team"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	Model      string `json:"model,omitempty"`
	Policy     string `json:"policy"`
	Weigh      string `json:"weigh"`
	FirstToken string `json:"firstToken"`
	InterToken string `json:"interToken"`
	// Endpoints is the number of endpoints that are not draining.
	Endpoints int `json:"endpoints"`
	Draining  int `json:"draining"`
}

func (i item) row() []any {
	return []any{i.Team, i.Service, i.Kind, i.Model, i.Policy, i.Weigh, i.FirstToken, i.InterToken, i.Endpoints}
}

func newItems(team toucansettings.Team) []item {
	var out []item
	for _, s := range team.Services {
		i := item{
			Team:       team.Name,
			Service:    s.Name,
			Kind:       string(s.Kind),
			Model:      s.Model,
			Policy:     string(s.Policy),
			Weigh:      string(s.Weigh),
			FirstToken: s.FirstToken.String(),
			InterToken: s.InterToken.String(),
		}
		i.Endpoints, i.Draining = countEndpoints(team, s.Name)
		out = append(out, i)
	}
	return out
}

func countEndpoints(team toucansettings.Team, service string) (serving, draining int) {
	for _, e := range team.Endpoints {
		switch {
		case e.Service != service:
		case e.Draining:
			draining++
		default:
			serving++
		}
	}
	return serving, draining
}
