// Package drain implements the endpoint drain command, which marks an endpoint as draining: it gets no new work
// and finishes its work in progress.
package drain

import (
	"toucanport/toucancmd/endpoint/draining"
	"toucanport/toucancmd/factory"
)

// NewCmdDrain returns the drain command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdDrain(f *factory.Factory, runF func(*draining.Options) error) *factory.Command {
	return draining.NewCmd(f, draining.Variant{Name: "drain", Short: "stop sending new work to an endpoint; its work in progress finishes", Draining: true}, runF)
}
