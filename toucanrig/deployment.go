package toucanrig

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanfake"
	"toucanport/toucansettings"
)

// ErrUnknownDeployment is returned if no deployment has the given name.
var ErrUnknownDeployment = errors.New("unknown deployment")

// Service describes a service of a deployment: its endpoints and the mix of its requests.
type Service struct {
	Name string
	// Engines is the number of endpoints.
	Engines int
	// PlanShare is the fraction of requests, 0 to 1, whose class is ClassPlan; the others are ClassBrief.
	PlanShare float64
	// Plain is set if the endpoints are application instances that carry out orders, instead of engines.
	Plain bool
}

func (s Service) kind() toucansettings.Kind {
	if s.Plain {
		return toucansettings.KindPlain
	}
	return toucansettings.KindGeneration
}

func (s Service) model() string {
	if s.Plain {
		return ""
	}
	return s.Name
}

// Deployment describes the services and engines of one user of the system.
type Deployment struct {
	Name           string
	FailureDomains []string
	Weigh          toucansettings.LatencyPriority
	Services       []Service
	// Engine configures every engine; startEngine sets its Name and Seed.
	Engine toucanfake.Config
}

// WorkspaceShares are the fractions of the requests that the workspaces send, in descending order; they sum to 1.
var WorkspaceShares = []float64{0.30, 0.20, 0.14, 0.09, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02}

// Deployments returns the deployments that measurements use.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:           "cordeauLaval",
			FailureDomains: []string{"qc-east-a", "qc-east-b", "qc-east-c"},
			Weigh:          toucansettings.PrioritizeStallTime,
			Services:       []Service{{Name: "redacteur", Engines: 14, PlanShare: 0.25}, {Name: "comptoir", Engines: 3, PlanShare: 0.05}},
			Engine:         MeasurementEngine(),
		},
		{
			Name:           "totora",
			FailureDomains: []string{"lima-a", "lima-b", "lima-c"},
			Weigh:          toucansettings.PrioritizeInterTokenLatency,
			Services:       []Service{{Name: "assistant", Engines: 14, PlanShare: 0.25}, {Name: "workshop", Engines: 3, PlanShare: 0.05}},
			Engine:         MeasurementEngine(),
		},
	}
}

// DeploymentByName returns the deployment of this name, or ErrUnknownDeployment if Deployments has none.
func DeploymentByName(name string) (Deployment, error) {
	all := Deployments()
	i := slices.IndexFunc(all, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, errors.Wrapf(ErrUnknownDeployment, "%q", name)
	}
	return all[i], nil
}

// MeasurementEngine returns the engine configuration for measurements. An engine under load runs about 40 sequences in
// steps of 45 ms, so that a measurement takes about a minute.
func MeasurementEngine() toucanfake.Config {
	cfg := toucanfake.DefaultConfig("")
	cfg.Blocks = 2048
	cfg.MaxSequences = 96
	cfg.StepBase = 28 * time.Millisecond
	cfg.StepPerSequence = 400 * time.Microsecond
	cfg.StepPerPrefillToken = 50 * time.Microsecond
	cfg.PrefillChunk = 2048
	return cfg
}

// endpointSpec describes one endpoint of a deployment and its addresses.
type endpointSpec struct {
	name, service, failureDomain string
	plain                        bool
	// sidecar and engine are the addresses of the sidecar and of the engine or application instance.
	sidecar, engine netip.AddrPort
}

// endpoints returns the specs of all endpoints. Each service's endpoints alternate between the failure domains.
func (d Deployment) endpoints() []endpointSpec {
	var specs []endpointSpec
	for si, s := range d.Services {
		for i := range s.Engines {
			ip := netip.AddrFrom4([4]byte{10, 1, byte(si), byte(i + 1)})
			specs = append(specs, endpointSpec{
				name:          fmt.Sprintf("%s-%d", s.Name, i),
				service:       s.Name,
				plain:         s.Plain,
				failureDomain: d.FailureDomains[i%len(d.FailureDomains)],
				sidecar:       netip.AddrPortFrom(ip, 7000),
				engine:        netip.AddrPortFrom(ip, 9000),
			})
		}
	}
	return specs
}

// WorkspaceName returns the name of workspace i.
func WorkspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// WorkspaceSecret returns the API key of workspace i.
func WorkspaceSecret(i int) string { return fmt.Sprintf("key-of-workspace-%d", i) }

// teamSettings returns the deployment's settings. Every service gets the policy; the endpoints in draining, by name, are
// marked as draining.
func (d Deployment) teamSettings(policy toucansettings.Policy, draining map[string]bool) toucansettings.Team {
	team := toucansettings.Team{Name: d.Name}
	var names []string
	for _, s := range d.Services {
		names = append(names, s.Name)
		team.Services = append(team.Services, toucansettings.Service{
			Name:       s.Name,
			Team:       d.Name,
			Kind:       s.kind(),
			Model:      s.model(),
			Weigh:      d.Weigh,
			Policy:     policy,
			FirstToken: FirstTokenBound,
			InterToken: InterTokenBound,
		})
	}
	for i, share := range WorkspaceShares {
		team.Workspaces = append(team.Workspaces, toucansettings.Workspace{
			Name:      WorkspaceName(i),
			Team:      d.Name,
			KeyHashes: []string{toucansettings.HashKey(WorkspaceSecret(i))},
			Weight:    share * float64(len(WorkspaceShares)),
			Services:  names,
		})
	}
	for _, spec := range d.endpoints() {
		team.Endpoints = append(team.Endpoints, toucansettings.Endpoint{
			Name:          spec.name,
			Team:          d.Name,
			Service:       spec.service,
			Address:       spec.sidecar,
			FailureDomain: spec.failureDomain,
			Draining:      draining[spec.name],
		})
	}
	return team
}
