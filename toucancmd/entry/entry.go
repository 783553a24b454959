// Package entry implements the entry command, which runs one entry.
package entry

import (
	"context"
	"log/slog"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucanconfig"
	"toucanport/toucaninstance"
	"toucanport/toucanio"
	"toucanport/toucanprocess"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO   *toucanio.Streams
	File string
}

// NewCmdEntry returns the entry command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdEntry(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "entry",
		Short: "run one entry, which serves callers and operators and routes requests to endpoints",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.File, "FILE", 1, true, "the entry's settings in TOML; see docs/OPERATING.md")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport check --kind entry entry.toml
				  toucanport entry entry.toml
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return entryRun(opts)
		},
	}
}

func entryRun(opts *Options) error {
	reloads := toucanprocess.CatchReloads()
	defer reloads.Stop()
	cfg, err := toucanconfig.LoadEntry(opts.File)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(opts.IO.Err, nil)).With("instance", cfg.Instance, "failureDomain", cfg.FailureDomain)
	reloads.Handle(log, func() error {
		_, err := toucanconfig.LoadEntry(opts.File)
		return err
	})
	return toucanprocess.Run(log, cfg.Bounds.StopGrace, func(ctx context.Context) (toucanprocess.Stopper, error) {
		return toucaninstance.StartEntry(ctx, cfg, log)
	})
}
