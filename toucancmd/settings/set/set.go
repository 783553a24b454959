// Package set implements the settings set command, which sets keys of one table.
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

// maxPairs is the maximum number of KEY=VALUE arguments.
const maxPairs = 16

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	Path   string
	// Pairs are KEY=VALUE arguments; empty strings are ignored.
	Pairs    [maxPairs]string
	ChangeID string
	JSON     bool
}

// NewCmdSet returns the set command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdSet(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (submit.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "set",
		Short: "set keys of the table at a path",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Path, "PATH", 1, true, "such as /teams/laval/workspaces/dealers")
			p.AddPositionalValue(&opts.Pairs[0], "KEY=VALUE", 2, true, "VALUE in TOML; anything else is a string")
			for i := 1; i < maxPairs; i++ {
				p.AddPositionalValue(&opts.Pairs[i], "KEY=VALUE", i+2, false, "further keys and values")
			}
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id; repeat a command with the same id to apply it only once (a new id when empty)")
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
	body, err := encodePairs(opts.Pairs[:])
	if err != nil {
		return err
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
	edit := toucanrevision.Edit{Path: path, Operation: toucanrevision.OpMerge, Body: body}
	accepted, err := submit.Change(ctx, client, opts.ChangeID, d.Path, d.Revision, []toucanrevision.Edit{edit})
	if err != nil {
		return err
	}
	return submit.PrintAccepted(opts.IO, opts.JSON, accepted)
}

// encodePairs encodes KEY=VALUE pairs as TOML.
func encodePairs(pairs []string) (string, error) {
	values := make(map[string]any)
	for _, pair := range pairs {
		if pair == "" {
			continue
		}
		key, text, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return "", errors.Wrapf(factory.ErrUsage, "%q: want KEY=VALUE", pair)
		}
		values[key] = parseValue(text)
	}
	body, err := toucansettings.EncodeTOML(values)
	return string(body), err
}

func parseValue(text string) any {
	var parsed struct{ V any }
	if _, err := toml.Decode("V = "+text, &parsed); err != nil {
		return text
	}
	return parsed.V
}
