// Package logfiles is what the commands have in common that read logs: their files, or standard input without any.
package logfiles

import (
	"io"
	"os"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// maxFiles is how many files one command reads.
const maxFiles = 64

// Files are the logs that a command was given. Its zero value has none.
type Files struct {
	paths [maxFiles]string
}

// Bind adds the files behind the positional arguments before first.
func (f *Files) Bind(p *flaggy.Parser, first int) {
	for i := range f.paths {
		name := "FILE"
		if i > 0 {
			name += strconv.Itoa(i + 1)
		}
		p.AddPositionalValue(&f.paths[i], name, first+i, false, "logs; standard input by default")
		p.PositionalFlags[len(p.PositionalFlags)-1].Hidden = i > 0
	}
}

// Paths returns the files in the order in which they were given.
func (f *Files) Paths() []string {
	for i, path := range f.paths {
		if path == "" {
			return f.paths[:i]
		}
	}
	return f.paths[:]
}

// Read hands each file to read, or in without files.
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
		return errors.Wrap(err, "name logs that can be read, or pipe them in")
	}
	defer func() { _ = file.Close() }() // It was only read.
	return errors.Wrap(read(file), path)
}
