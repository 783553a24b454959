package toucansettings

import (
	"math"
	"slices"

	"toucanport/toucandocument"
)

// Operators is the decoded operators' document: the credentials that permit changes, and the fleet's bounds.
type Operators struct {
	Revision uint64
	// TeamGrants are the teams, sorted by name.
	TeamGrants []Grant
	// OperatorGrants are the operators, who may change every document, sorted by name.
	OperatorGrants []Grant
	Fleet          Fleet
}

// Grant permits the holders of its credentials to change a subtree of the settings.
type Grant struct {
	Name string
	// CredentialHashes are hex SHA-256 digests. With two of them, a credential can be rotated without a time in
	// which none is valid.
	CredentialHashes []string
}

// Fleet holds the settings of the whole fleet: bounds on each team's settings and the version of a secret.
type Fleet struct {
	MaxServicesPerTeam   int
	MaxWorkspacesPerTeam int
	MaxEndpointsPerTeam  int
	// GenerationSecretVersion is the number of rotations of the secret that protects generation ids.
	GenerationSecretVersion int
}

// Identity is the operator or team that a credential belongs to.
type Identity struct {
	// Operator is true for operators, who may change every document.
	Operator bool
	// Name is the operator's or team's name.
	Name string
}

// MayChange reports whether the identity may change the document at a path. A team may change its own document.
func (i Identity) MayChange(document string) bool {
	return i.Operator || (i.Name != "" && document == TeamPath(i.Name))
}

// Identify returns the owner of credential, or false when there is none. It compares digests.
func (o Operators) Identify(credential string) (Identity, bool) {
	hash := HashKey(credential)
	for _, h := range o.OperatorGrants {
		if slices.Contains(h.CredentialHashes, hash) {
			return Identity{Operator: true, Name: h.Name}, true
		}
	}
	for _, g := range o.TeamGrants {
		if slices.Contains(g.CredentialHashes, hash) {
			return Identity{Name: g.Name}, true
		}
	}
	return Identity{}, false
}

const (
	defaultMaxServices   = 64
	defaultMaxWorkspaces = 2000
	defaultMaxEndpoints  = 4000
)

// defaultFleet returns the bounds that apply until operators set others.
func defaultFleet() Fleet {
	return Fleet{
		MaxServicesPerTeam:   defaultMaxServices,
		MaxWorkspacesPerTeam: defaultMaxWorkspaces,
		MaxEndpointsPerTeam:  defaultMaxEndpoints,
	}
}

// ReadOperators decodes the operators' tables in t and records their problems there. The caller calls
// t.ReportUnknownKeys afterwards.
func ReadOperators(t *toucandocument.Table) Operators {
	o := Operators{
		TeamGrants:     readGrants(t, GroupTeams),
		OperatorGrants: readGrants(t, GroupOperators),
		Fleet:          defaultFleet(),
	}
	for _, n := range t.Group(GroupFleet) {
		if n.Name != FleetBounds {
			t.AddProblem(GroupFleet+"."+n.Name, nil, "only fleet.bounds")
			continue
		}
		o.Fleet = readFleet(n.Table)
	}
	if len(o.OperatorGrants) == 0 {
		t.AddProblem(GroupOperators, nil, "at least one operator; without one nobody could change this document")
	}
	return o
}

func readGrants(t *toucandocument.Table, group string) []Grant {
	var grants []Grant
	for _, n := range t.Group(group) {
		g := Grant{Name: n.Name, CredentialHashes: n.Table.Strings("credentialHashes")}
		checkHashes(n.Table, "credentialHashes", g.CredentialHashes)
		n.Table.ReportUnknownKeys()
		grants = append(grants, g)
	}
	return grants
}

func readFleet(t *toucandocument.Table) Fleet {
	defer t.ReportUnknownKeys()
	return Fleet{
		MaxServicesPerTeam:      t.Int("maxServicesPerTeam", defaultMaxServices, 1, math.MaxInt32),
		MaxWorkspacesPerTeam:    t.Int("maxWorkspacesPerTeam", defaultMaxWorkspaces, 1, math.MaxInt32),
		MaxEndpointsPerTeam:     t.Int("maxEndpointsPerTeam", defaultMaxEndpoints, 1, math.MaxInt32),
		GenerationSecretVersion: t.Int("generationSecretVersion", 0, 0, math.MaxInt32),
	}
}

// checkBounds records a problem for each bound of the fleet that team exceeds.
func (f Fleet) checkBounds(t *toucandocument.Table, team Team) {
	checkCount(t, GroupServices, len(team.Services), f.MaxServicesPerTeam)
	checkCount(t, GroupWorkspaces, len(team.Workspaces), f.MaxWorkspacesPerTeam)
	checkCount(t, GroupEndpoints, len(team.Endpoints), f.MaxEndpointsPerTeam)
}

// declares reports whether the operators have declared team.
func (o Operators) declares(team string) bool {
	return slices.ContainsFunc(o.TeamGrants, func(g Grant) bool { return g.Name == team })
}

// CheckAgainstTree records a problem in doc when the operators have not declared team, when team exceeds the
// fleet's bounds, and when it has a key or an address of another team in t. While t has no operators' document,
// any team is allowed.
func (t *Tree) CheckAgainstTree(doc *toucandocument.Table, team Team) {
	if t.operators.Revision > 0 && !t.operators.declares(team.Name) {
		doc.AddProblem("", team.Name, "a team that operators have declared at "+OperatorsPath+"/teams/"+team.Name)
	}
	t.operators.Fleet.checkBounds(doc, team)
	t.checkDuplicates(doc, team)
}

// checkDuplicates records a problem for each key and address that another team has already.
func (t *Tree) checkDuplicates(doc *toucandocument.Table, team Team) {
	for _, w := range team.Workspaces {
		for _, h := range w.KeyHashes {
			if other, ok := t.byKey[h]; ok && other.Team != team.Name {
				doc.AddProblem("workspaces."+w.Name+".keyHashes", h, "a key that no other team has")
			}
		}
	}
	for _, e := range team.Endpoints {
		if owner, ok := t.byAddress[e.Address]; ok && owner != team.Name {
			doc.AddProblem("endpoints."+e.Name+".address", e.Address.String(), "an address that no other team has")
		}
	}
}
