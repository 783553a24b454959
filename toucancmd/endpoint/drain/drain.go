// Package drain is the command that gives an endpoint no new work; its work in progress finishes.
package drain

import (
	"toucanport/toucancmd/endpoint/draining"
	"toucanport/toucancmd/factory"
)

// NewCmdDrain returns the command. Tests pass runF to see the options instead of running it.
func NewCmdDrain(f *factory.Factory, runF func(*draining.Options) error) *factory.Command {
	return draining.NewCmd(f, draining.Verb{Name: "drain", Short: "gives an endpoint no new work; its work in progress finishes", Draining: true}, runF)
}
