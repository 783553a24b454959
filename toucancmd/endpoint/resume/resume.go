// Package resume implements the endpoint resume command, which clears an endpoint's draining mark so that it gets
// new work again.
package resume

import (
	"toucanport/toucancmd/endpoint/draining"
	"toucanport/toucancmd/factory"
)

// NewCmdResume returns the resume command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdResume(f *factory.Factory, runF func(*draining.Options) error) *factory.Command {
	return draining.NewCmd(f, draining.Variant{Name: "resume", Short: "send new work to a draining endpoint again"}, runF)
}
