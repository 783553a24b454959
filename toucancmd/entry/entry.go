// Package entry implements the entry command, which runs one entry.
package entry

import (
	"context"
	"log/slog"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/process"
	"toucanport/toucanconfig"
	"toucanport/toucaninstance"
	"toucanport/toucanprocess"
)

// NewCmdEntry returns the entry command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdEntry(f *factory.Factory, runF func(*process.Options) error) *factory.Command {
	return process.NewCmd(f, process.Kind[toucanconfig.EntryConfig]{
		Name:     "entry",
		Short:    "run one entry, which serves callers and operators and routes requests to endpoints",
		Load:     toucanconfig.LoadEntry,
		Identity: identity,
		Start: func(ctx context.Context, cfg toucanconfig.EntryConfig, log *slog.Logger) (toucanprocess.Stopper, error) {
			return toucaninstance.StartEntry(ctx, cfg, log)
		},
	}, runF)
}

func identity(cfg toucanconfig.EntryConfig) process.Identity {
	return process.Identity{Instance: cfg.Instance, FailureDomain: cfg.FailureDomain, StopGrace: cfg.Bounds.StopGrace}
}
