// Package dev implements the dev command, which runs a complete deployment on loopback with fake endpoints and a
// fake platform.
package dev

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/MakeNowJust/heredoc/v2"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/deploy"
	"toucanport/toucancmd/factory"
	"toucanport/toucandeploy"
	"toucanport/toucandev"
	"toucanport/toucanfake"
	"toucanport/toucanio"
	"toucanport/toucanprocess"
	"toucanport/toucansettings"
)

const (
	defaultListen  = "127.0.0.1:8080"
	defaultEntries = 2
	// stopGrace is the grace period for requests in progress at shutdown.
	stopGrace = 10 * time.Minute
)

// Options holds the parsed flags and the dependencies of the command.
type Options struct {
	IO         *toucanio.Streams
	Deployment string
	Listen     string
	Policy     string
	Fault      string
	Seed       uint64
	JSON       bool
}

// NewCmdDev returns the dev command. If runF is not nil, it replaces the command's
// implementation and receives the parsed options; tests use it.
func NewCmdDev(f *factory.Factory, runF func(*Options) error) *factory.Command {
	opts := &Options{IO: f.IO, Listen: defaultListen, Policy: string(toucansettings.PolicyToucan), Seed: 1}
	return &factory.Command{
		Name:  "dev",
		Short: "run a complete deployment on loopback in one process, with fake endpoints",
		Bind: func(p *flaggy.Parser) {
			p.String(&opts.Deployment, "d", "deployment", "the deployment file (deploy/totora.toml when empty)")
			p.String(&opts.Listen, "l", "listen", "the callers' listener of the first entry, as IP:PORT")
			p.String(&opts.Policy, "p", "policy", "naive or toucan")
			p.String(&opts.Fault, "f", "fault", "a fault to inject into the first engine at start")
			p.UInt64(&opts.Seed, "s", "seed", "the seed of the fake endpoints' random choices")
			p.Bool(&opts.JSON, "j", "json", "print one line of JSON when ready")
			p.AdditionalHelpAppend = heredoc.Doc(`
				Examples:
				  toucanport dev
				  toucanport dev --deployment deploy/cordeauLaval.toml --listen 127.0.0.1:8080
				  toucanport dev --fault slow --json
			`)
		},
		Run: func() error {
			if runF != nil {
				return runF(opts)
			}
			return devRun(opts)
		},
	}
}

func devRun(opts *Options) error {
	cfg, err := newConfig(opts)
	if err != nil {
		return err
	}
	return toucanprocess.Run(cfg.Log, stopGrace, func(ctx context.Context) (toucanprocess.Stopper, error) {
		system, err := toucandev.Start(ctx, cfg)
		if err != nil {
			return nil, err
		}
		return system, printReady(opts, cfg, system)
	})
}

func newConfig(opts *Options) (toucandev.Config, error) {
	d, err := loadDeployment(opts.Deployment)
	if err != nil {
		return toucandev.Config{}, err
	}
	policy := toucansettings.Policy(opts.Policy)
	if policy != toucansettings.PolicyNaive && policy != toucansettings.PolicyToucan {
		return toucandev.Config{}, errors.Wrapf(factory.ErrUsage, "dev: --policy %q; allowed: naive, toucan", opts.Policy)
	}
	return toucandev.Config{
		Deployment: d,
		Listen:     opts.Listen,
		Entries:    defaultEntries,
		Policy:     policy,
		Seed:       opts.Seed,
		Fault:      toucanfake.Fault(opts.Fault),
		Log:        slog.New(slog.NewJSONHandler(opts.IO.Err, &slog.HandlerOptions{Level: slog.LevelWarn})),
	}, nil
}

func loadDeployment(file string) (toucandeploy.Deployment, error) {
	if file == "" {
		return toucandeploy.Parse("totora.toml", deploy.Totora)
	}
	return toucandeploy.Load(file)
}

// readiness is the JSON object that --json prints once the deployment is ready.
type readiness struct {
	Ready              bool              `json:"ready"`
	Entries            []string          `json:"entries"`
	Operators          []string          `json:"operators"`
	OperatorCredential string            `json:"operatorCredential"`
	WorkspaceKeys      map[string]string `json:"workspaceKeys"`
	TeamCredentials    map[string]string `json:"teamCredentials"`
	Services           []string          `json:"services"`
}

func printReady(opts *Options, cfg toucandev.Config, system *toucandev.System) error {
	if opts.JSON {
		return json.NewEncoder(opts.IO.Out).Encode(newReadiness(cfg, system))
	}
	keys := system.WorkspaceKeys()
	model := ""
	opts.IO.Printf("%s\n", opts.IO.Bold(cfg.Deployment.Team+" is ready"))
	for _, address := range system.Entries() {
		opts.IO.Printf("entry      http://%s\n", address)
	}
	for _, address := range system.Operators() {
		opts.IO.Printf("operators  %s, credential %s\n", address, system.OperatorCredential())
	}
	for _, s := range cfg.Deployment.Services {
		opts.IO.Printf("service    %-12s %s, %d endpoint(s)\n", s.Name, s.Kind, s.Endpoints)
		if model == "" && s.Kind == toucansettings.KindGeneration {
			model = s.Name
		}
	}
	opts.IO.Printf("workspace  %s, key %s\n\n", keys[0].Workspace, keys[0].Key)
	opts.IO.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"How thick must the glass be?\"}]}'\n",
		system.Entries()[0], keys[0].Key, model)
	return nil
}

func newReadiness(cfg toucandev.Config, system *toucandev.System) readiness {
	r := readiness{
		Ready:              true,
		Entries:            system.Entries(),
		WorkspaceKeys:      make(map[string]string),
		TeamCredentials:    make(map[string]string),
		Operators:          system.Operators(),
		OperatorCredential: system.OperatorCredential(),
	}
	for _, k := range system.WorkspaceKeys() {
		r.WorkspaceKeys[k.Workspace] = k.Key
	}
	r.TeamCredentials[cfg.Deployment.Team] = system.TeamCredential()
	for _, s := range cfg.Deployment.Services {
		r.Services = append(r.Services, s.Name)
	}
	return r
}
