// Package preview implements the preview command, which asks a running entry where a request would go now, and why, without sending it.
package preview

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanpreview"
)

const (
	// replyTimeout bounds the call to the entry.
	replyTimeout = 5 * time.Second
	// maxReply bounds the reply, which has a few hundred bytes for each endpoint.
	maxReply = 4 << 20
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO *toucanio.Streams
	// Address is the metrics address of an entry of the platform, or the operators' address of one of the product's own, as IP:PORT.
	Address string
	// Credential is an operator's or a team's, which the product's own entry asks for; empty for none.
	Credential string
	Query      toucanpreview.Query
	JSON       bool
}

// NewCmdPreview returns the preview command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdPreview(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO}
	return &factory.Command{
		Name:  "preview",
		Short: "show where a request would go now, and why, without sending it",
		Bind: func(p *flaggy.Parser) {
			p.AddPositionalValue(&opts.Address, "ADDRESS", 1, true, "the metrics address of a running entry, or the operators' address of the product's own, as IP:PORT")
			p.String(&opts.Query.Host, "", "host", "the request's host")
			p.String(&opts.Query.Path, "", "path", "the request's path")
			p.String(&opts.Query.Workspace, "w", "workspace", "the workspace that sends it; none for a request without a key")
			p.String(&opts.Query.Model, "m", "model", "the model of a generation, for the product's own entry")
			p.String(&opts.Credential, "c", "credential", "an operator's or a team's credential, for the product's own entry ("+factory.EnvCredential+")")
			p.Int(&opts.Query.Prompt, "", "prompt", "the length of the prompt in tokens")
			p.Int(&opts.Query.MaxOutput, "", "output", "the limit of the output in tokens")
			p.Int(&opts.Query.LengthHint, "", "hint", "the caller's estimate of the output in tokens")
			p.Duration(&opts.Query.Patience, "", "patience", "how long the caller waits for the final answer, such as 6s")
			p.Bool(&opts.JSON, "j", "json", "print JSON")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport preview 10.1.0.19:9464 --host shop.example --path /status/ --workspace acme
				  toucanport preview 10.1.0.19:9464 --host ai.example --path /chat/ --prompt 2200 --output 40 --patience 6s --json
				  toucanport preview 10.1.0.20:7101 --host ai.example --path /v1/chat/completions --model m1 --workspace blue/shop --prompt 300
			`)
		},
		Run: func() error {
			if opts.Query.Host == "" || opts.Query.Path == "" {
				return errors.Wrap(factory.ErrUsage, "pass the request's host with --host and its path with --path")
			}
			if opts.Credential == "" {
				opts.Credential = f.Getenv(factory.EnvCredential)
			}
			if runF != nil {
				return runF(opts)
			}
			return previewRun(context.Background(), opts)
		},
	}
}

func previewRun(ctx context.Context, opts *Options) error {
	p, err := fetch(ctx, opts)
	if err != nil {
		return err
	}
	if opts.JSON {
		return render.JSON(opts.IO, p)
	}
	return show(opts.IO, p)
}

// fetch asks the entry.
func fetch(ctx context.Context, opts *Options) (toucanpreview.Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	var p toucanpreview.Preview
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, opts.Query.URL(opts.Address), http.NoBody)
	if err != nil {
		return p, errors.Wrapf(err, "preview at %s; is it IP:PORT?", opts.Address)
	}
	if opts.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+opts.Credential)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return p, errors.Wrapf(err, "preview at %s; is it the metrics address of a running entry, or the operators' address of the product's own?", opts.Address)
	}
	defer func() { _ = resp.Body.Close() }() // It was read or is of no use.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return p, errors.Wrapf(err, "preview at %s", opts.Address)
	}
	if resp.StatusCode != http.StatusOK {
		return p, errors.Errorf("preview at %s: %s: %s", opts.Address, resp.Status, strings.TrimSpace(string(body)))
	}
	return p, errors.Wrapf(json.Unmarshal(body, &p), "preview at %s", opts.Address)
}

// show prints a preview as text.
func show(out *toucanio.Streams, p toucanpreview.Preview) error {
	switch p.Decision {
	case toucanpreview.DecisionSend:
		out.Printf("sent to %s at once\n", p.Endpoints[0].ID)
	case toucanpreview.DecisionWait:
		out.Printf("waits for up to %d ms, expected at least %d ms: %s\n", p.MaxWaitMs, p.ExpectedWaitMs, p.Cause)
	case toucanpreview.DecisionReject:
		out.Printf("rejected with %d (%s), to come back after %d ms: %s\n", p.Status, p.Reason, p.RetryAfterMs, p.Cause)
	}
	out.Printf("route %s, service %s, workspace %s, rank %d, settings %d\n", p.Route, p.Service, p.Workspace, p.Rank, p.SettingsVersion)
	out.Printf("%d tokens; leaves %d tokens free, at most %d unread tokens\n", p.Tokens, p.ReserveTokens, p.MaxUnread)
	if len(p.Endpoints) == 0 {
		return nil
	}
	table := render.NewTable(out, "ENDPOINT", "FAILURE DOMAIN", "COST", "LOAD", "DISTANCE", "SLOT", "PACE", "REQUESTS", "TOKENS", "UNREAD", "LEFT OUT")
	for _, e := range p.Endpoints {
		table.Row(e.ID, e.FailureDomain, e.Costs.Total, e.Costs.Load, e.Costs.Distance, e.Costs.Slot, e.Costs.Pace, e.Requests, e.Tokens, e.Unread, e.LeftOut)
	}
	return table.Print()
}
