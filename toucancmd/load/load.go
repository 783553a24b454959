// Package load implements the load command, which sends open-loop load to an entry.
package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
	"toucanport/toucanio"
	"toucanport/toucanload"
)

const (
	defaultRate     = 10
	defaultDuration = 10 * time.Second
	defaultDrain    = time.Minute
	// maxConnections limits idle connections to the entry.
	maxConnections = 4096
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO     *toucanio.Streams
	Config toucanload.Config
	JSON   bool
}

// NewCmdLoad returns the load command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdLoad(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Config: toucanload.Config{Rate: defaultRate, Duration: defaultDuration, Drain: defaultDrain, Seed: 1}}
	return &factory.Command{
		Name:  "load",
		Short: "send open-loop load to an entry and print latencies",
		Bind: func(p *flaggy.Parser) {
			p.String(&opts.Config.Target, "t", "target", "the base URL of an entry")
			p.String(&opts.Config.Key, "k", "key", "a workspace key")
			p.String(&opts.Config.Model, "m", "model", "the model (the workspace's first model when empty)")
			p.Float64(&opts.Config.Rate, "r", "rate", "requests per second")
			p.Duration(&opts.Config.Duration, "d", "duration", "how long new requests are sent")
			p.Duration(&opts.Config.Drain, "w", "drain", "how long to wait for unfinished requests after the last one is sent")
			p.Int(&opts.Config.MaxTokens, "n", "max-tokens", "max_tokens of each request (0: the engine's default)")
			p.UInt64(&opts.Config.Seed, "s", "seed", "the seed of arrival times and prompts")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport load --target http://127.0.0.1:8080 --key KEY --rate 50 --duration 30s
			`)
		},
		Run: func() error {
			if err := opts.validate(); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return loadRun(opts)
		},
	}
}

func (opts *Options) validate() error {
	switch {
	case opts.Config.Target == "":
		return errors.Wrap(factory.ErrUsage, "load: --target URL is required")
	case opts.Config.Key == "":
		return errors.Wrap(factory.ErrUsage, "load: --key KEY is required")
	case opts.Config.Rate <= 0:
		return errors.Wrap(factory.ErrUsage, "load: --rate must be above 0")
	case opts.Config.Duration <= 0:
		return errors.Wrap(factory.ErrUsage, "load: --duration must be above 0")
	}
	return nil
}

func loadRun(opts *Options) error {
	opts.Config.Transport = &http.Transport{MaxIdleConnsPerHost: maxConnections}
	report, err := toucanload.Run(context.Background(), opts.Config)
	if err != nil {
		return err
	}
	if opts.JSON {
		return json.NewEncoder(opts.IO.Out).Encode(report)
	}
	printReport(opts.IO, report)
	return nil
}

func printReport(io *toucanio.Streams, r toucanload.Report) {
	io.Printf("%d requests, %d completed, %d broken, %d unfinished, %d tokens\n",
		r.Requests, r.Completed, r.Broken, r.Unfinished, r.Tokens)
	for _, ref := range r.Refusals {
		io.Printf("refused    %d %s, ran %s: %d\n", ref.Status, ref.Code, ref.Ran, ref.Count)
	}
	if r.FirstError != "" {
		io.Printf("%s\n", io.Red("first error: "+r.FirstError))
	}
	line := func(name string, l toucanload.Latency) {
		io.Printf("%-10s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", name, l.P50, l.P95, l.P99, l.Max)
	}
	line("firstToken", r.FirstToken)
	line("interToken", r.InterToken)
	line("stall", r.Stall)
}
