// Package failures is the command that counts the failed requests in logs by their causes.
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

// Options are the command's inputs.
type Options struct {
	IO    *toucanio.Streams
	Files logfiles.Files
	JSON  bool
}

// NewCmdFailures returns the command. Tests pass runF to see the options instead of running it.
func NewCmdFailures(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "failures",
		Short: "count the failed requests in the logs of the entries, by cause",
		Bind: func(p *flaggy.Parser) {
			opts.Files.Bind(p, 1)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Each cause has an example, for toucanport explain ID. Requests whose end no line tells of and whose entry
				did not end either are counted as unexplained.

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
