// Package list is the command that lists services.
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
		Short: "list services",
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
	Team       string `json:"team"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	Model      string `json:"model,omitempty"`
	Policy     string `json:"policy"`
	Weigh      string `json:"weigh"`
	FirstToken string `json:"firstToken"`
	InterToken string `json:"interToken"`
	// Endpoints counts those that are not draining.
	Endpoints int `json:"endpoints"`
	Draining  int `json:"draining"`
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
	table := render.NewTable(opts.IO, "TEAM", "SERVICE", "KIND", "MODEL", "POLICY", "WEIGH", "FIRST TOKEN", "INTER TOKEN", "ENDPOINTS")
	for _, i := range items {
		table.Row(i.Team, i.Service, i.Kind, i.Model, i.Policy, i.Weigh, i.FirstToken, i.InterToken, i.Endpoints)
	}
	return table.Print()
}

func itemsOf(team toucansettings.Team) []item {
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
