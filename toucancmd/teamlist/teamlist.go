// Package teamlist implements the list commands for workspaces, endpoints and services, which list the items of
// every team.
package teamlist

import (
	"context"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/teamview"
	"toucanport/toucanio"
	"toucanport/toucansettings"
)

// Options holds the parsed flags and the dependencies of a list command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	JSON   bool
}

// List defines the output of a list command. T is the type of an item; --json encodes it by its JSON tags.
type List[T any] struct {
	// Short is the command's one-line description.
	Short string
	// Header contains the names of the columns that Row returns.
	Header []string
	Items  func(toucansettings.Team) []T
	Row    func(T) []any
}

// NewCmdList returns the list command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdList[T any](f *factory.Factory, list List[T], runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "list",
		Short: list.Short,
		Bind: func(p *flaggy.Parser) {
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return list.run(context.Background(), opts)
		},
	}
}

func (l List[T]) run(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	teams, err := teamview.Teams(ctx, client)
	if err != nil {
		return err
	}
	items := []T{}
	for _, team := range teams {
		items = append(items, l.Items(team)...)
	}
	if opts.JSON {
		return render.JSON(opts.IO, items)
	}
	table := render.NewTable(opts.IO, l.Header...)
	for _, i := range items {
		table.Row(l.Row(i)...)
	}
	return table.Print()
}
