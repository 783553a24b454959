package toucansettings

import (
	"bytes"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Tables is the TOML form of a team.
type Tables struct {
	Services   map[string]ServiceTable   `toml:"services,omitempty"`
	Workspaces map[string]WorkspaceTable `toml:"workspaces,omitempty"`
	Endpoints  map[string]EndpointTable  `toml:"endpoints,omitempty"`
}

// ServiceTable is the TOML form of a service.
type ServiceTable struct {
	Kind       Kind            `toml:"kind"`
	Model      string          `toml:"model,omitempty"`
	Version    string          `toml:"version,omitempty"`
	Adapters   []string        `toml:"adapters,omitempty"`
	Weigh      LatencyPriority `toml:"weigh"`
	Policy     Policy          `toml:"policy"`
	FirstToken string          `toml:"firstToken"`
	InterToken string          `toml:"interToken"`
}

// WorkspaceTable is the TOML form of a workspace.
type WorkspaceTable struct {
	KeyHashes          []string `toml:"keyHashes,omitempty"`
	Weight             float64  `toml:"weight"`
	Services           []string `toml:"services"`
	ConcurrentRequests int      `toml:"concurrentRequests,omitempty"`
	TokensPerMinute    int      `toml:"tokensPerMinute,omitempty"`
}

// EndpointTable is the TOML form of an endpoint.
type EndpointTable struct {
	Service       string `toml:"service"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failureDomain"`
	ChecksFencing bool   `toml:"checksFencing,omitempty"`
	Role          string `toml:"role,omitempty"`
	Draining      bool   `toml:"draining,omitempty"`
}

// EncodeTeam encodes team in the form that ParseTeam reads. Names are sorted, so that equal teams have equal
// encodings.
func EncodeTeam(team Team) ([]byte, error) {
	return EncodeTOML(TeamTables(team))
}

// EncodeTOML encodes v as TOML without indentation.
func EncodeTOML(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encoding settings")
	}
	return b.Bytes(), nil
}

// TeamTables returns the TOML form of team.
func TeamTables(team Team) Tables {
	d := Tables{
		Services:   make(map[string]ServiceTable, len(team.Services)),
		Workspaces: make(map[string]WorkspaceTable, len(team.Workspaces)),
		Endpoints:  make(map[string]EndpointTable, len(team.Endpoints)),
	}
	for _, s := range team.Services {
		d.Services[s.Name] = serviceTable(s)
	}
	for _, w := range team.Workspaces {
		d.Workspaces[w.Name] = workspaceTable(w)
	}
	for _, e := range team.Endpoints {
		d.Endpoints[e.Name] = endpointTable(e)
	}
	return d
}

func serviceTable(s Service) ServiceTable {
	return ServiceTable{
		Kind:       s.Kind,
		Model:      s.Model,
		Version:    s.Version,
		Adapters:   s.Adapters,
		Weigh:      s.Weigh,
		Policy:     s.Policy,
		FirstToken: s.FirstToken.String(),
		InterToken: s.InterToken.String(),
	}
}

func workspaceTable(w Workspace) WorkspaceTable {
	return WorkspaceTable{
		KeyHashes:          w.KeyHashes,
		Weight:             w.Weight,
		Services:           w.Services,
		ConcurrentRequests: w.ConcurrentRequests,
		TokensPerMinute:    w.TokensPerMinute,
	}
}

func endpointTable(e Endpoint) EndpointTable {
	return EndpointTable{
		Service:       e.Service,
		Address:       e.Address.String(),
		FailureDomain: e.FailureDomain,
		ChecksFencing: e.ChecksFencing,
		Role:          e.Role,
		Draining:      e.Draining,
	}
}
