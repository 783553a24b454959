// Package endpoint implements the endpoint command group.
package endpoint

import (
	"toucanport/toucancmd/endpoint/drain"
	"toucanport/toucancmd/endpoint/list"
	"toucanport/toucancmd/endpoint/resume"
	"toucanport/toucancmd/factory"
)

// NewCmdEndpoint returns the endpoint command group.
func NewCmdEndpoint(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "endpoint",
		Short: "list, drain and resume endpoints",
		Commands: []*factory.Command{
			drain.NewCmdDrain(f, nil),
			list.NewCmdList(f, nil),
			resume.NewCmdResume(f, nil),
		},
	}
}
