// Package failures implements the failures command, which counts the failed requests in logs by cause.
package failures

import (
	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/logfiles"
	"toucanport/toucancmd/render"
	"toucanport/toucanexplain"
	"toucanport/toucanio"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO    *toucanio.Streams
	Files logfiles.Files
	JSON  bool
}

// NewCmdFailures returns the failures command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdFailures(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "failures",
		Short: "count the failed requests in the logs of the entries, by cause",
		Bind: func(p *flaggy.Parser) {
			opts.Files.Bind(p, 1)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Each cause has the id of an example request, for toucanport explain ID. A request is counted as unexplained
				if no log line records how it ended, and none records that its entry stopped.

				Examples:
				  toucanport failures entry-1.log entry-2.log
				  cat entry-*.log | toucanport failures --json
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return failuresRun(opts)
		},
	}
}

func failuresRun(opts *Options) error {
	c := toucanexplain.NewCounter()
	if err := opts.Files.Read(opts.IO.In, c.Read); err != nil {
		return err
	}
	s := c.Summary()
	if opts.JSON {
		return render.JSON(opts.IO, s)
	}
	table := render.NewTable(opts.IO, "REQUESTS", "CAUSE", "EXAMPLE")
	for _, cause := range s.Causes {
		table.Row(cause.Requests, cause.Name, cause.Example)
	}
	if err := table.Print(); err != nil {
		return err
	}
	opts.IO.Printf("%d requests failed, %d of them unexplained; %d lines broken, %d dropped\n", s.Failed, s.Unexplained, s.Broken, s.Dropped)
	return nil
}
