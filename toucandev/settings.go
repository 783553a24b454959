package toucandev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucancontrol"
	"toucanport/toucandeploy"
	"toucanport/toucanentry"
	"toucanport/toucanfakemember"
	"toucanport/toucanlisting"
	"toucanport/toucanmember"
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
func (s *System) startControl(ctx context.Context, index int, entry *toucanentry.Entry, h *toucanspread.Holder, members *toucanlisting.View, ln net.Listener, scrape http.Handler) {
	control := toucancontrol.New(toucancontrol.Config{
		Store:    s.store,
		Holder:   h,
		Instance: entryName(index),
		Local:    entry,
		Members:  members,
		Metrics:  scrape,
		Log:      s.cfg.Log.With("entry", index+1),
	})
	s.wg.Go(func() { s.report("control", control.Run(ctx, ln)) })
	s.wg.Go(func() { members.Run(ctx) })
}

func entryName(index int) string { return fmt.Sprintf("entry%d", index+1) }

// listLag is how far the stand-in's list of instances lags.
const listLag = 2 * time.Second

// startList serves the stand-in's list of instances.
func (s *System) startList(ctx context.Context, team toucansettings.Team) error {
	s.list = toucanfakemember.New(listLag)
	for _, ep := range team.Endpoints {
		s.list.Put(toucanmember.Listed{
			Instance:      ep.Name,
			Role:          toucanmember.RoleSidecar,
			Address:       ep.Address.String(),
			FailureDomain: ep.FailureDomain,
			State:         toucanmember.StateLive,
		})
	}
	domains := s.cfg.Deployment.FailureDomains
	for i, address := range s.operators {
		s.list.Put(toucanmember.Listed{
			Instance:      entryName(i),
			Role:          toucanmember.RoleEntry,
			Address:       address,
			FailureDomain: domains[i%len(domains)],
			State:         toucanmember.StateLive,
		})
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "instance list's listener")
	}
	s.listURL = "http://" + ln.Addr().String()
	server := &http.Server{Handler: s.list, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.wg.Go(func() { s.report("instance list", ignoreClosed(server.Serve(ln))) })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
