// Package workspace is the group of commands on workspaces and their keys.
package workspace

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/workspace/createkey"
	"toucanport/toucancmd/workspace/list"
	"toucanport/toucancmd/workspace/revokekey"
)

// NewCmdWorkspace returns the group.
func NewCmdWorkspace(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "workspace",
		Short: "work with workspaces and their keys",
		Commands: []*factory.Command{
			createkey.NewCmdCreateKey(f, nil),
			list.NewCmdList(f, nil),
			revokekey.NewCmdRevokeKey(f, nil),
		},
	}
}
