package toucansettings

import (
	"math"
	"slices"

	"toucanport/toucandocument"
)

// Operators is the operators' document: who may change what, and the bounds of the fleet.
type Operators struct {
	Revision uint64
	// Grants are the teams, in the order of their names.
	Grants []Grant
	// Holders are the operators, who may change every document.
	Holders []Grant
	Fleet   Fleet
}

// Grant lets whoever has one of its credentials change a subtree.
type Grant struct {
	Name string
	// CredentialHashes are hex SHA-256 digests; two of them let a credential be rotated without a gap.
	CredentialHashes []string
}

// Fleet bounds what teams may set.
type Fleet struct {
	MaxServicesPerTeam   int
	MaxWorkspacesPerTeam int
	MaxEndpointsPerTeam  int
	// GenerationSecretVersion counts the rotations of the secret in generation ids.
	GenerationSecretVersion int
}

// Identity says who a credential belongs to.
type Identity struct {
	// Operator is true for operators, who may change every document.
	Operator bool
	// Name is the operator's or team's name.
	Name string
}

// MayChange reports whether the identity may change a document.
func (i Identity) MayChange(document string) bool {
	return i.Operator || (i.Name != "" && document == TeamPath(i.Name))
}

// Identify returns who credential belongs to. The comparison is by digest.
func (o Operators) Identify(credential string) (Identity, bool) {
	hash := HashKey(credential)
	for _, h := range o.Holders {
		if slices.Contains(h.CredentialHashes, hash) {
			return Identity{Operator: true, Name: h.Name}, true
		}
	}
	for _, g := range o.Grants {
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

// defaultFleet holds until operators set bounds.
func defaultFleet() Fleet {
	return Fleet{
		MaxServicesPerTeam:   defaultMaxServices,
		MaxWorkspacesPerTeam: defaultMaxWorkspaces,
		MaxEndpointsPerTeam:  defaultMaxEndpoints,
	}
}

// ReadOperators reads the operators' tables out of t and notes what is wrong with them there. Done is the
// caller's.
func ReadOperators(t *toucandocument.Table) Operators {
	o := Operators{
		Grants:  readGrants(t, GroupTeams),
		Holders: readGrants(t, GroupOperators),
		Fleet:   defaultFleet(),
	}
	for _, n := range t.Group(GroupFleet) {
		if n.Name != FleetBounds {
			t.Note(GroupFleet+"."+n.Name, nil, "only fleet.bounds")
			continue
		}
		o.Fleet = readFleet(n.Table)
	}
	if len(o.Holders) == 0 {
		t.Note(GroupOperators, nil, "at least one operator; without one nobody could change this document")
	}
	return o
}

func readGrants(t *toucandocument.Table, group string) []Grant {
	var grants []Grant
	for _, n := range t.Group(group) {
		g := Grant{Name: n.Name, CredentialHashes: n.Table.Strings("credentialHashes")}
		noteHashes(n.Table, "credentialHashes", g.CredentialHashes)
		n.Table.Done()
		grants = append(grants, g)
	}
	return grants
}

func readFleet(t *toucandocument.Table) Fleet {
	defer t.Done()
	return Fleet{
		MaxServicesPerTeam:      t.Int("maxServicesPerTeam", defaultMaxServices, 1, math.MaxInt32),
		MaxWorkspacesPerTeam:    t.Int("maxWorkspacesPerTeam", defaultMaxWorkspaces, 1, math.MaxInt32),
		MaxEndpointsPerTeam:     t.Int("maxEndpointsPerTeam", defaultMaxEndpoints, 1, math.MaxInt32),
		GenerationSecretVersion: t.Int("generationSecretVersion", 0, 0, math.MaxInt32),
	}
}

// noteBounds notes where team exceeds the fleet's bounds.
func (f Fleet) noteBounds(t *toucandocument.Table, team Team) {
	noteCount(t, GroupServices, len(team.Services), f.MaxServicesPerTeam)
	noteCount(t, GroupWorkspaces, len(team.Workspaces), f.MaxWorkspacesPerTeam)
	noteCount(t, GroupEndpoints, len(team.Endpoints), f.MaxEndpointsPerTeam)
}

// declares reports whether the operators have declared a team. Entries look for the documents of these only.
func (o Operators) declares(team string) bool {
	return slices.ContainsFunc(o.Grants, func(g Grant) bool { return g.Name == team })
}

// NoteShared notes in doc where team is not declared by the operators, exceeds the fleet's bounds, or takes what
// another team in t has.
func (t *Tree) NoteShared(doc *toucandocument.Table, team Team) {
	if t.operators.Revision > 0 && !t.operators.declares(team.Name) {
		doc.Note("", team.Name, "a team that operators have declared at "+OperatorsPath+"/teams/"+team.Name)
	}
	t.operators.Fleet.noteBounds(doc, team)
	t.noteTaken(doc, team)
}

// noteTaken notes keys and addresses that other teams have already.
func (t *Tree) noteTaken(doc *toucandocument.Table, team Team) {
	for _, w := range team.Workspaces {
		for _, h := range w.KeyHashes {
			if other, ok := t.byKey[h]; ok && other.Team != team.Name {
				doc.Note("workspaces."+w.Name+".keyHashes", h, "a key that no other team has")
			}
		}
	}
	for _, e := range team.Endpoints {
		if owner, ok := t.byAddress[e.Address]; ok && owner != team.Name {
			doc.Note("endpoints."+e.Name+".address", e.Address.String(), "an address that no other team has")
		}
	}
}
