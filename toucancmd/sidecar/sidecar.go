// Package sidecar implements the sidecar command, which runs one sidecar.
package sidecar

import (
	"context"
	"log/slog"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/process"
	"toucanport/toucanconfig"
	"toucanport/toucaninstance"
	"toucanport/toucanprocess"
)

// NewCmdSidecar returns the sidecar command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdSidecar(f *factory.Factory, runF func(*process.Options) error) *factory.Command {
	return process.NewCmd(f, process.Kind[toucanconfig.SidecarConfig]{
		Name:     "sidecar",
		Short:    "run the sidecar of one endpoint",
		Load:     toucanconfig.LoadSidecar,
		Identity: identity,
		Start: func(ctx context.Context, cfg toucanconfig.SidecarConfig, log *slog.Logger) (toucanprocess.Stopper, error) {
			return toucaninstance.StartSidecar(ctx, cfg, log)
		},
	}, runF)
}

func identity(cfg toucanconfig.SidecarConfig) process.Identity {
	return process.Identity{Instance: cfg.Instance, FailureDomain: cfg.FailureDomain, StopGrace: cfg.Bounds.StopGrace}
}
