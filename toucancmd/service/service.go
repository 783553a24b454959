// Package service implements the service command group.
package service

import (
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/service/list"
)

// NewCmdService returns the service command group.
func NewCmdService(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "service",
		Short: "list services",
		Commands: []*factory.Command{
			list.NewCmdList(f, nil),
		},
	}
}
