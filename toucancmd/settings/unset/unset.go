// Package unset implements the settings unset command, which removes a table or some of its keys.
package unset

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/submit"
	"toucanport/toucanio"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// maxKeys is the maximum number of KEY arguments.
const maxKeys = 16

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	Path   string
	// Keys are the keys to remove; if all are empty, the whole table is removed.
	Keys     [maxKeys]string
	ChangeID string
	JSON     bool
}

// NewCmdUnset returns the unset command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdUnset(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (submit.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "unset",
		Short: "remove the table at a path, or some of its keys",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "such as /teams/laval/workspaces/dealers")
			for i := range maxKeys {
				p.AddPositionalValue(&opts.Keys[i], "KEY", i+2, false, "a key to remove (without keys: the whole table)")
			}
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id; repeat a command with the same id to apply it only once (a new id when empty)")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return unsetRun(context.Background(), opts)
		},
	}
}

func unsetRun(ctx context.Context, opts *Options) error {
	path, err := toucansettings.ParsePath(opts.Path)
	if err != nil {
		return errors.Wrap(factory.ErrUsage, err.Error())
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	d, err := submit.ReadStored(ctx, client, path.Document)
	if err != nil {
		return err
	}
	if opts.ChangeID == "" {
		opts.ChangeID = submit.NewID()
	}
	accepted, err := submit.Change(ctx, client, opts.ChangeID, d.Path, d.Revision, []toucanrevision.Edit{edit(path, opts.Keys[:])})
	if err != nil {
		return err
	}
	return submit.PrintAccepted(opts.IO, opts.JSON, accepted)
}

func edit(path toucansettings.Path, keys []string) toucanrevision.Edit {
	e := toucanrevision.Edit{Path: path, Operation: toucanrevision.OpDelete}
	for _, key := range keys {
		if key != "" {
			e.Operation = toucanrevision.OpMerge
			e.Unset = append(e.Unset, key)
		}
	}
	return e
}
