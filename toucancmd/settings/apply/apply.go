// Package apply implements the settings apply command, which makes the stored settings match the declarations in a
// directory.
package apply

import (
	"context"
	"time"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/declaration"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucancmd/submit"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucanreplicate"
)

const (
	defaultTimeout = time.Minute
	// firstPoll and maxPoll are the shortest and longest interval between polls of the fleet. Each poll queries
	// every entry, so the interval grows.
	firstPoll = 250 * time.Millisecond
	maxPoll   = 2 * time.Second
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Target factory.Target
	Client func(factory.Target) (submit.Client, error)
	// Dir contains operators.toml and one TOML file per team.
	Dir      string
	ChangeID string
	DryRun   bool
	// Wait makes the command block until the change is in force on every live instance. It fails after Timeout.
	Wait    bool
	Timeout time.Duration
	JSON    bool
}

// NewCmdApply returns the apply command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdApply(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{
		IO:      f.IO,
		Client:  func(t factory.Target) (submit.Client, error) { return f.Client(t) },
		Timeout: defaultTimeout,
	}
	return &factory.Command{
		Name:  "apply",
		Short: "make the stored settings match the declarations in a directory",
		Bind: func(p *flaggy.Parser) {
			p.String(&opts.Dir, "f", "file", "the directory of declarations: operators.toml and one TOML file per team")
			opts.Target.Bind(p)
			p.String(&opts.ChangeID, "i", "change", "the change id; repeat a command with the same id to apply it only once (a new id when empty)")
			p.Bool(&opts.DryRun, "n", "dry-run", "show the plan without applying it")
			p.Bool(&opts.Wait, "w", "wait", "wait until the change is in force on every instance")
			p.Duration(&opts.Timeout, "t", "timeout", "how long to wait")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport settings apply -f deploy/settings --dry-run
				  toucanport settings apply -f deploy/settings --wait
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return applyRun(context.Background(), opts)
		},
	}
}

// result is the output of --json.
type result struct {
	ChangeID string                   `json:"changeId"`
	DryRun   bool                     `json:"dryRun,omitempty"`
	Plans    []declaration.Plan       `json:"plans"`
	Accepted []toucanoperate.Accepted `json:"accepted"`
	// InForce is true if --wait found the change in force on every live instance.
	InForce bool `json:"inForce,omitempty"`
}

func applyRun(ctx context.Context, opts *Options) error {
	if opts.Dir == "" {
		return errors.Wrap(factory.ErrUsage, "toucanport settings apply: -f DIR is required")
	}
	declared, err := declaration.Load(opts.Dir)
	if err != nil {
		return err
	}
	client, err := opts.Client(opts.Target)
	if err != nil {
		return err
	}
	plans, err := declaration.MakePlans(ctx, client, declared)
	if err != nil {
		return err
	}
	if !opts.JSON {
		declaration.Print(opts.IO, plans)
	}
	r := result{ChangeID: opts.ChangeID, DryRun: opts.DryRun, Plans: plans, Accepted: []toucanoperate.Accepted{}}
	if r.ChangeID == "" {
		r.ChangeID = submit.NewID()
	}
	if !opts.DryRun {
		err = submitPlans(ctx, opts, client, &r)
	}
	if opts.JSON {
		return errors.Wrap(firstError(err, render.JSON(opts.IO, r)), "apply")
	}
	return err
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// submitPlans submits every plan with the same change id and, with --wait, waits until the changes are in force. Each
// document changes atomically; after an error the remaining documents are not submitted.
func submitPlans(ctx context.Context, opts *Options, client submit.Client, r *result) error {
	for _, p := range r.Plans {
		if len(p.Steps) == 0 {
			continue
		}
		accepted, err := submit.Change(ctx, client, r.ChangeID, p.Document, p.Base, p.Edits())
		if err != nil {
			return err
		}
		r.Accepted = append(r.Accepted, accepted)
		if !opts.JSON {
			opts.IO.Printf("accepted: %s at revision %d, change %s\n", accepted.Document, accepted.Revision, accepted.ID)
		}
	}
	if !opts.Wait || len(r.Accepted) == 0 {
		return nil
	}
	err := awaitInForce(ctx, opts, client, r.Accepted)
	r.InForce = err == nil
	return err
}

// awaitInForce polls the fleet and shows progress until every live instance has the accepted revisions in force. It
// fails after opts.Timeout.
func awaitInForce(ctx context.Context, opts *Options, client submit.Client, accepted []toucanoperate.Accepted) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	shown := progress{}
	poll := backoff.NewExponentialBackOff()
	poll.InitialInterval, poll.MaxInterval = firstPoll, maxPoll
	for {
		fleet, err := client.Fleet(ctx)
		if err == nil {
			shown = shown.show(opts, countInForce(fleet, accepted))
			if shown.done() {
				return nil
			}
		}
		select {
		case <-time.After(poll.NextBackOff()):
		case <-ctx.Done():
			return errors.Errorf("accepted, but in force on %d of %d instances only after %s; see 'toucanport settings status'",
				shown.inForce, shown.live, opts.Timeout)
		}
	}
}

// progress counts the live instances, and those that have the change in force.
type progress struct{ inForce, live int }

func (p progress) done() bool { return p.live > 0 && p.inForce == p.live }

func countInForce(fleet toucanoperate.Fleet, accepted []toucanoperate.Accepted) progress {
	var want []toucanreplicate.Revision
	for _, a := range accepted {
		want = append(want, toucanreplicate.Revision{Path: a.Document, Revision: a.Revision})
	}
	var p progress
	for _, i := range fleet.Instances {
		if !i.Answers {
			continue
		}
		p.live++
		if len(toucanreplicate.Lags(i.Documents, want)) == 0 {
			p.inForce++
		}
	}
	return p
}

// show prints a progress line if now differs from p, and returns now. On a terminal it overwrites the previous line.
func (p progress) show(opts *Options, now progress) progress {
	if opts.JSON || now == p {
		return now
	}
	line, end := "in force on %d of %d instances", "\n"
	if opts.IO.IsTerminal() && !now.done() {
		line, end = "\r"+line, ""
	}
	opts.IO.Printf(line+end, now.inForce, now.live)
	return now
}
