// Package check is the command that validates settings files offline.
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

// Kinds of file that check knows.
const (
	kindTeam    = "team"
	kindEntry   = "entry"
	kindSidecar = "sidecar"
)

// Options are the command's inputs.
type Options struct {
	IO *toucanio.Streams
	// Path is a file or a directory of team files.
	Path string
	// Kind says what the files are.
	Kind string
}

// NewCmdCheck returns the command. Tests pass runF to see the options instead of running it.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Kind: kindTeam}
	return &factory.Command{
		Name:  "check",
		Short: "validate settings files offline",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "a settings file, or a directory with one TOML file for each team and operators.toml")
			p.String(&opts.Kind, "k", "kind", "what the files are: team, entry or sidecar")
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
	files, err := filesOf(opts.Path)
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

// filesOf returns path itself, or the TOML files in it when it is a directory, in order.
func filesOf(path string) ([]string, error) {
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
