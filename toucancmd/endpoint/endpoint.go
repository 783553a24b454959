// Package endpoint is the group of commands on endpoints.
package endpoint

import (
	"toucanport/toucancmd/endpoint/drain"
	"toucanport/toucancmd/endpoint/list"
	"toucanport/toucancmd/endpoint/resume"
	"toucanport/toucancmd/factory"
)

// NewCmdEndpoint returns the group.
func NewCmdEndpoint(f *factory.Factory) *factory.Command {
	return &factory.Command{
		Name:  "endpoint",
		Short: "work with endpoints",
		Commands: []*factory.Command{
			drain.NewCmdDrain(f, nil),
			list.NewCmdList(f, nil),
			resume.NewCmdResume(f, nil),
		},
	}
}
