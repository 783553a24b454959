// Package toucancmd is the command line.
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

// Run runs the command line with the dependencies of f and returns the exit code. An error is told on one
// line of standard error, or one line for each problem in a document.
func Run(f *factory.Factory, args []string) int {
	err := f.Execute(newRoot(f), args)
	if err != nil && !errors.Is(err, factory.ErrReported) {
		f.IO.Errorf("%s\n", message(err))
	}
	return factory.ExitCode(err)
}

// message drops the sentinel's own text from the end of a wrapped error: the line already says what is wrong.
func message(err error) string {
	text, suffix := err.Error(), ": "+factory.ErrUsage.Error()
	return strings.TrimSuffix(text, suffix)
}
