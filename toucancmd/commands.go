package toucancmd

import (
	"toucanport/toucancmd/check"
	"toucanport/toucancmd/dev"
	"toucanport/toucancmd/endpoint"
	"toucanport/toucancmd/entry"
	"toucanport/toucancmd/explain"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/failures"
	"toucanport/toucancmd/load"
	"toucanport/toucancmd/platform"
	"toucanport/toucancmd/preview"
	"toucanport/toucancmd/service"
	"toucanport/toucancmd/settings"
	"toucanport/toucancmd/sidecar"
	"toucanport/toucancmd/status"
	"toucanport/toucancmd/version"
	"toucanport/toucancmd/workspace"
)

// newRoot returns the root command with all top-level commands. Register new commands here.
func newRoot(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "toucanport",
		Short: "a serving system for generations of unknown length",
		Commands: []*factory.Command{
			check.NewCmdCheck(f, nil),
			dev.NewCmdDev(f, nil),
			endpoint.NewCmdEndpoint(f),
			entry.NewCmdEntry(f, nil),
			explain.NewCmdExplain(f, nil),
			failures.NewCmdFailures(f, nil),
			load.NewCmdLoad(f, nil),
			platform.NewCmdPlatform(f, nil),
			preview.NewCmdPreview(f, nil),
			service.NewCmdService(f),
			settings.NewCmdSettings(f),
			sidecar.NewCmdSidecar(f, nil),
			status.NewCmdStatus(f, nil),
			version.NewCmdVersion(f, nil),
			workspace.NewCmdWorkspace(f),
		},
	}
}
