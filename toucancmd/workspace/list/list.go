// Package list is the command that lists workspaces.
package list

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/teamview"
	"toucanport/toucanio"
	"toucanport/toucansettings"
)

// Options are the command's inputs.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	JSON   bool
}

// NewCmdList returns the command. Tests pass runF to see the options instead of running it.
func NewCmdList(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "list",
		Short: "list workspaces",
		Bind: func(p *flaggy.Parser) {
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return listRun(context.Background(), opts)
		},
	}
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

func listRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	teams, err := teamview.Teams(ctx, client)
	if err != nil {
		return err
	}
	items := []item{}
	for _, team := range teams {
		items = append(items, itemsOf(team)...)
	}
	if opts.JSON {
		return render.JSON(opts.IO, items)
	}
	table := render.NewTable(opts.IO, "TEAM", "WORKSPACE", "KEYS", "WEIGHT", "CONCURRENT", "TOKENS/MIN", "SERVICES")
	for _, i := range items {
		table.Row(i.Team, i.Workspace, i.Keys, i.Weight, i.ConcurrentRequests, i.TokensPerMinute, strings.Join(i.Services, ","))
	}
	return table.Print()
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
