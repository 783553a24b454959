// Package check implements the check command, which validates settings files offline.
package check

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/declaration"
	"toucanport/toucancmd/factory"
	"toucanport/toucanconfig"
	"toucanport/toucandocument"
	"toucanport/toucanio"
)

// Values of --kind.
const (
	kindTeam    = "team"
	kindEntry   = "entry"
	kindSidecar = "sidecar"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO *toucanio.Streams
	// Path is a settings file, or a directory of *.toml files.
	Path string
	// Kind is the type of the files: kindTeam, kindEntry or kindSidecar.
	Kind string
}

// NewCmdCheck returns the check command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Kind: kindTeam}
	return &factory.Command{
		Name:  "check",
		Short: "validate settings files offline",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "a settings file, or a directory with operators.toml and one TOML file per team")
			p.String(&opts.Kind, "k", "kind", "the type of the files: team, entry or sidecar")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
}

func checkRun(opts *Options) error {
	files, err := listFiles(opts.Path)
	if err != nil {
		return err
	}
	var all toucandocument.Problems
	for _, file := range files {
		err := checkFile(file, opts.Kind)
		var problems toucandocument.Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
			continue
		}
		if err != nil {
			return err
		}
	}
	if err := all.Err(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(opts.IO.Out, "%d file(s) valid\n", len(files))
	return err
}

func checkFile(file, kind string) error {
	switch kind {
	case kindEntry:
		_, err := toucanconfig.LoadEntry(file)
		return err
	case kindSidecar:
		_, err := toucanconfig.LoadSidecar(file)
		return err
	case kindTeam:
		_, err := declaration.LoadFile(file)
		return err
	}
	return errors.Wrapf(factory.ErrUsage, "check: --kind %q; allowed: team, entry, sidecar", kind)
}

// listFiles returns path if it is a file, or the sorted *.toml files in it if it is a directory.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.toml"))
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	if len(files) == 0 {
		return nil, errors.Errorf("no .toml files in %s", path)
	}
	return files, nil
}
