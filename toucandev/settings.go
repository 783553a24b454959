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
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// operatorName is the name of the operator whose credential the dev command prints.
const operatorName = "dev"

// OperatorCredential returns the credential that can change every document.
func (s *System) OperatorCredential() string {
	return toucandeploy.DeriveKey(s.cfg.Seed, "operators", operatorName)
}

// TeamCredential returns the credential that can change the team's document.
func (s *System) TeamCredential() string {
	return toucandeploy.DeriveKey(s.cfg.Seed, "teams", s.cfg.Deployment.Team)
}

// Operators returns the operators' listen addresses of the entries.
func (s *System) Operators() []string { return s.operatorAddresses }

// operatorsTables is the TOML form of the initial operators' document.
type operatorsTables struct {
	Operators map[string]grantTable `toml:"operators"`
	Teams     map[string]grantTable `toml:"teams"`
}

type grantTable struct {
	CredentialHashes []string `toml:"credentialHashes"`
}

func newGrantTable(credential string) grantTable {
	return grantTable{CredentialHashes: []string{toucansettings.HashKey(credential)}}
}

// writeSettings writes the initial operators' and team documents to the store, as the set-up of a new deployment
// does.
func (s *System) writeSettings(ctx context.Context, team toucansettings.Team) error {
	operators, err := toucansettings.EncodeTOML(operatorsTables{
		Operators: map[string]grantTable{operatorName: newGrantTable(s.OperatorCredential())},
		Teams:     map[string]grantTable{team.Name: newGrantTable(s.TeamCredential())},
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
	w := toucanchange.New(s.store, toucanreplicate.NewHolder())
	result, err := w.Apply(ctx, toucanchange.Request{
		ID:       "first-" + path,
		Document: path,
		Author:   "operator " + operatorName,
		Edits:    edits,
	})
	s.documents = append(s.documents, result.Document)
	return errors.Wrap(err, "writing the initial settings")
}

// newHolder returns the settings holder of a new entry, with the initial documents in force.
func (s *System) newHolder() (*toucanreplicate.Holder, error) {
	h := toucanreplicate.NewHolder()
	for _, d := range s.documents {
		if _, err := h.Offer(d); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// listenOperators opens one operators' listener per entry.
func (s *System) listenOperators() ([]net.Listener, error) {
	var lns []net.Listener
	for range s.cfg.Entries {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, errors.Wrap(err, "listening for operators")
		}
		lns = append(lns, ln)
		s.operatorAddresses = append(s.operatorAddresses, ln.Addr().String())
	}
	return lns, nil
}

// startOperatorInterface starts an entry's operators' interface and its refresh of the instance list.
func (s *System) startOperatorInterface(ctx context.Context, index int, entry *toucanentry.Entry, h *toucanreplicate.Holder, members *toucanlisting.View, ln net.Listener, scrape, preview http.Handler) {
	control := toucancontrol.New(toucancontrol.Config{
		Store:    s.store,
		Holder:   h,
		Instance: entryName(index),
		Local:    entry,
		Members:  members,
		Metrics:  scrape,
		Preview:  preview,
		Log:      s.cfg.Log.With("entry", index+1),
	})
	s.wg.Go(func() { s.logError("control", control.Run(ctx, ln)) })
	s.wg.Go(func() { members.Run(ctx) })
}

func entryName(index int) string { return fmt.Sprintf("entry%d", index+1) }

// instanceListLag is the delay until the fake list of instances shows a change.
const instanceListLag = 2 * time.Second

// startInstanceList serves the fake list of instances, with all sidecars and entries as live.
func (s *System) startInstanceList(ctx context.Context, team toucansettings.Team) error {
	s.instanceList = toucanfakemember.New(instanceListLag)
	for _, ep := range team.Endpoints {
		s.instanceList.Put(toucanmember.Listed{
			Instance:      ep.Name,
			Role:          toucanmember.RoleSidecar,
			Address:       ep.Address.String(),
			FailureDomain: ep.FailureDomain,
			State:         toucanmember.StateLive,
		})
	}
	domains := s.cfg.Deployment.FailureDomains
	for i, address := range s.operatorAddresses {
		s.instanceList.Put(toucanmember.Listed{
			Instance:      entryName(i),
			Role:          toucanmember.RoleEntry,
			Address:       address,
			FailureDomain: domains[i%len(domains)],
			State:         toucanmember.StateLive,
		})
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listening for the instance list")
	}
	s.instanceListURL = "http://" + ln.Addr().String()
	server := &http.Server{Handler: s.instanceList, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.wg.Go(func() { s.logError("instance list", ignoreClosed(server.Serve(ln))) })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
