// Package teamview reads and edits the settings of the teams that a credential may change. The workspace, endpoint
// and service commands use it.
package teamview

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucanclient"
	"toucanport/toucancmd/factory"
	"toucanport/toucancmd/submit"
	"toucanport/toucanoperate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// Client is the part of toucanclient.Client that the package uses.
type Client interface {
	submit.Client
	Documents(ctx context.Context) (toucanoperate.Documents, error)
}

// Teams returns every team that the client's credential may change.
func Teams(ctx context.Context, c Client) ([]toucansettings.Team, error) {
	documents, err := c.Documents(ctx)
	if err != nil {
		return nil, err
	}
	var teams []toucansettings.Team
	for _, r := range documents.Documents {
		if toucansettings.TeamOf(r.Path) == "" {
			continue
		}
		message, err := c.Document(ctx, r.Path)
		if err != nil {
			return nil, err
		}
		d, err := submit.Parse(message)
		if err != nil {
			return nil, err
		}
		team, err := d.Team()
		if err != nil {
			return nil, err
		}
		teams = append(teams, team)
	}
	return teams, nil
}

// Find returns the path of the item NAME or TEAM/NAME in a group, and its stored document. It fails with ErrUsage
// if several teams have an item NAME.
func Find(ctx context.Context, c Client, group, name string) (toucansettings.Path, toucanrevision.Document, error) {
	teamName, short, qualified := strings.Cut(name, "/")
	if !qualified {
		short = name
	}
	documents, err := c.Documents(ctx)
	if err != nil {
		return toucansettings.Path{}, toucanrevision.Document{}, err
	}
	var found []toucanrevision.Document
	for _, r := range documents.Documents {
		team := toucansettings.TeamOf(r.Path)
		if team == "" || (qualified && team != teamName) {
			continue
		}
		d, err := submit.ReadStored(ctx, c, r.Path)
		if err != nil {
			return toucansettings.Path{}, toucanrevision.Document{}, err
		}
		if d.Has(toucansettings.Path{Document: d.Path, Group: group, Name: short}) {
			found = append(found, d)
		}
	}
	return exactlyOne(found, group, name, short)
}

func exactlyOne(found []toucanrevision.Document, group, name, short string) (toucansettings.Path, toucanrevision.Document, error) {
	switch len(found) {
	case 0:
		return toucansettings.Path{}, toucanrevision.Document{}, errors.Wrapf(toucanclient.ErrNotFound, "%s %q", group, name)
	case 1:
		path := toucansettings.Path{Document: found[0].Path, Group: group, Name: short}
		return path, found[0], nil
	}
	return toucansettings.Path{}, toucanrevision.Document{}, errors.Wrapf(factory.ErrUsage, "several teams have %s %q; use TEAM/%s", group, short, short)
}

// Merge sets keys of the table at path, based on the revision of d. If id is empty, it uses a new change id.
func Merge(ctx context.Context, c Client, id string, path toucansettings.Path, d toucanrevision.Document, keys any) (toucanoperate.Accepted, error) {
	body, err := toucansettings.EncodeTOML(keys)
	if err != nil {
		return toucanoperate.Accepted{}, err
	}
	if id == "" {
		id = submit.NewID()
	}
	edit := toucanrevision.Edit{Path: path, Operation: toucanrevision.OpMerge, Body: string(body)}
	return submit.Change(ctx, c, id, d.Path, d.Revision, []toucanrevision.Edit{edit})
}
