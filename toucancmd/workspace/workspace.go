// Package workspace implements the workspace command group.
package workspace

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/workspace/createkey"
	"toucanport/toucancmd/workspace/list"
	"toucanport/toucancmd/workspace/revokekey"
)

// NewCmdWorkspace returns the workspace command group.
func NewCmdWorkspace(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "workspace",
		Short: "list workspaces, create and revoke their keys",
		Commands: []*factory.Command{
			createkey.NewCmdCreateKey(f, nil),
			list.NewCmdList(f, nil),
			revokekey.NewCmdRevokeKey(f, nil),
		},
	}
}
