// Package get implements the settings get command, which prints a document or one of its tables.
package get

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanclient"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucansettings"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (Client, error)
	Path   string
	JSON   bool
}

// Client is the part of toucanclient.Client that the command uses.
type Client interface {
	Document(ctx context.Context, path string) (toucanoperate.Document, error)
}

// NewCmdGet returns the get command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdGet(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "get",
		Short: "print a document, or the table at a path, as TOML",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "such as /teams/laval or /teams/laval/services/redacteur")
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return getRun(context.Background(), opts)
		},
	}
}

func getRun(ctx context.Context, opts *Options) error {
	document, err := toucansettings.ParseDocumentPath(opts.Path)
	isDocument := err == nil
	if !isDocument {
		path, err := toucansettings.ParsePath(opts.Path)
		if err != nil {
			return errors.Wrap(factory.ErrUsage, err.Error())
		}
		document = path.Document
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	d, err := client.Document(ctx, document)
	if err != nil {
		return err
	}
	if !isDocument {
		d.Tables = filterByPath(d.Tables, opts.Path)
	}
	if len(d.Tables) == 0 {
		return errors.Wrap(toucanclient.ErrNotFound, opts.Path)
	}
	return show(opts, d)
}

func filterByPath(tables []toucanoperate.Table, path string) []toucanoperate.Table {
	for _, t := range tables {
		if t.Path == path {
			return []toucanoperate.Table{t}
		}
	}
	return nil
}

func show(opts *Options, d toucanoperate.Document) error {
	if opts.JSON {
		return render.JSON(opts.IO, d)
	}
	if d.Source == toucanoperate.SourceInForce {
		opts.IO.Errorf("the store does not answer; showing the settings in force\n")
	}
	for i, t := range d.Tables {
		path, err := toucansettings.ParsePath(t.Path)
		if err != nil {
			return err
		}
		if i > 0 {
			opts.IO.Printf("\n")
		}
		opts.IO.Printf("[%s.%s]\n%s", path.Group, path.Name, t.Body)
	}
	return nil
}
