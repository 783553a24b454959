// Package process implements what the commands entry and sidecar have in common: each of them runs one process of an instance.
package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
	"toucanport/toucanprocess"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO   *toucanio.Streams
	File string
}

// Identity is what the settings of every kind of process say about the process itself.
type Identity struct {
	Instance      string
	FailureDomain string
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace time.Duration
}

// Kind is a kind of process, whose settings have the type C.
type Kind[C any] struct {
	// Name is the name of the command.
	Name string
	// Short describes the command in one line.
	Short string
	// Load reads and validates a settings file.
	Load     func(file string) (C, error)
	Identity func(cfg C) Identity
	Start    func(ctx context.Context, cfg C, log *slog.Logger) (toucanprocess.Stopper, error)
}

// NewCmd returns the command that runs a process. If runF is not nil, it replaces the command's implementation and receives
// the parsed options; tests use it.
func NewCmd[C any](f *factory.Factory, kind Kind[C], runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  kind.Name,
		Short: kind.Short,
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.File, "FILE", 1, true, "the "+kind.Name+"'s settings in TOML; see docs/OPERATING.md")
			p.AdditionalHelpAppend = heredoc.Docf(`
				Examples:
				  toucanport check --kind %[1]s %[1]s.toml
				  toucanport %[1]s %[1]s.toml
			`, kind.Name)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return processRun(opts, kind)
		},
	}
}

func processRun[C any](opts *Options, kind Kind[C]) error {
	reloads := toucanprocess.CatchReloads()
	defer reloads.Stop()
	cfg, err := kind.Load(opts.File)
	if err != nil {
		return err
	}
	id := kind.Identity(cfg)
	log := slog.New(slog.NewJSONHandler(opts.IO.Err, nil)).With("instance", id.Instance, "failureDomain", id.FailureDomain)
	reloads.Handle(log, func() error {
		_, err := kind.Load(opts.File)
		return err
	})
	return toucanprocess.Run(log, id.StopGrace, func(ctx context.Context) (toucanprocess.Stopper, error) {
		return kind.Start(ctx, cfg, log)
	})
}
