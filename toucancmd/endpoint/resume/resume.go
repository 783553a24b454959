// Package resume is the command that gives a draining endpoint work again.
package resume

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

// NewCmdResume returns the command. Tests pass runF to see the options instead of running it.
func NewCmdResume(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "resume",
		Short: "gives a draining endpoint work again",
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
			return resumeRun(context.Background(), opts)
		},
	}
}

// keys are what the command sets.
type keys struct {
	Draining bool `toml:"draining"`
}

func resumeRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	path, d, err := teamview.Find(ctx, client, toucansettings.GroupEndpoints, opts.Endpoint)
	if err != nil {
		return err
	}
	accepted, err := teamview.Merge(ctx, client, opts.ChangeID, path, d, keys{Draining: false})
	if err != nil {
		return err
	}
	return submit.Told(opts.IO, opts.JSON, accepted)
}
