// Package list is the command that lists endpoints.
package list

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/teamlist"
	"toucanport/toucansettings"
)

// NewCmdList returns the command. Tests pass runF to see the options instead of running it.
func NewCmdList(f *factory.Factory, runF func(*teamlist.Options) error) *factory.Command {
	return teamlist.NewCmdList(f, teamlist.List[item]{
		Short:  "list endpoints",
		Header: []string{"TEAM", "ENDPOINT", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "STATE"},
		Items:  itemsOf,
		Row:    item.row,
	}, runF)
}

// item is one line of the list.
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

func itemsOf(team toucansettings.Team) []item {
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
