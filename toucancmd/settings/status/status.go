// Package status is the command that says which instances lag behind the settings.
package status

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucanspread"
)

// Options are the command's inputs.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (Client, error)
	JSON   bool
}

// Client is what the command needs of an entry.
type Client interface {
	Fleet(ctx context.Context) (toucanoperate.Fleet, error)
}

// NewCmdStatus returns the command. Tests pass runF to see the options instead of running it.
func NewCmdStatus(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "status",
		Short: "say which revisions are in force, and which instances lag by how much",
		Bind: func(p *flaggy.Parser) {
			opts.Target.Bind(p)
			p.Bool(&opts.JSON, "j", "json", "print JSON")
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return statusRun(context.Background(), opts)
		},
	}
}

// state is one document's state over the fleet.
type state struct {
	Path     string    `json:"path"`
	Revision uint64    `json:"revision"`
	InForce  int       `json:"inForce"`
	Live     int       `json:"live"`
	Lagging  []laggard `json:"lagging"`
}

// laggard is an instance that lacks the newest revision.
type laggard struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	// Behind is by how many revisions.
	Behind uint64 `json:"behind"`
}

func statusRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	fleet, err := client.Fleet(ctx)
	if err != nil {
		return err
	}
	states := []state{}
	for _, r := range fleet.Newest {
		states = append(states, stateOf(fleet, r))
	}
	if opts.JSON {
		return render.JSON(opts.IO, states)
	}
	return show(opts, fleet, states)
}

func stateOf(fleet toucanoperate.Fleet, newest toucanspread.Revision) state {
	s := state{Path: newest.Path, Revision: newest.Revision, Lagging: []laggard{}}
	for _, i := range fleet.Instances {
		if !i.Answers {
			continue
		}
		s.Live++
		lags := toucanspread.Lags(i.Documents, []toucanspread.Revision{newest})
		if len(lags) == 0 {
			s.InForce++
			continue
		}
		s.Lagging = append(s.Lagging, laggard{i.Instance, i.Role, lags[0].Newest - lags[0].Held})
	}
	return s
}

func show(opts *Options, fleet toucanoperate.Fleet, states []state) error {
	if !fleet.StoreAnswers {
		opts.IO.Errorf("the store does not answer; changes are refused, what is in force stays\n")
	}
	table := render.NewTable(opts.IO, "DOCUMENT", "REVISION", "IN FORCE", "LAGGING")
	for _, s := range states {
		table.Row(s.Path, s.Revision, fmt.Sprintf("%d of %d", s.InForce, s.Live), len(s.Lagging))
	}
	if err := table.Print(); err != nil {
		return err
	}
	for _, s := range states {
		for _, l := range s.Lagging {
			opts.IO.Printf("%s\t%s\t%s\t%d behind\n", s.Path, l.Role, l.Instance, l.Behind)
		}
	}
	return nil
}
