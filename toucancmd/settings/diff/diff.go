// Package diff implements the settings diff command, which compares declarations with the stored settings.
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

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	// Dir contains operators.toml and one TOML file per team.
	Dir  string
	JSON bool
}

// NewCmdDiff returns the diff command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdDiff(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (submit.Client, error) { return f.Client(t) }, Dir: "."}
	return &factory.Command{
		Name:  "diff",
		Short: "show the changes that apply would make",
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
	plans, err := declaration.MakePlans(ctx, client, declared)
	if err != nil {
		return err
	}
	if opts.JSON {
		return render.JSON(opts.IO, plans)
	}
	declaration.Print(opts.IO, plans)
	return nil
}
