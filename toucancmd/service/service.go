// Package service is the group of commands on services.
package service

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/service/list"
)

// NewCmdService returns the group.
func NewCmdService(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "service",
		Short: "work with services",
		Commands: []*factory.Command{
			list.NewCmdList(f, nil),
		},
	}
}
