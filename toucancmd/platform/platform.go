// Package platform is the command that runs one entry on the users' platform.
package platform

import (
	"context"
	"log/slog"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	toucanplatform "toucanport/platform"
	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
	"toucanport/toucanlog"
	"toucanport/toucanprocess"
)

// Options are the command's inputs.
type Options struct {
	IO *toucanio.Streams
	// File is the path of the settings file.
	File    string
	Version string
}

// NewCmdPlatform returns the command. Tests pass runF to see the options instead of running it.
func NewCmdPlatform(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Version: f.Version}
	return &factory.Command{
		Name:  "platform",
		Short: "run one entry on the users' platform, by the platform's settings file",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.File, "FILE", 1, false, "the settings file; "+toucanplatform.EnvSettings+" by default")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport platform /etc/toucanport/local.json
				  TOUCANPORT_SETTINGS=local.json toucanport platform
			`)
		},
		Run: func() error {
			if opts.File == "" {
				opts.File = f.Getenv(toucanplatform.EnvSettings)
			}
			if opts.File == "" {
				return errors.Wrapf(factory.ErrUsage, "name the settings file, or set %s to its path", toucanplatform.EnvSettings)
			}
			if runF != nil {
				return runF(opts)
			}
			return platformRun(opts)
		},
	}
}

func platformRun(opts *Options) error {
	cfg, err := toucanplatform.LoadSettings(opts.File)
	if err != nil {
		return err
	}
	ring := toucanlog.NewRing(opts.IO.Out)
	defer func() { _ = ring.Close() }()
	repeats := toucanlog.NewRepeatLimiter(slog.NewJSONHandler(ring, nil))
	defer repeats.Close()
	log := slog.New(repeats).With(toucanlog.Instance, cfg.Instance)
	log.Info(toucanlog.MsgStarted,
		toucanlog.Version, opts.Version,
		toucanlog.FailureDomain, cfg.FailureDomain,
		toucanlog.Callers, cfg.CallerAddress,
		toucanlog.Store, cfg.StoreAddress,
		toucanlog.MemoryBytes, cfg.MemoryBytes,
		toucanlog.StopGraceMs, cfg.StopGrace.Milliseconds(),
	)
	stopReload := toucanprocess.OnReload(func() { reload(opts.File, log) })
	defer stopReload()
	err = toucanprocess.Run(log, cfg.StopTime(), func(ctx context.Context) (toucanprocess.Stopper, error) {
		return toucanplatform.StartEntry(ctx, cfg, log, toucanplatform.WithDroppedLines(ring.Dropped))
	})
	log.Info(toucanlog.MsgStopped,
		toucanlog.Cause, errorText(err),
		toucanlog.LinesDropped, ring.Dropped(),
	)
	return err
}

// reload checks the settings file again. What is in force stays, since addresses can't change while requests are in
// progress; a process that starts anew takes the file as it is then.
func reload(file string, log *slog.Logger) {
	if _, err := toucanplatform.LoadSettings(file); err != nil {
		log.Error(toucanlog.MsgNotReloaded, toucanlog.Cause, err.Error())
		return
	}
	log.Info(toucanlog.MsgReloaded)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
