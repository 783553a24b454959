// Package createkey implements the workspace create-key command, which adds a key to a workspace.
package createkey

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"slices"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/teamview"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucansettings"
)

// keyBytes is the length of a key before encoding: 256 random bits.
const keyBytes = 32

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (teamview.Client, error)
	// Workspace is NAME or TEAM/NAME.
	Workspace string
	JSON      bool
	// Random fills a slice with random bytes.
	Random func([]byte)
}

// NewCmdCreateKey returns the create-key command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdCreateKey(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{
		IO:     f.IO,
		Client: func(t factory.Target) (teamview.Client, error) { return f.Client(t) },
		Random: func(b []byte) { _, _ = rand.Read(b) }, // crypto/rand.Read never returns an error
	}
	return &factory.Command{
		Name:  "create-key",
		Short: "add a new key to a workspace and print it once",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Workspace, "WORKSPACE", 1, true, "NAME, or TEAM/NAME when several teams have it")
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return createKeyRun(context.Background(), opts)
		},
	}
}

// keys holds the keys that the command writes to the workspace's table.
type keys struct {
	KeyHashes []string `toml:"keyHashes"`
}

// created is the output of --json.
type created struct {
	toucanoperate.Accepted
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func createKeyRun(ctx context.Context, opts *Options) error {
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
	b := make([]byte, keyBytes)
	opts.Random(b)
	key := "tk-" + base64.RawURLEncoding.EncodeToString(b)
	hash := toucansettings.HashKey(key)
	set := keys{KeyHashes: append(keyHashes(team, path.Name), hash)}
	accepted, err := teamview.Merge(ctx, client, "", path, d, set)
	if err != nil {
		return err
	}
	if opts.JSON {
		return render.JSON(opts.IO, created{accepted, key, hash})
	}
	opts.IO.Errorf("the key is shown only once; its hash is %s\n", hash)
	opts.IO.Printf("%s\n", key)
	return nil
}

func keyHashes(team toucansettings.Team, workspace string) []string {
	for _, w := range team.Workspaces {
		if w.Name == workspace {
			return slices.Clone(w.KeyHashes)
		}
	}
	return nil
}
