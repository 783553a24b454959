// Package platform implements the platform command, which runs one entry on the users' platform.
package platform

import (
	"context"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	toucanplatform "toucanport/platform"
	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
	"toucanport/toucanlog"
	"toucanport/toucanprocess"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO *toucanio.Streams
	// File is the path of the settings file.
	File    string
	Version string
}

// NewCmdPlatform returns the platform command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdPlatform(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Version: f.Version}
	return &factory.Command{
		Name:  "platform",
		Short: "run one entry on the users' platform, configured by the platform's settings file",
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
				return errors.Wrapf(factory.ErrUsage, "no settings file: pass its path as FILE or set %s", toucanplatform.EnvSettings)
			}
			if runF != nil {
				return runF(opts)
			}
			return platformRun(opts)
		},
	}
}

func platformRun(opts *Options) error {
	reloads := toucanprocess.CatchReloads()
	defer reloads.Stop()
	cfg, err := toucanplatform.LoadSettings(opts.File)
	if err != nil {
		return err
	}
	processLog := toucanlog.NewProcessLog(opts.IO.Out)
	defer processLog.Close()
	log := processLog.Logger().With(toucanlog.Instance, cfg.Instance)
	log.Info(toucanlog.MsgStarted,
		toucanlog.Version, opts.Version,
		toucanlog.FailureDomain, cfg.FailureDomain,
		toucanlog.Callers, cfg.CallerAddress,
		toucanlog.Store, cfg.StoreAddress,
		toucanlog.MemoryBytes, cfg.MemoryBytes,
		toucanlog.StopGraceMs, cfg.StopGrace.Milliseconds(),
	)
	reloads.Handle(log, func() error {
		_, err := toucanplatform.LoadSettings(opts.File)
		return err
	})
	err = toucanprocess.Run(log, cfg.StopTime(), func(ctx context.Context) (toucanprocess.Stopper, error) {
		return toucanplatform.StartEntry(ctx, cfg, log, toucanplatform.WithDroppedLines(processLog.Dropped))
	}, toucanprocess.WithStopHook(processLog.BeginStop))
	log.Info(toucanlog.MsgStopped,
		toucanlog.Cause, errorText(err),
		toucanlog.LinesDropped, processLog.Dropped(),
	)
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
