// Package list implements the endpoint list command.
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
		Short:  "list endpoints",
		Header: []string{"TEAM", "ENDPOINT", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "STATE"},
		Items:  newItems,
		Row:    item.row,
	}, runF)
}

// item is one endpoint in the output, as a table row or with --json as a JSON object.
type item struct {
	Team          string `json:"team"`
	Endpoint      string `json:"endpoint"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Draining      bool   `json:"draining"`
}

func (i item) row() []any {
	return []any{i.Team, i.Endpoint, i.Service, i.Address, i.FailureDomain, i.state()}
}

func (i item) state() string {
	if i.Draining {
		return "draining"
	}
	return "serving"
}

func newItems(team toucansettings.Team) []item {
	var out []item
	for _, e := range team.Endpoints {
		out = append(out, item{
			Team:          team.Name,
			Endpoint:      e.Name,
			Service:       e.Service,
			Address:       e.Address.String(),
			FailureDomain: e.FailureDomain,
			Draining:      e.Draining,
		})
	}
	return out
}
