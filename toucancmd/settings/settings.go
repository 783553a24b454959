// Package settings implements the settings command group.
package settings

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/settings/apply"
	"toucanport/toucancmd/settings/diff"
	"toucanport/toucancmd/settings/get"
	"toucanport/toucancmd/settings/history"
	"toucanport/toucancmd/settings/list"
	"toucanport/toucancmd/settings/set"
	"toucanport/toucancmd/settings/status"
	"toucanport/toucancmd/settings/unset"
)

// NewCmdSettings returns the settings command group.
func NewCmdSettings(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "settings",
		Short: "read and change the settings tree",
		Commands: []*factory.Command{
			list.NewCmdList(f, nil),
			get.NewCmdGet(f, nil),
			set.NewCmdSet(f, nil),
			unset.NewCmdUnset(f, nil),
			diff.NewCmdDiff(f, nil),
			apply.NewCmdApply(f, nil),
			history.NewCmdHistory(f, nil),
			status.NewCmdStatus(f, nil),
		},
	}
}
