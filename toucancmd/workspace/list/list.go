// Package list is the command that lists workspaces.
package list

import (
	"strings"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/teamlist"
	"toucanport/toucansettings"
)

// NewCmdList returns the command. Tests pass runF to see the options instead of running it.
func NewCmdList(f *factory.Factory, runF func(*teamlist.Options) error) *factory.Command {
	return teamlist.NewCmdList(f, teamlist.List[item]{
		Short:  "list workspaces",
		Header: []string{"TEAM", "WORKSPACE", "KEYS", "WEIGHT", "CONCURRENT", "TOKENS/MIN", "SERVICES"},
		Items:  itemsOf,
		Row:    item.row,
	}, runF)
}

// item is one line of the list.
type item struct {
	Team               string   `json:"team"`
	Workspace          string   `json:"workspace"`
	Keys               int      `json:"keys"`
	Weight             float64  `json:"weight"`
	ConcurrentRequests int      `json:"concurrentRequests"`
	TokensPerMinute    int      `json:"tokensPerMinute"`
	Services           []string `json:"services"`
}

func (i item) row() []any {
	return []any{i.Team, i.Workspace, i.Keys, i.Weight, i.ConcurrentRequests, i.TokensPerMinute, strings.Join(i.Services, ",")}
}

func itemsOf(team toucansettings.Team) []item {
	var out []item
	for _, w := range team.Workspaces {
		out = append(out, item{
			Team:               team.Name,
			Workspace:          w.Name,
			Keys:               len(w.KeyHashes),
			Weight:             w.Weight,
			ConcurrentRequests: w.ConcurrentRequests,
			TokensPerMinute:    w.TokensPerMinute,
			Services:           w.Services,
		})
	}
	return out
}
