// Package factory holds what commands depend on, built when first needed, and the shape of a command.
package factory

import (
	"os"

	"toucanport/toucanio"
)

// Factory gives commands their dependencies. Tests replace the fields.
type Factory struct {
	IO *toucanio.Streams
	// Getenv reads the environment.
	Getenv func(string) string
	// Version is printed by the version command.
	Version string
}

// New returns a factory for the process.
func New(version string) *Factory {
	return &Factory{
		IO:      toucanio.System(),
		Getenv:  os.Getenv,
		Version: version,
	}
}
