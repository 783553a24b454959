// Package version implements the version command.
package version

import (
	"fmt"

	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO      *toucanio.Streams
	Version string
}

// NewCmdVersion returns the version command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdVersion(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Version: f.Version}
	return &factory.Command{
		Name:  "version",
		Short: "print the version",
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return versionRun(opts)
		},
	}
}

func versionRun(opts *Options) error {
	_, err := fmt.Fprintf(opts.IO.Out, "toucanport %s\n", opts.Version)
	return err
}
