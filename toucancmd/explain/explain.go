// Package explain implements the explain command, which reconstructs the history of one request from logs.
package explain

import (
	"encoding/json"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/logfiles"
	"toucanport/toucanexplain"
	"toucanport/toucanio"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO *toucanio.Streams
	// ID is the id of the request to explain.
	ID    string
	Files logfiles.Files
	JSON  bool
}

// NewCmdExplain returns the explain command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdExplain(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "explain",
		Short: "show the history of one request, from the logs of the entries",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.ID, "ID", 1, true, "the request's id, as its caller sent it")
			opts.Files.Bind(p, 2)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport explain 9c41d07be2a35f68 entry-1.log entry-2.log
				  cat entry-*.log | toucanport explain 9c41d07be2a35f68 --json
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
}

func explainRun(opts *Options) error {
	r := toucanexplain.NewReader(opts.ID)
	if err := opts.Files.Read(opts.IO.In, r.Read); err != nil {
		return err
	}
	return show(opts, r.History())
}

func show(opts *Options, history toucanexplain.RequestHistory) error {
	if opts.JSON {
		encoded, err := json.MarshalIndent(history, "", "  ")
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		opts.IO.Printf("%s\n", encoded)
		return nil
	}
	for _, l := range history.Lines {
		opts.IO.Printf("%8d ms  %s  %s", l.Time.Sub(history.Lines[0].Time).Milliseconds(), l.Instance, l.Message)
		for _, detail := range l.Details {
			opts.IO.Printf(" %s", detail)
		}
		opts.IO.Printf("\n")
	}
	opts.IO.Printf("%s\n", history.Ending)
	return nil
}
