// Package resume is the command that gives a draining endpoint work again.
package resume

import (
	"toucanport/toucancmd/endpoint/draining"
	"toucanport/toucancmd/factory"
)

// NewCmdResume returns the command. Tests pass runF to see the options instead of running it.
func NewCmdResume(f *factory.Factory, runF func(*draining.Options) error) *factory.Command {
	return draining.NewCmd(f, draining.Verb{Name: "resume", Short: "gives a draining endpoint work again"}, runF)
}
