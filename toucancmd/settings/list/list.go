// Package list implements the settings list command, which lists the paths of the settings tree.
package list

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (Client, error)
	// Prefix restricts the output to paths that begin with it; empty for all paths.
	Prefix string
	JSON   bool
}

// Client is the part of toucanclient.Client that the command uses.
type Client interface {
	Documents(ctx context.Context) (toucanoperate.Documents, error)
	Document(ctx context.Context, path string) (toucanoperate.Document, error)
}

// NewCmdList returns the list command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdList(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "list",
		Short: "list the paths that the credential may change",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Prefix, "PREFIX", 1, false, "list only paths with this prefix")
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return listRun(context.Background(), opts)
		},
	}
}

// item is one path in the output, as a table row or with --json as a JSON object.
type item struct {
	Path string `json:"path"`
	// Revision is the revision of the document that contains the path.
	Revision uint64 `json:"revision"`
}

func listRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	documents, err := client.Documents(ctx)
	if err != nil {
		return err
	}
	items := []item{}
	for _, r := range documents.Documents {
		d, err := client.Document(ctx, r.Path)
		if err != nil {
			return err
		}
		items = append(items, matching(d, opts.Prefix)...)
	}
	if opts.JSON {
		return render.JSON(opts.IO, items)
	}
	table := render.NewTable(opts.IO, "PATH", "REVISION")
	for _, i := range items {
		table.Row(i.Path, i.Revision)
	}
	return table.Print()
}

func matching(d toucanoperate.Document, prefix string) []item {
	var out []item
	for _, t := range d.Tables {
		if strings.HasPrefix(t.Path, prefix) {
			out = append(out, item{Path: t.Path, Revision: d.Revision})
		}
	}
	return out
}
