// Package status implements the settings status command, which shows the instances that lag behind the newest
// settings.
package status

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucanreplicate"
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (Client, error)
	JSON   bool
}

// Client is the part of toucanclient.Client that the command uses.
type Client interface {
	Fleet(ctx context.Context) (toucanoperate.Fleet, error)
}

// NewCmdStatus returns the status command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdStatus(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "status",
		Short: "show which revisions are in force, and how far instances lag behind",
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

// documentState is the rollout state of one document across the fleet.
type documentState struct {
	Path     string            `json:"path"`
	Revision uint64            `json:"revision"`
	InForce  int               `json:"inForce"`
	Live     int               `json:"live"`
	Lagging  []laggingInstance `json:"lagging"`
}

// laggingInstance is a live instance that does not have the newest revision in force.
type laggingInstance struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	// Behind is the number of revisions that the instance lags by.
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
	states := []documentState{}
	for _, r := range fleet.Newest {
		states = append(states, newDocumentState(fleet, r))
	}
	if opts.JSON {
		return render.JSON(opts.IO, states)
	}
	return show(opts, fleet, states)
}

func newDocumentState(fleet toucanoperate.Fleet, newest toucanreplicate.Revision) documentState {
	s := documentState{Path: newest.Path, Revision: newest.Revision, Lagging: []laggingInstance{}}
	for _, i := range fleet.Instances {
		if !i.Answers {
			continue
		}
		s.Live++
		lags := toucanreplicate.Lags(i.Documents, []toucanreplicate.Revision{newest})
		if len(lags) == 0 {
			s.InForce++
			continue
		}
		s.Lagging = append(s.Lagging, laggingInstance{i.Instance, i.Role, lags[0].Newest - lags[0].Held})
	}
	return s
}

func show(opts *Options, fleet toucanoperate.Fleet, states []documentState) error {
	if !fleet.StoreAnswers {
		opts.IO.Errorf("the store does not answer; changes are refused, the settings in force remain\n")
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
