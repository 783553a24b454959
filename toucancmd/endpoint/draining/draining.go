// Package draining implements the commands endpoint drain and endpoint resume, which set and clear the draining
// mark of an endpoint.
package draining

import (
	"context"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/submit"
	"toucanport/toucancmd/teamview"
	"toucanport/toucanio"
	"toucanport/toucansettings"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	// Endpoint is NAME or TEAM/NAME.
	Endpoint string
	ChangeID string
	JSON     bool
}

// Variant defines how drain and resume differ.
type Variant struct {
	Name  string
	Short string
	// Draining is the value that the command writes to the endpoint's draining key.
	Draining bool
}

// NewCmd returns the command that variant defines. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmd(f *factory.Factory, variant Variant, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  variant.Name,
		Short: variant.Short,
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Endpoint, "ENDPOINT", 1, true, "NAME, or TEAM/NAME when several teams have it")
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id; repeat a command with the same id to apply it only once (a new id when empty)")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return setDrainingRun(context.Background(), opts, variant.Draining)
		},
	}
}

// keys holds the keys that the commands write to the endpoint's table.
type keys struct {
	Draining bool `toml:"draining"`
}

func setDrainingRun(ctx context.Context, opts *Options, draining bool) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	path, d, err := teamview.Find(ctx, client, toucansettings.GroupEndpoints, opts.Endpoint)
	if err != nil {
		return err
	}
	accepted, err := teamview.Merge(ctx, client, opts.ChangeID, path, d, keys{Draining: draining})
	if err != nil {
		return err
	}
	return submit.PrintAccepted(opts.IO, opts.JSON, accepted)
}
