// Package version is the command that prints the program's version.
package version

import (
	"fmt"

	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
)

// Options are the command's inputs.
type Options struct {
	IO      *toucanio.Streams
	Version string
}

// NewCmdVersion returns the command. Tests pass runF to see the options instead of running it.
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
