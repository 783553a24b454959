// Package teamlist is what the commands have in common that list what every team has.
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

// Options are the inputs of a list command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	JSON   bool
}

// List says what a list command shows. T is one item, which is shown as JSON by its tags.
type List[T any] struct {
	// Short is the command's help in a line.
	Short string
	// Header names the columns that Row fills.
	Header []string
	Items  func(toucansettings.Team) []T
	Row    func(T) []any
}

// NewCmdList returns the command. Tests pass runF to see the options instead of running it.
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
