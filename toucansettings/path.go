package toucansettings

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucandocument"
)

// Groups of a team's document.
const (
	GroupServices   = "services"
	GroupWorkspaces = "workspaces"
	GroupEndpoints  = "endpoints"
)

// Groups of the operators' document.
const (
	GroupTeams     = "teams"
	GroupOperators = "operators"
	GroupFleet     = "fleet"
)

// FleetBounds is the only valid name in GroupFleet.
const FleetBounds = "bounds"

const (
	teamsPrefix = "/teams/"
	// OperatorsPath is the path of the operators' document.
	OperatorsPath = "/operators"
)

var (
	teamGroups     = []string{GroupServices, GroupWorkspaces, GroupEndpoints}
	operatorGroups = []string{GroupTeams, GroupOperators, GroupFleet}
)

// ErrPath is returned for a path that can't exist in the settings tree.
var ErrPath = errors.New("no such path in the settings tree")

// Path is the path of one table in the settings tree, such as /teams/laval/services/redacteur.
type Path struct {
	// Document is the path of the document that holds the table: /teams/{team} or /operators.
	Document string
	Group    string
	Name     string
}

// TeamPath returns the path of a team's document.
func TeamPath(team string) string { return teamsPrefix + team }

// TeamOf returns the name of the team whose document has the given path, or "" for the operators' document.
func TeamOf(document string) string {
	team, ok := strings.CutPrefix(document, teamsPrefix)
	if !ok {
		return ""
	}
	return team
}

// String returns the path in the form that ParsePath reads.
func (p Path) String() string { return p.Document + "/" + p.Group + "/" + p.Name }

// ParsePath parses the path of a table. The error matches ErrPath.
func ParsePath(s string) (Path, error) {
	document, rest, groups, err := splitDocument(s)
	if err != nil {
		return Path{}, err
	}
	parts := strings.Split(strings.TrimPrefix(rest, "/"), "/")
	if len(parts) != 2 || !slices.Contains(groups, parts[0]) || !toucandocument.NamePattern.MatchString(parts[1]) {
		return Path{}, errors.Wrapf(ErrPath, "%q: want %s/{%s}/{name}", s, document, strings.Join(groups, "|"))
	}
	return Path{Document: document, Group: parts[0], Name: parts[1]}, nil
}

// ParseDocumentPath parses the path of a document. The error matches ErrPath.
func ParseDocumentPath(s string) (string, error) {
	document, rest, _, err := splitDocument(s)
	if err == nil && strings.Trim(rest, "/") != "" {
		err = errors.Wrapf(ErrPath, "%q: want /operators or /teams/{team}", s)
	}
	return document, err
}

// splitDocument splits a path into its document and the rest, and returns the groups that the document can have.
func splitDocument(s string) (document, rest string, groups []string, err error) {
	if rest, ok := strings.CutPrefix(s, OperatorsPath); ok && (rest == "" || rest[0] == '/') {
		return OperatorsPath, rest, operatorGroups, nil
	}
	rest, ok := strings.CutPrefix(s, teamsPrefix)
	team, rest, _ := strings.Cut(rest, "/")
	if !ok || !toucandocument.NamePattern.MatchString(team) {
		return "", "", nil, errors.Wrapf(ErrPath, "%q: want /operators/{group}/{name} or /teams/{team}/{group}/{name}", s)
	}
	return TeamPath(team), rest, teamGroups, nil
}
