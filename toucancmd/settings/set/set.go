// Package set is the command that sets keys of one table.
package set

import (
	"context"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/submit"
	"toucanport/toucanio"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// maxPairs bounds the pairs of one command.
const maxPairs = 16

// Options are the command's inputs.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	Path   string
	// Pairs are KEY=VALUE; empty ones are left out.
	Pairs    [maxPairs]string
	ChangeID string
	JSON     bool
}

// NewCmdSet returns the command. Tests pass runF to see the options instead of running it.
func NewCmdSet(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (submit.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "set",
		Short: "set keys of the table at a path",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "such as /teams/laval/workspaces/dealers")
			p.AddPositionalValue(&opts.Pairs[0], "KEY=VALUE", 2, true, "a TOML value; what is not one is taken as a string")
			for i := 1; i < maxPairs; i++ {
				p.AddPositionalValue(&opts.Pairs[i], "KEY=VALUE", i+2, false, "another one")
			}
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id, to repeat a command safely (a new one when empty)")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return setRun(context.Background(), opts)
		},
	}
}

func setRun(ctx context.Context, opts *Options) error {
	path, err := toucansettings.ParsePath(opts.Path)
	if err != nil {
		return errors.Wrap(factory.ErrUsage, err.Error())
	}
	body, err := bodyOf(opts.Pairs[:])
	if err != nil {
		return err
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	d, err := submit.Read(ctx, client, path.Document)
	if err != nil {
		return err
	}
	if opts.ChangeID == "" {
		opts.ChangeID = submit.NewID()
	}
	edit := toucanrevision.Edit{Path: path, Operation: toucanrevision.OpMerge, Body: body}
	accepted, err := submit.Change(ctx, client, opts.ChangeID, d.Path, d.Revision, []toucanrevision.Edit{edit})
	if err != nil {
		return err
	}
	return submit.Told(opts.IO, opts.JSON, accepted)
}

// bodyOf returns the TOML of KEY=VALUE pairs.
func bodyOf(pairs []string) (string, error) {
	values := make(map[string]any)
	for _, pair := range pairs {
		if pair == "" {
			continue
		}
		key, text, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return "", errors.Wrapf(factory.ErrUsage, "%q: want KEY=VALUE", pair)
		}
		values[key] = valueOf(text)
	}
	body, err := toucansettings.EncodeTOML(values)
	return string(body), err
}

func valueOf(text string) any {
	var parsed struct{ V any }
	if _, err := toml.Decode("V = "+text, &parsed); err != nil {
		return text
	}
	return parsed.V
}
