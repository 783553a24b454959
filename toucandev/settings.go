package toucandev

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucancontrol"
	"toucanport/toucandeploy"
	"toucanport/toucanentry"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
)

// operatorName names the operator whose credential dev prints.
const operatorName = "dev"

// OperatorCredential returns the credential that may change every document.
func (s *System) OperatorCredential() string {
	return toucandeploy.Key(s.cfg.Seed, "operators", operatorName)
}

// TeamCredential returns the credential that may change the team's document.
func (s *System) TeamCredential() string {
	return toucandeploy.Key(s.cfg.Seed, "teams", s.cfg.Deployment.Team)
}

// Operators returns the addresses of the entries' operators' listeners.
func (s *System) Operators() []string { return s.operators }

// operatorsTables is the written form of the first operators' document.
type operatorsTables struct {
	Operators map[string]grantTable `toml:"operators"`
	Teams     map[string]grantTable `toml:"teams"`
}

type grantTable struct {
	CredentialHashes []string `toml:"credentialHashes"`
}

func grant(credential string) grantTable {
	return grantTable{CredentialHashes: []string{toucansettings.HashKey(credential)}}
}

// writeSettings puts the operators' and the team's document into the store, as day-one set-up does.
func (s *System) writeSettings(ctx context.Context, team toucansettings.Team) error {
	operators, err := toucansettings.EncodeTOML(operatorsTables{
		Operators: map[string]grantTable{operatorName: grant(s.OperatorCredential())},
		Teams:     map[string]grantTable{team.Name: grant(s.TeamCredential())},
	})
	if err != nil {
		return err
	}
	body, err := toucansettings.EncodeTeam(team)
	if err != nil {
		return err
	}
	if err := s.writeDocument(ctx, toucansettings.OperatorsPath, operators); err != nil {
		return err
	}
	return s.writeDocument(ctx, toucansettings.TeamPath(team.Name), body)
}

func (s *System) writeDocument(ctx context.Context, path string, body []byte) error {
	declared, err := toucanrevision.ParseDeclaration(path, path, body)
	if err != nil {
		return err
	}
	edits, err := toucanrevision.Diff(toucanrevision.NewDocument(path), declared)
	if err != nil {
		return err
	}
	w := toucanchange.New(s.store, toucanspread.NewHolder())
	result, err := w.Apply(ctx, toucanchange.Request{
		ID:       "first-" + path,
		Document: path,
		Author:   "operator " + operatorName,
		Edits:    edits,
	})
	s.documents = append(s.documents, result.Document)
	return errors.Wrap(err, "writing the first settings")
}

// newHolder returns the settings of a new entry, with the first ones in force.
func (s *System) newHolder() (*toucanspread.Holder, error) {
	h := toucanspread.NewHolder()
	for _, d := range s.documents {
		if _, err := h.Offer(d); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// listenOperators opens an operators' listener for each entry.
func (s *System) listenOperators() ([]net.Listener, error) {
	var lns []net.Listener
	for range s.cfg.Entries {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, errors.Wrap(err, "operators' listener")
		}
		lns = append(lns, ln)
		s.operators = append(s.operators, ln.Addr().String())
	}
	return lns, nil
}

// startControl runs the control side of an entry.
func (s *System) startControl(ctx context.Context, index int, entry *toucanentry.Entry, h *toucanspread.Holder, ln net.Listener) {
	control := toucancontrol.New(toucancontrol.Config{
		Store:   s.store,
		Holder:  h,
		Local:   entry,
		Entries: func() []string { return without(s.operators, index) },
		Log:     s.cfg.Log.With("entry", index+1),
	})
	s.wg.Go(func() { s.report("control", control.Run(ctx, ln)) })
}

func without(addresses []string, index int) []string {
	var others []string
	for i, a := range addresses {
		if i != index {
			others = append(others, a)
		}
	}
	return others
}
