// Package revokekey implements the workspace revoke-key command, which removes a key from a workspace.
package revokekey

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanclient"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/submit"
	"toucanport/toucancmd/teamview"
	"toucanport/toucanio"
	"toucanport/toucansettings"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	// Workspace is NAME or TEAM/NAME.
	Workspace string
	// Key is the key itself, its hash, or a prefix of its hash with at least minHashPrefix characters.
	Key  string
	JSON bool
}

// NewCmdRevokeKey returns the revoke-key command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdRevokeKey(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "revoke-key",
		Short: "remove a key from a workspace",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Workspace, "WORKSPACE", 1, true, "NAME, or TEAM/NAME when several teams have it")
			p.AddPositionalValue(&opts.Key, "KEY", 2, true, "the key, or the first 8 or more characters of its hash")
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return revokeKeyRun(context.Background(), opts)
		},
	}
}

// minHashPrefix is the minimum length of a hash prefix, so that a mistyped prefix does not match another key.
const minHashPrefix = 8

// keys holds the keys that the command writes to the workspace's table.
type keys struct {
	KeyHashes []string `toml:"keyHashes"`
}

func revokeKeyRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	path, d, err := teamview.Find(ctx, client, toucansettings.GroupWorkspaces, opts.Workspace)
	if err != nil {
		return err
	}
	team, err := d.Team()
	if err != nil {
		return err
	}
	remaining, err := removeHash(team, path.Name, opts.Key)
	if err != nil {
		return err
	}
	accepted, err := teamview.Merge(ctx, client, "", path, d, keys{KeyHashes: remaining})
	if err != nil {
		return err
	}
	return submit.PrintAccepted(opts.IO, opts.JSON, accepted)
}

// removeHash returns the key hashes of the workspace except the one that matches key. It fails unless exactly one
// matches.
func removeHash(team toucansettings.Team, workspace, key string) ([]string, error) {
	remaining, removed := []string{}, 0
	for _, w := range team.Workspaces {
		if w.Name != workspace {
			continue
		}
		for _, h := range w.KeyHashes {
			if h == toucansettings.HashKey(key) || (len(key) >= minHashPrefix && strings.HasPrefix(h, key)) {
				removed++
				continue
			}
			remaining = append(remaining, h)
		}
	}
	switch removed {
	case 0:
		return nil, errors.Wrapf(toucanclient.ErrNotFound, "workspace %q has no such key", workspace)
	case 1:
		return remaining, nil
	}
	return nil, errors.Wrapf(factory.ErrUsage, "%q is a prefix of %d hashes; use a longer prefix", key, removed)
}
