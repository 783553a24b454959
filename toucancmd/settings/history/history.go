// Package history implements the settings history command, which prints the latest changes of a document, or
// settles the outcome of one change.
package history

import (
	"context"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/submit"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucansettings"
)

// noBase is the value of Base if --base is not set.
const noBase = -1

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO       *toucanio.Streams
	Target   factory.Target
	Client   func(factory.Target) (Client, error)
	Document string
	// ChangeID is the change whose outcome is printed; empty for the latest changes.
	ChangeID string
	// Base is the revision that the change was based on; noBase if --base is not set.
	Base int64
	JSON bool
}

// Client is the part of toucanclient.Client that the command uses.
type Client interface {
	Document(ctx context.Context, path string) (toucanoperate.Document, error)
	Settle(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error)
}

// NewCmdHistory returns the history command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdHistory(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Base: noBase, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "history",
		Short: "print a document's latest changes, or settle a change whose outcome is unknown",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Document, "DOCUMENT", 1, true, "/teams/{team} or /operators")
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "print the outcome of the change with this id")
			p.Int64(&opts.Base, "b", "base", "with --change: the revision it was based on; settles the change, which is refused from then on if it was not accepted")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return historyRun(context.Background(), opts)
		},
	}
}

func historyRun(ctx context.Context, opts *Options) error {
	document, err := toucansettings.ParseDocumentPath(opts.Document)
	if err != nil {
		return errors.Wrap(factory.ErrUsage, err.Error())
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	if opts.ChangeID != "" && opts.Base != noBase {
		return settle(ctx, opts, client, document)
	}
	d, err := client.Document(ctx, document)
	if err != nil {
		return err
	}
	if opts.ChangeID != "" {
		return findChange(opts, d)
	}
	return show(opts, d)
}

func settle(ctx context.Context, opts *Options, client Client, document string) error {
	accepted, err := client.Settle(ctx, toucanoperate.Change{ID: opts.ChangeID, Document: document, Base: uint64(opts.Base)})
	if errors.Is(err, toucanchange.ErrRefused) {
		return errors.Errorf("not accepted: change %s is not in %s and will not be", opts.ChangeID, document)
	}
	if err != nil {
		return err
	}
	return submit.PrintAccepted(opts.IO, opts.JSON, accepted)
}

func findChange(opts *Options, d toucanoperate.Document) error {
	for _, c := range d.Changes {
		if c.ID != opts.ChangeID {
			continue
		}
		if c.Refused {
			return errors.Errorf("not accepted: change %s was settled as refused", c.ID)
		}
		return submit.PrintAccepted(opts.IO, opts.JSON, toucanoperate.Accepted{ID: c.ID, Document: d.Path, Revision: c.Revision})
	}
	return errors.WithMessagef(toucanchange.ErrOutcomeUnknown,
		"change %s is not among the last %d changes; add --base REVISION to settle it", opts.ChangeID, len(d.Changes))
}

func show(opts *Options, d toucanoperate.Document) error {
	if opts.JSON {
		return render.JSON(opts.IO, d.Changes)
	}
	table := render.NewTable(opts.IO, "REVISION", "AT", "AUTHOR", "CHANGE", "PATHS")
	for _, c := range d.Changes {
		paths := strings.Join(c.Paths, " ")
		if c.Refused {
			paths = "(refused)"
		}
		table.Row(c.Revision, c.At.Format(time.RFC3339), c.Author, c.ID, paths)
	}
	return table.Print()
}
