// Package list implements the workspace list command.
package list

import (
	"strings"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/teamlist"
	"toucanport/toucansettings"
)

// NewCmdList returns the list command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdList(f *factory.Factory, runF func(*teamlist.Options) error) *factory.Command {
	return teamlist.NewCmdList(f, teamlist.List[item]{
		Short:  "list workspaces",
		Header: []string{"TEAM", "WORKSPACE", "KEYS", "WEIGHT", "CONCURRENT", "TOKENS/MIN", "SERVICES"},
		Items:  newItems,
		Row:    item.row,
	}, runF)
}

// item is one workspace in the output, as a table row or with --json as a JSON object.
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

func newItems(team toucansettings.Team) []item {
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
