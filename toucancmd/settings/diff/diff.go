// Package diff is the command that compares declarations with what is stored.
package diff

import (
	"context"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/declaration"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/submit"
	"toucanport/toucanio"
)

// Options are the command's inputs.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	// Dir holds one TOML file for each team, and operators.toml.
	Dir  string
	JSON bool
}

// NewCmdDiff returns the command. Tests pass runF to see the options instead of running it.
func NewCmdDiff(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (submit.Client, error) { return f.Client(t) }, Dir: "."}
	return &factory.Command{
		Name:  "diff",
		Short: "show what apply would change",
		Bind: func(p *flaggy.Parser) {
			p.String(&opts.Dir, "f", "file", "the directory of declarations")
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return diffRun(context.Background(), opts)
		},
	}
}

func diffRun(ctx context.Context, opts *Options) error {
	declared, err := declaration.Load(opts.Dir)
	if err != nil {
		return err
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	plans, err := declaration.Make(ctx, client, declared)
	if err != nil {
		return err
	}
	if opts.JSON {
		return render.JSON(opts.IO, plans)
	}
	declaration.Print(opts.IO, plans)
	return nil
}
