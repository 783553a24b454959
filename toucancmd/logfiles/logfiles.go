// Package logfiles provides the log file arguments of the commands that read logs. Without arguments they read
// standard input.
package logfiles

import (
	"io"
	"os"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// maxFiles is the maximum number of file arguments of one command.
const maxFiles = 64

// Files holds the log file arguments of a command. The zero value has none.
type Files struct {
	paths [maxFiles]string
}

// Bind registers the file arguments as positional arguments, starting at position first.
func (f *Files) Bind(p *flaggy.Parser, first int) {
	for i := range f.paths {
		name := "FILE"
		if i > 0 {
			name += strconv.Itoa(i + 1)
		}
		p.AddPositionalValue(&f.paths[i], name, first+i, false, "a log file; standard input by default")
		p.PositionalFlags[len(p.PositionalFlags)-1].Hidden = i > 0
	}
}

// Paths returns the file arguments in command-line order.
func (f *Files) Paths() []string {
	for i, path := range f.paths {
		if path == "" {
			return f.paths[:i]
		}
	}
	return f.paths[:]
}

// Read opens each file and calls read with it. Without files it calls read once with in.
func (f *Files) Read(in io.Reader, read func(io.Reader) error) error {
	paths := f.Paths()
	if len(paths) == 0 {
		return read(in)
	}
	for _, path := range paths {
		if err := readFile(path, read); err != nil {
			return err
		}
	}
	return nil
}

func readFile(path string, read func(io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "reading logs (pass readable files or pipe the logs to standard input)")
	}
	defer func() { _ = file.Close() }() // errors of Close don't matter for a file that is only read
	return errors.Wrap(read(file), path)
}
