// Package list is the command that lists endpoints.
package list

import (
	"context"

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
		Short: "list endpoints",
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
	Team          string `json:"team"`
	Endpoint      string `json:"endpoint"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Draining      bool   `json:"draining"`
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
	table := render.NewTable(opts.IO, "TEAM", "ENDPOINT", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "STATE")
	for _, i := range items {
		table.Row(i.Team, i.Endpoint, i.Service, i.Address, i.FailureDomain, i.state())
	}
	return table.Print()
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
