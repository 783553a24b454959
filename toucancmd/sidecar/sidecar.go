// Package sidecar implements the sidecar command, which runs one sidecar.
package sidecar

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

// NewCmdSidecar returns the sidecar command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdSidecar(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "sidecar",
		Short: "run the sidecar of one endpoint",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.File, "FILE", 1, true, "the sidecar's settings in TOML; see docs/OPERATING.md")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport check --kind sidecar sidecar.toml
				  toucanport sidecar sidecar.toml
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return sidecarRun(opts)
		},
	}
}

func sidecarRun(opts *Options) error {
	reloads := toucanprocess.CatchReloads()
	defer reloads.Stop()
	cfg, err := toucanconfig.LoadSidecar(opts.File)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(opts.IO.Err, nil)).With("instance", cfg.Instance, "failureDomain", cfg.FailureDomain)
	reloads.Handle(log, func() error {
		_, err := toucanconfig.LoadSidecar(opts.File)
		return err
	})
	return toucanprocess.Run(log, cfg.Bounds.StopGrace, func(ctx context.Context) (toucanprocess.Stopper, error) {
		return toucaninstance.StartSidecar(ctx, cfg, log)
	})
}
