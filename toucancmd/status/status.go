// Package status implements the status command, which shows the state of every instance.
package status

import (
	"context"
	"time"

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
	Now    func() time.Time
}

// Client is the part of toucanclient.Client that the command uses.
type Client interface {
	Fleet(ctx context.Context) (toucanoperate.Fleet, error)
}

// NewCmdStatus returns the status command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdStatus(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Now: time.Now, Client: func(t factory.Target) (Client, error) { return f.Client(t) }}
	return &factory.Command{
		Name:  "status",
		Short: "show every instance: its last heartbeat, and whether its settings are up to date",
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

func statusRun(ctx context.Context, opts *Options) error {
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	fleet, err := client.Fleet(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return render.JSON(opts.IO, fleet)
	}
	if !fleet.StoreAnswers {
		opts.IO.Errorf("the store does not answer; changes are refused, the settings in force remain\n")
	}
	table := render.NewTable(opts.IO, "ROLE", "INSTANCE", "FAILURE DOMAIN", "HEARD", "SETTINGS")
	for _, i := range fleet.Instances {
		table.Row(i.Role, i.Instance, i.FailureDomain, formatLastHeartbeat(i, opts.Now()), settingsState(i, fleet))
	}
	return table.Print()
}

func formatLastHeartbeat(i toucanoperate.Instance, now time.Time) string {
	if !i.Answers {
		return "no answer"
	}
	return now.Sub(i.LastReceivedAt).Round(100*time.Millisecond).String() + " ago"
}

func settingsState(i toucanoperate.Instance, fleet toucanoperate.Fleet) string {
	switch {
	case !i.Answers:
		return "unknown"
	case len(toucanreplicate.Lags(i.Documents, fleet.Newest)) > 0:
		return "behind"
	}
	return "newest"
}
