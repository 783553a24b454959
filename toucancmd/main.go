// Package toucancmd implements the toucanport command line.
package toucancmd

import (
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
)

const programVersion = "0.1.0"

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return Run(factory.New(programVersion), args)
}

// Run runs the command line with the dependencies of f and returns the exit code. It prints an error as one line
// on standard error, or as one line per problem if a document is invalid.
func Run(f *factory.Factory, args []string) int {
	err := f.Execute(newRoot(f), args)
	if err != nil && !errors.Is(err, factory.ErrReported) {
		f.IO.Errorf("%s\n", errorMessage(err))
	}
	return factory.ExitCode(err)
}

// errorMessage returns the text of err without the trailing text of ErrUsage, which adds nothing for the user.
func errorMessage(err error) string {
	text, suffix := err.Error(), ": "+factory.ErrUsage.Error()
	return strings.TrimSuffix(text, suffix)
}
