// Package draining is what the commands drain and resume have in common: they set or clear an endpoint's mark.
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

// Options are the command's inputs.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	// Endpoint is NAME or TEAM/NAME.
	Endpoint string
	ChangeID string
	JSON     bool
}

// Verb is what tells one command from the other.
type Verb struct {
	Name  string
	Short string
	// Draining is the mark that the command leaves on the endpoint.
	Draining bool
}

// NewCmd returns the command of a verb. Tests pass runF to see the options instead of running it.
func NewCmd(f *factory.Factory, verb Verb, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  verb.Name,
		Short: verb.Short,
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Endpoint, "ENDPOINT", 1, true, "NAME, or TEAM/NAME when several teams have it")
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id, to repeat a command safely (a new one when empty)")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return markRun(context.Background(), opts, verb.Draining)
		},
	}
}

// keys are what the commands set.
type keys struct {
	Draining bool `toml:"draining"`
}

func markRun(ctx context.Context, opts *Options, draining bool) error {
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
	return submit.Told(opts.IO, opts.JSON, accepted)
}
